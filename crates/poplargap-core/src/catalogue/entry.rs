//! Catalogue entries as validated types.

use {
    super::{EntryKind, EntryRef, KeyDigest, LoadMultiple},
    crate::name::{
        AdapterName, ClassName, DataCentre, ModelVersion, PoolName, UpstreamName, WorkspaceName,
    },
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
    strum::{Display, EnumIter, EnumString, IntoStaticStr, VariantNames},
};

/// Priority of waiting requests; earlier variants are served first.
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
    /// A user is waiting for the answer.
    Interactive,
    /// Requests without special urgency.
    Standard,
    /// Requests that tolerate long waits.
    Batch,
}

/// Kind of the upstreams in a pool.
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
    /// HTTP services other than model engines.
    Service,
}

/// Phases of inference that an engine runs.
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
    /// Generates tokens from prompts that another engine has processed.
    Decode,
    /// Processes prompts for engines that decode.
    Prefill,
    /// Processes prompts and generates tokens.
    Serve,
    /// Keeps the weights loaded and serves no requests.
    Standby,
}

/// Whether an upstream rejects orders that carry an outdated fencing number.
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
    /// The upstream rejects orders with an outdated fencing number.
    Checked,
    /// The upstream executes every order.
    Ignored,
}

/// State that operators have declared for an upstream.
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
    /// Finishes the requests in flight and receives no new ones.
    Draining,
    /// Receives new requests.
    Serving,
}

/// Limits of one class, summed over all data centres. `None` means unlimited.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct LimitSet {
    /// Largest number of requests in flight.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub concurrency: Option<u32>,
    /// Largest number of requests started in any one second.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub requests_per_second: Option<u32>,
    /// Largest number of prompt and answer tokens in any one minute.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tokens_per_minute: Option<u64>,
}

/// A class of requests with its owner, pool, priority and limits.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct ClassEntry {
    /// Longest time from accepting a request to the end of its answer, in milliseconds.
    pub deadline_ms: u64,
    /// Limits, summed over all data centres.
    pub limits: LimitSet,
    /// Name of the class.
    pub name: ClassName,
    /// Workspace that owns the class.
    pub owner: WorkspaceName,
    /// Pool that serves the class.
    pub pool: PoolName,
    /// Priority among waiting requests.
    pub priority: PriorityClass,
    /// Whether requests are idempotent and may be executed more than once.
    pub repeatable: bool,
}

impl ClassEntry {
    /// Returns the longest time from accepting a request to the end of its answer.
    #[must_use]
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }
}

/// A data centre. Limits are divided among all data centres.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct DataCentreEntry {
    /// Name of the data centre.
    pub name: DataCentre,
}

/// A pool of interchangeable upstreams that serve one model or one service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct PoolEntry {
    /// Kind of the upstreams.
    pub kind: PoolKind,
    /// Largest number of upstreams that load weights at once, over all data centres.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub loads_at_once: Option<u32>,
    /// Largest load of an upstream, as a multiple of the pool's mean load.
    pub multiple: LoadMultiple,
    /// Name of the pool; callers use it as the name of the model or service.
    pub name: PoolName,
    /// Largest number of requests that wait at one shard owner of the pool.
    pub queue: u32,
    /// Target number of upstreams in one shard of the pool; hashing may make a shard larger.
    pub shard_size: u32,
    /// Largest number of requests that one upstream serves at once.
    pub slots: u32,
}

/// An engine or service instance that requests are forwarded to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct UpstreamEntry {
    /// Adapters that the engine is to load.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub adapters: Vec<AdapterName>,
    /// Address on which the upstream serves HTTP.
    pub address: SocketAddr,
    /// Data centre in which the upstream runs.
    pub data_centre: DataCentre,
    /// Whether the upstream rejects orders with an outdated fencing number.
    pub fencing: FencingCheck,
    /// Version of the model that the engine is to load.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model_version: Option<ModelVersion>,
    /// Name of the upstream.
    pub name: UpstreamName,
    /// Pool that the upstream belongs to.
    pub pool: PoolName,
    /// Role that the engine is to assume.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<EngineRole>,
    /// State that operators have declared for the upstream.
    pub state: UpstreamState,
}

/// A workspace, whose callers authenticate by a bearer key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct WorkspaceEntry {
    /// SHA-256 of the bearer key.
    pub key_sha256: KeyDigest,
    /// Name of the workspace.
    pub name: WorkspaceName,
}

/// A catalogue entry of any kind.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "entry-kind")]
pub enum CatalogueEntry {
    /// A class of requests.
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
