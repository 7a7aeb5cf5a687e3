//! Catalogue entries as checked types.

use {
    super::{EntryKind, EntryRef, KeyDigest, LoadMultiple},
    crate::name::{
        AdapterName, ClassName, DataCentre, ModelVersion, PoolName, UpstreamName, WorkspaceName,
    },
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
    strum::{Display, EnumIter, EnumString, IntoStaticStr, VariantNames},
};

/// Order in which waiting work is served; the first variant is served first.
#[derive(
    Clone,
    Copy,
    Debug,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
    Eq,
    Hash,
    IntoStaticStr,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    VariantNames,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum PriorityClass {
    /// Someone waits for the answer.
    Interactive,
    /// Ordinary work.
    Standard,
    /// Work that can wait.
    Batch,
}

/// What the upstreams of a pool are.
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
pub enum PoolKind {
    /// Model engines that answer chat completions.
    Model,
    /// Plain services.
    Service,
}

/// What an engine works on.
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
pub enum EngineRole {
    /// Produces tokens from prompts read elsewhere.
    Decode,
    /// Reads prompts for engines that decode.
    Prefill,
    /// Reads prompts and produces tokens.
    Serve,
    /// Holds its weights and does no work.
    Standby,
}

/// Whether an upstream refuses orders that carry an old fencing number.
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
pub enum FencingCheck {
    /// The upstream refuses orders with an old fencing number.
    Checked,
    /// The upstream carries out every order.
    Ignored,
}

/// What operators want of an upstream.
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
pub enum UpstreamState {
    /// Finishes what it has and gets no new work.
    Draining,
    /// Takes work.
    Serving,
}

/// Limits of one class over all data centres; an absent limit doesn't bind.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct LimitSet {
    /// Most requests in flight at once.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub concurrency: Option<u32>,
    /// Most requests started in any second.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub requests_per_second: Option<u32>,
    /// Most prompt and answer tokens in any minute.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tokens_per_minute: Option<u64>,
}

/// A class of work: its owner, where it goes, how urgent it is and what limits it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct ClassEntry {
    /// Time from accepting a request to the end of its answer, in milliseconds.
    pub deadline_ms: u64,
    /// Limits over all data centres.
    pub limits: LimitSet,
    /// The class's name.
    pub name: ClassName,
    /// The workspace that owns the class.
    pub owner: WorkspaceName,
    /// The pool that serves the class.
    pub pool: PoolName,
    /// Order among waiting work.
    pub priority: PriorityClass,
    /// Whether a call may run more than once.
    pub repeatable: bool,
}

impl ClassEntry {
    /// Returns the time from accepting a request to the end of its answer.
    #[must_use]
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }
}

/// A data centre; limits are split over all of them.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct DataCentreEntry {
    /// The data centre's name.
    pub name: DataCentre,
}

/// A pool of interchangeable upstreams: one model or one plain service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct PoolEntry {
    /// What the upstreams are.
    pub kind: PoolKind,
    /// Most upstreams that load weights at once, over all data centres.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub loads_at_once: Option<u32>,
    /// Multiple of the mean load that no upstream may pass.
    pub multiple: LoadMultiple,
    /// The pool's name: the model's or service's name that callers use.
    pub name: PoolName,
    /// Most requests that wait at one home of the pool.
    pub queue: u32,
    /// Most upstreams that one home daemon of the pool looks after.
    pub shard_size: u32,
    /// Most requests that one upstream works on at once.
    pub slots: u32,
}

/// One upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct UpstreamEntry {
    /// Adapters that the engine is ordered to load.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub adapters: Vec<AdapterName>,
    /// Where the upstream listens for HTTP.
    pub address: SocketAddr,
    /// The data centre that the upstream stands in.
    pub data_centre: DataCentre,
    /// Whether the upstream refuses orders with an old fencing number.
    pub fencing: FencingCheck,
    /// Version of the model that the engine is ordered to load.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model_version: Option<ModelVersion>,
    /// The upstream's name.
    pub name: UpstreamName,
    /// The pool that the upstream belongs to.
    pub pool: PoolName,
    /// Role that the engine is ordered to take.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<EngineRole>,
    /// What operators want of the upstream.
    pub state: UpstreamState,
}

/// A workspace and the digest of its bearer key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct WorkspaceEntry {
    /// SHA-256 of the bearer key.
    pub key_sha256: KeyDigest,
    /// The workspace's name.
    pub name: WorkspaceName,
}

/// One entry of the catalogue.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "entry-kind")]
pub enum CatalogueEntry {
    /// A class of work.
    Class(ClassEntry),
    /// A data centre.
    DataCentre(DataCentreEntry),
    /// A pool.
    Pool(PoolEntry),
    /// An upstream.
    Upstream(UpstreamEntry),
    /// A workspace.
    Workspace(WorkspaceEntry),
}

impl CatalogueEntry {
    /// Returns the entry's kind and name.
    #[must_use]
    pub fn entry_ref(&self) -> EntryRef {
        let (kind, name) = match self {
            Self::Class(entry) => (EntryKind::Class, entry.name.as_str()),
            Self::DataCentre(entry) => (EntryKind::DataCentre, entry.name.as_str()),
            Self::Pool(entry) => (EntryKind::Pool, entry.name.as_str()),
            Self::Upstream(entry) => (EntryKind::Upstream, entry.name.as_str()),
            Self::Workspace(entry) => (EntryKind::Workspace, entry.name.as_str()),
        };
        let name = name.to_owned();
        EntryRef { kind, name }
    }
}
