use xxhash_rust::xxh3::xxh3_64;

/// One part of a prompt, which other requests may share.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// Hash that names the part.
    pub hash: u64,
    /// Length in tokens.
    pub tokens: u64,
}

/// Returns the key by which a prompt is placed: its deepest part that others share.
///
/// The last part belongs to the request alone, so the part before it decides. A part counts
/// only behind all parts before it, so these go into the key too.
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

/// Returns the tokens of the parts that others share.
#[must_use]
pub fn shared_tokens(parts: &[PromptPart]) -> u64 {
    shared_parts(parts).iter().map(|part| part.tokens).sum()
}

/// Returns all parts but the last, or the only one.
fn shared_parts(parts: &[PromptPart]) -> &[PromptPart] {
    match parts {
        [shared @ .., _] if !shared.is_empty() => shared,
        _ => parts,
    }
}
