use xxhash_rust::xxh3::xxh3_64;

/// One part of a prompt; other requests may have the same part.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// Hash of the part's content.
    pub hash: u64,
    /// Length in tokens.
    pub tokens: u64,
}

/// Returns the key by which a prompt is placed: a hash of its shared parts.
///
/// The last part is assumed to be unique to the request and is left out, unless it is the only
/// one. A replica's prefix cache matches a part only after all preceding ones, so the key covers
/// all shared parts in their order.
#[must_use]
pub fn placement_key(parts: &[PromptPart]) -> Option<u64> {
    let shared = shared_parts(parts);
    if shared.is_empty() {
        return None;
    }
    let bytes: Vec<u8> = shared
        .iter()
        .flat_map(|part| part.hash.to_be_bytes())
        .collect();
    Some(xxh3_64(&bytes))
}

/// Returns the number of tokens in a prompt's shared parts.
#[must_use]
pub fn shared_tokens(parts: &[PromptPart]) -> u64 {
    shared_parts(parts).iter().map(|part| part.tokens).sum()
}

/// Returns all parts except the last, which is the request's own.
#[must_use]
pub fn leading_parts(parts: &[PromptPart]) -> &[PromptPart] {
    parts.split_last().map_or(&[], |(_, leading)| leading)
}

/// Returns all parts except the last, or the only one.
fn shared_parts(parts: &[PromptPart]) -> &[PromptPart] {
    match parts {
        [shared @ .., _] if !shared.is_empty() => shared,
        _ => parts,
    }
}
