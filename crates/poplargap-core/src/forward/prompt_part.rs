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
    let shared = match parts {
        [] => return None,
        [only] => std::slice::from_ref(only),
        [shared @ .., _] => shared,
    };
    let bytes: Vec<u8> = shared
        .iter()
        .flat_map(|part| part.hash.to_be_bytes())
        .collect();
    Some(xxh3_64(&bytes))
}
