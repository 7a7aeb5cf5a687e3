//! Policies that choose among the upstreams of a shard.

use {
    super::{PlaceRequest, UpstreamLoad},
    crate::{collections::HashMap, name::UpstreamName, rendezvous},
    lru::LruCache,
    serde::{Deserialize, Serialize},
    std::num::NonZeroUsize,
    strum::{Display, EnumString, IntoStaticStr, VariantNames},
    xxhash_rust::xxh3::xxh3_64,
};

/// Name of a policy, as settings give it.
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
    /// Plain consistent hashing of the chat, without a bound.
    Hash,
    /// The chat's last upstream, then the least loaded one, within the load bound.
    #[serde(rename = "homed")]
    #[strum(serialize = "homed")]
    Affinity,
    /// The least loaded upstream by its own last report.
    LeastLoad,
    /// Any upstream.
    Random,
}

/// A choice among open upstreams.
pub trait PlacementPolicy {
    /// Whether the bound on the load applies.
    const BOUNDED: bool;

    /// Chooses one of `open`, the upstreams that may take the request.
    fn choose(
        &mut self,
        request: &PlaceRequest,
        open: &[&UpstreamLoad],
        random: u64,
    ) -> Option<UpstreamName>;

    /// Notes that `upstream` took the request; a policy without memory needs nothing.
    fn remember(&mut self, _request: &PlaceRequest, _upstream: &UpstreamName) {}
}

/// Plain consistent hashing, a baseline.
#[derive(Debug, Default)]
pub struct HashPolicy;

impl PlacementPolicy for HashPolicy {
    const BOUNDED: bool = false;

    fn choose(
        &mut self,
        request: &PlaceRequest,
        open: &[&UpstreamLoad],
        _random: u64,
    ) -> Option<UpstreamName> {
        let names = open.iter().map(|load| &load.entry.name);
        rendezvous::first(&request.key, names).cloned()
    }
}

/// The least loaded upstream by its own lagged report, a baseline.
#[derive(Debug, Default)]
pub struct LeastLoadPolicy;

impl PlacementPolicy for LeastLoadPolicy {
    const BOUNDED: bool = false;

    fn choose(
        &mut self,
        _request: &PlaceRequest,
        open: &[&UpstreamLoad],
        random: u64,
    ) -> Option<UpstreamName> {
        open.iter()
            .min_by_key(|load| {
                (
                    load.reported,
                    xxh3_64(load.entry.name.as_str().as_bytes()) ^ random,
                )
            })
            .map(|load| load.entry.name.clone())
    }
}

/// Any upstream, a baseline.
#[derive(Debug, Default)]
pub struct RandomPolicy;

impl PlacementPolicy for RandomPolicy {
    const BOUNDED: bool = false;

    fn choose(
        &mut self,
        _request: &PlaceRequest,
        open: &[&UpstreamLoad],
        random: u64,
    ) -> Option<UpstreamName> {
        let len = u64::try_from(open.len()).ok().filter(|len| *len > 0)?;
        let position = usize::try_from(random % len).ok()?;
        open.get(position).map(|load| load.entry.name.clone())
    }
}

/// The chat's last upstream, then the least loaded one.
#[derive(Debug)]
pub struct AffinityPolicy {
    memory: LruCache<u64, UpstreamName>,
}

impl AffinityPolicy {
    /// Creates the policy with memory for the last upstreams of `chats` chats.
    #[must_use]
    pub fn new(chats: NonZeroUsize) -> Self {
        let memory = LruCache::new(chats);
        Self { memory }
    }
}

impl PlacementPolicy for AffinityPolicy {
    const BOUNDED: bool = true;

    fn choose(
        &mut self,
        request: &PlaceRequest,
        open: &[&UpstreamLoad],
        _random: u64,
    ) -> Option<UpstreamName> {
        let key = xxh3_64(request.key.as_bytes());
        let last = self.memory.get(&key).or(request.hint.as_ref());
        let is_last = |load: &&&UpstreamLoad| Some(&load.entry.name) == last;
        if let Some(load) = open.iter().find(is_last) {
            return Some(load.entry.name.clone());
        }
        let score = |load: &UpstreamLoad| rendezvous::score(&request.key, load.entry.name.as_str());
        open.iter()
            .min_by_key(|load| (load.total(), std::cmp::Reverse(score(load))))
            .map(|load| load.entry.name.clone())
    }

    fn remember(&mut self, request: &PlaceRequest, upstream: &UpstreamName) {
        let key = xxh3_64(request.key.as_bytes());
        self.memory.put(key, upstream.clone());
    }
}

/// The policy that settings chose.
#[derive(Debug)]
pub enum PolicyChoice {
    /// Plain consistent hashing.
    Hash(HashPolicy),
    /// Last upstream, then least loaded, bounded.
    Affinity(AffinityPolicy),
    /// Least load from lagged reports.
    LeastLoad(LeastLoadPolicy),
    /// Any upstream.
    Random(RandomPolicy),
}

impl PolicyChoice {
    /// Creates the policy named `kind` with memory for `chats` chats.
    #[must_use]
    pub fn new(kind: PolicyKind, chats: NonZeroUsize) -> Self {
        match kind {
            PolicyKind::Hash => Self::Hash(HashPolicy),
            PolicyKind::Affinity => Self::Affinity(AffinityPolicy::new(chats)),
            PolicyKind::LeastLoad => Self::LeastLoad(LeastLoadPolicy),
            PolicyKind::Random => Self::Random(RandomPolicy),
        }
    }
}

/// Loads by upstream.
pub(super) type LoadTable = HashMap<UpstreamName, UpstreamLoad>;
