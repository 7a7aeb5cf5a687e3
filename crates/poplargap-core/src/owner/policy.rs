//! Policies that select an upstream of a shard for a request.

use {
    super::{PlaceRequest, UpstreamLoad},
    crate::{collections::HashMap, name::UpstreamName, rendezvous},
    lru::LruCache,
    serde::{Deserialize, Serialize},
    std::num::NonZeroUsize,
    strum::{Display, EnumString, IntoStaticStr, VariantNames},
    xxhash_rust::xxh3::xxh3_64,
};

/// Placement policy by its name in the settings.
#[derive(
    Clone,
    Copy,
    Debug,
    Deserialize,
    Display,
    EnumString,
    Eq,
    Hash,
    IntoStaticStr,
    PartialEq,
    Serialize,
    VariantNames,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum PolicyKind {
    /// Rendezvous hashing of the chat, without a load bound.
    Hash,
    /// The chat's last upstream, or else the least loaded one, within the load bound.
    #[serde(rename = "homed")]
    #[strum(serialize = "homed")]
    Affinity,
    /// The upstream with the lowest load in its own last report.
    LeastLoad,
    /// A random upstream.
    Random,
}

/// Selects one of the available upstreams.
pub trait PlacementPolicy {
    /// Whether upstreams at the load bound are excluded.
    const BOUNDED: bool;

    /// Selects one of `candidates`, the upstreams that may receive the request, sorted by name.
    ///
    /// `random` is a random number. Returns `None` when there are no candidates.
    fn choose(
        &mut self,
        request: &PlaceRequest,
        candidates: &[&UpstreamLoad],
        random: u64,
    ) -> Option<UpstreamName>;

    /// Records that the request was placed on `upstream`; stateless policies do nothing.
    fn remember(&mut self, _request: &PlaceRequest, _upstream: &UpstreamName) {}
}

/// Rendezvous hashing of the chat, a baseline.
#[derive(Debug, Default)]
pub struct HashPolicy;

impl PlacementPolicy for HashPolicy {
    const BOUNDED: bool = false;

    fn choose(
        &mut self,
        request: &PlaceRequest,
        candidates: &[&UpstreamLoad],
        _random: u64,
    ) -> Option<UpstreamName> {
        let names = candidates.iter().map(|load| &load.entry.name);
        rendezvous::first(&request.key, names).cloned()
    }
}

/// The upstream with the lowest reported load, a baseline; reports lag behind the true load.
#[derive(Debug, Default)]
pub struct LeastLoadPolicy;

impl PlacementPolicy for LeastLoadPolicy {
    const BOUNDED: bool = false;

    fn choose(
        &mut self,
        _request: &PlaceRequest,
        candidates: &[&UpstreamLoad],
        random: u64,
    ) -> Option<UpstreamName> {
        candidates
            .iter()
            .min_by_key(|load| {
                (
                    load.reported,
                    xxh3_64(load.entry.name.as_str().as_bytes()) ^ random,
                )
            })
            .map(|load| load.entry.name.clone())
    }
}

/// A random upstream, a baseline.
#[derive(Debug, Default)]
pub struct RandomPolicy;

impl PlacementPolicy for RandomPolicy {
    const BOUNDED: bool = false;

    fn choose(
        &mut self,
        _request: &PlaceRequest,
        candidates: &[&UpstreamLoad],
        random: u64,
    ) -> Option<UpstreamName> {
        let len = u64::try_from(candidates.len())
            .ok()
            .filter(|len| *len > 0)?;
        let position = usize::try_from(random % len).ok()?;
        candidates.get(position).map(|load| load.entry.name.clone())
    }
}

/// The chat's last upstream, or else the least loaded one.
#[derive(Debug)]
pub struct AffinityPolicy {
    last_upstreams: LruCache<u64, UpstreamName>,
}

impl AffinityPolicy {
    /// Creates the policy; it remembers the last upstreams of the `chats_max` most recent chats.
    #[must_use]
    pub fn new(chats_max: NonZeroUsize) -> Self {
        let last_upstreams = LruCache::new(chats_max);
        Self { last_upstreams }
    }
}

impl PlacementPolicy for AffinityPolicy {
    const BOUNDED: bool = true;

    fn choose(
        &mut self,
        request: &PlaceRequest,
        candidates: &[&UpstreamLoad],
        _random: u64,
    ) -> Option<UpstreamName> {
        let key = xxh3_64(request.key.as_bytes());
        let last = self.last_upstreams.get(&key).or(request.hint.as_ref());
        let is_last = |load: &&&UpstreamLoad| Some(&load.entry.name) == last;
        if let Some(load) = candidates.iter().find(is_last) {
            return Some(load.entry.name.clone());
        }
        let score = |load: &UpstreamLoad| rendezvous::score(&request.key, load.entry.name.as_str());
        candidates
            .iter()
            .min_by_key(|load| (load.total(), std::cmp::Reverse(score(load))))
            .map(|load| load.entry.name.clone())
    }

    fn remember(&mut self, request: &PlaceRequest, upstream: &UpstreamName) {
        let key = xxh3_64(request.key.as_bytes());
        self.last_upstreams.put(key, upstream.clone());
    }
}

/// The placement policy selected in the settings.
#[derive(Debug)]
pub enum PolicyChoice {
    /// Rendezvous hashing of the chat.
    Hash(HashPolicy),
    /// The chat's last upstream, or else the least loaded one.
    Affinity(AffinityPolicy),
    /// The upstream with the lowest reported load.
    LeastLoad(LeastLoadPolicy),
    /// A random upstream.
    Random(RandomPolicy),
}

impl PolicyChoice {
    /// Creates the policy `kind`; [`AffinityPolicy`] remembers at most `chats_max` chats.
    #[must_use]
    pub fn new(kind: PolicyKind, chats_max: NonZeroUsize) -> Self {
        match kind {
            PolicyKind::Hash => Self::Hash(HashPolicy),
            PolicyKind::Affinity => Self::Affinity(AffinityPolicy::new(chats_max)),
            PolicyKind::LeastLoad => Self::LeastLoad(LeastLoadPolicy),
            PolicyKind::Random => Self::Random(RandomPolicy),
        }
    }
}

/// Loads by upstream name.
pub(super) type LoadTable = HashMap<UpstreamName, UpstreamLoad>;
