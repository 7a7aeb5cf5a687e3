//! All keys of the settings with their units, defaults and bounds.

use {
    super::{LogFormat, LogLevel},
    crate::{
        input::{
            ByteSize,
            KeyDefault::{self, Absent, Required, Text},
            KeyDescription, ValueKind,
        },
        owner::PolicyKind,
    },
    std::time::Duration,
    strum::VariantNames,
};

const SECRET: ValueKind = ValueKind::Secret { len_min: 16 };

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

const fn duration_ms(min_ms: u64, max_ms: u64) -> ValueKind {
    ValueKind::Duration {
        max: Duration::from_millis(max_ms),
        min: Duration::from_millis(min_ms),
    }
}

/// Keys of the settings, sorted by section and key.
#[rustfmt::skip]
pub const SETTING_KEYS: &[KeyDescription] = &[
    key("daemon", "callers", ValueKind::Listener, Required, "where callers send requests, over TCP"),
    key("daemon", "data-centre", ValueKind::Name, Required, "the data centre that the daemon stands in"),
    key("daemon", "name", ValueKind::Name, Required, "the daemon's name, unique in the fleet"),
    key("daemon", "operators", ValueKind::Listener, Required, "where operators ask for status and metrics, over TCP"),
    key("daemon", "peers", ValueKind::Listener, Required, "where other daemons call (TCP) and send heartbeats (UDP, same port)"),
    key("daemon", "relay", ValueKind::Listener, Required, "where other daemons send callers' requests, over TCP"),
    key("fleet", "secret", SECRET, Required, "the secret that all daemons of the fleet share"),
    key("fleet", "seeds", ValueKind::AddressList, Absent("the VM list alone is asked"), "peers' addresses of daemons to join through"),
    key("invariants", "panic", ValueKind::YesNo, Text("no"), "whether a broken invariant ends the daemon; it is counted either way"),
    key("limits", "body-deadline", duration_ms(100, 600_000), Text("10s"), "longest time in which a caller sends its request's body"),
    key("limits", "body-max", ValueKind::Bytes { max: ByteSize::from_bytes(64 << 20), min: ByteSize::from_bytes(1 << 10) }, Text("4MiB"), "largest body of a caller's request"),
    key("limits", "callers-max", count(1, 1_000_000, "connections"), Text("4096"), "most connections of callers at once"),
    key("log", "format", ValueKind::Choice(LogFormat::VARIANTS), Text("terminal"), "how log lines are written"),
    key("log", "level", ValueKind::Choice(LogLevel::VARIANTS), Text("info"), "the least severe lines that are written"),
    key("operators", "token", SECRET, Required, "the bearer token that operators show"),
    key("placement", "memory", count(1, 16_777_216, "chats"), Text("65536"), "chats whose last replica is remembered"),
    key("placement", "policy", ValueKind::Choice(PolicyKind::VARIANTS), Text("homed"), "how a request finds its upstream; all but `homed` are baselines"),
    key("store", "address", ValueKind::Address, Required, "the platform's key-value store, over HTTP"),
    key("store", "calls-per-second", count(1, 10_000, "calls a second"), Text("20"), "most calls that this daemon makes to the store"),
    key("store", "timeout", duration_ms(10, 60_000), Text("2s"), "longest wait for an answer of the store"),
    key("timeouts", "between-events", duration_ms(10, 600_000), Text("5s"), "longest wait between two events of an answer"),
    key("timeouts", "connect", duration_ms(1, 30_000), Text("250ms"), "longest wait for a connection"),
    key("timeouts", "drain", duration_ms(10, 3_600_000), Text("60s"), "longest time in which a closing daemon finishes what is in flight"),
    key("timeouts", "first-byte", duration_ms(10, 3_600_000), Text("30s"), "longest wait for the first byte of an answer"),
    key("timeouts", "heartbeat", duration_ms(10, 10_000), Text("250ms"), "time between two heartbeats to a peer"),
    key("timeouts", "order", duration_ms(100, 3_600_000), Text("60s"), "longest time from sending an order to an engine to the end of carrying it out; the same on all daemons"),
    key("timeouts", "order-lease", duration_ms(500, 600_000), Text("10s"), "time to live of the lease of the daemon that gives a data centre's orders; the same on all daemons"),
    key("timeouts", "suspect", duration_ms(20, 60_000), Text("1s"), "silence after which a peer is suspected; at least two heartbeats"),
    key("timeouts", "write", duration_ms(10, 600_000), Text("10s"), "longest time for which a caller may take no bytes"),
    key("vm-list", "address", ValueKind::Address, Absent("the store's address"), "the platform's VM list, over HTTP"),
    key("vm-list", "poll", duration_ms(100, 600_000), Text("2s"), "time between two readings of the VM list"),
];
