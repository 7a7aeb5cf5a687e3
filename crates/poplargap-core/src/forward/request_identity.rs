use {
    super::{PromptPart, leading_parts},
    xxhash_rust::xxh3::{Xxh3, xxh3_64},
};

/// Distinguishes a request's own part from the same part before the last of another prompt.
const OWN_PART: &[u8] = b"own-part";

/// Distinguishes requests without a prompt from own parts.
const CONTENT: &[u8] = b"content";

/// What a request without a prompt is recognised by, besides its id.
#[derive(Clone, Copy, Debug)]
pub struct RequestContent<'a> {
    /// The whole body.
    pub body: &'a [u8],
    /// The method's name.
    pub method: &'a str,
    /// Path and query.
    pub target: &'a str,
}

/// Hashes by which a request is recognised that crashes replicas, alone or by a part of its prompt.
///
/// A caller's repeat has a new id, and may resume another event, but the same last part, which only
/// the request or its session has. A request without a prompt is recognised by its content.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestIdentity {
    own: u64,
    parts: Box<[u64]>,
}

impl RequestIdentity {
    /// Returns the identity of a request; `prompt` is empty if it has none.
    #[must_use]
    pub fn new(prompt: &[PromptPart], content: RequestContent<'_>) -> Self {
        let own = prompt.last().map_or_else(
            || content_hash(content),
            |own| xxh3_64(&[OWN_PART, own.hash.to_be_bytes().as_slice()].concat()),
        );
        let mut parts: Vec<u64> = leading_parts(prompt).iter().map(|part| part.hash).collect();
        parts.sort_unstable();
        parts.dedup();
        Self {
            own,
            parts: parts.into(),
        }
    }

    /// Returns the hash of the request itself.
    #[must_use]
    pub fn own(&self) -> u64 {
        self.own
    }

    /// Returns the hashes of the prompt's parts without the last one, in ascending order.
    #[must_use]
    pub fn parts(&self) -> &[u64] {
        &self.parts
    }

    /// Returns all hashes.
    pub fn hashes(&self) -> impl Iterator<Item = u64> {
        self.parts.iter().copied().chain([self.own])
    }
}

fn content_hash(content: RequestContent<'_>) -> u64 {
    let mut hash = Xxh3::new();
    for field in [
        CONTENT,
        content.method.as_bytes(),
        content.target.as_bytes(),
    ] {
        hash.update(field);
        hash.update(&[0]);
    }
    hash.update(content.body);
    hash.digest()
}
