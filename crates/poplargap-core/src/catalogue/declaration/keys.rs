//! All keys of declarations with their units, defaults and bounds.

use {
    crate::{
        catalogue::{EngineRole, FencingCheck, PoolKind, PriorityClass, UpstreamState},
        input::{
            KeyDefault::{self, Absent, Required, Text},
            KeyDescription, ValueKind,
        },
    },
    std::time::Duration,
    strum::VariantNames,
};

const DAY_MS: u64 = 86_400_000;
const NO_ORDER_EFFECT: &str = "nothing is ordered";
const NOT_REMOVED_EFFECT: &str = "the entry stays";
const NO_LIMIT_EFFECT: &str = "no limit";

const fn key(
    section: &'static str,
    key: &'static str,
    kind: ValueKind,
    default: KeyDefault,
    meaning: &'static str,
) -> KeyDescription {
    KeyDescription {
        default,
        key,
        kind,
        meaning,
        section,
    }
}

const fn count(min: u64, max: u64, unit: &'static str) -> ValueKind {
    ValueKind::Number { max, min, unit }
}

const fn remove(section: &'static str) -> KeyDescription {
    let meaning = "`yes`, as the section's only key, removes the entry";
    key(
        section,
        "remove",
        ValueKind::YesNo,
        Absent(NOT_REMOVED_EFFECT),
        meaning,
    )
}

const DEADLINE: ValueKind = ValueKind::Duration {
    max: Duration::from_millis(DAY_MS),
    min: Duration::from_millis(1),
};

/// Keys of declarations, sorted by kind of entry and key.
#[rustfmt::skip]
pub const CATALOGUE_KEYS: &[KeyDescription] = &[
    key("class", "concurrency", count(1, 1_000_000, "requests"), Absent(NO_LIMIT_EFFECT), "most requests in flight at once, over all data centres"),
    key("class", "deadline", DEADLINE, Required, "longest time from accepting a request to the end of its answer"),
    key("class", "owner", ValueKind::Name, Required, "the workspace that owns the class"),
    key("class", "pool", ValueKind::Name, Required, "the pool that serves the class"),
    key("class", "priority", ValueKind::Choice(PriorityClass::VARIANTS), Required, "order among waiting work, the first word first"),
    remove("class"),
    key("class", "repeatable", ValueKind::YesNo, Required, "whether a call is idempotent, so that it may run more than once"),
    key("class", "requests-per-second", count(1, 1_000_000, "requests a second"), Absent(NO_LIMIT_EFFECT), "most requests started in any second, over all data centres"),
    key("class", "tokens-per-minute", count(1, 1_000_000_000_000, "tokens a minute"), Absent(NO_LIMIT_EFFECT), "most prompt and answer tokens in any minute, over all data centres"),
    remove("data-centre"),
    key("pool", "kind", ValueKind::Choice(PoolKind::VARIANTS), Required, "what the upstreams are"),
    key("pool", "loads-at-once", count(1, 4096, "upstreams"), Absent(NO_LIMIT_EFFECT), "most upstreams that load weights at once, over all data centres"),
    key("pool", "multiple", ValueKind::Decimal { max: 100, min: 1 }, Required, "multiple of the pool's mean load that no upstream passes"),
    key("pool", "queue", count(0, 1_000_000, "requests"), Required, "most requests that wait at the owner of one shard of the pool"),
    remove("pool"),
    key("pool", "shard-size", count(1, 4096, "upstreams"), Text("32"), "most upstreams in one shard of the pool, which one daemon owns"),
    key("pool", "slots", count(1, 65_536, "requests"), Required, "most requests that one upstream works on at once"),
    key("upstream", "adapters", ValueKind::NameList, Absent(NO_ORDER_EFFECT), "adapters that the engine is ordered to load"),
    key("upstream", "address", ValueKind::Address, Required, "where the upstream listens for HTTP"),
    key("upstream", "data-centre", ValueKind::Name, Required, "the data centre that the upstream stands in"),
    key("upstream", "fencing", ValueKind::Choice(FencingCheck::VARIANTS), Required, "whether the upstream refuses orders with an old fencing number"),
    key("upstream", "model-version", ValueKind::Name, Absent(NO_ORDER_EFFECT), "version of the pool's model that the engine is ordered to load"),
    key("upstream", "pool", ValueKind::Name, Required, "the pool that the upstream belongs to"),
    remove("upstream"),
    key("upstream", "role", ValueKind::Choice(EngineRole::VARIANTS), Absent(NO_ORDER_EFFECT), "role that the engine is ordered to take"),
    key("upstream", "state", ValueKind::Choice(UpstreamState::VARIANTS), Text("serving"), "whether the upstream takes new work"),
    key("workspace", "key-sha256", ValueKind::Digest, Required, "SHA-256 of the workspace's bearer key"),
    remove("workspace"),
];
