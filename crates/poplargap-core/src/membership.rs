//! Which daemons of the own data centre are alive, from their heartbeats.

use {
    crate::{
        collections::{HashMap, HashMapExt},
        instant::MonotonicInstant,
        name::DaemonName,
    },
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
    strum::{Display, IntoStaticStr},
};

/// What a daemon says of itself.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, IntoStaticStr, PartialEq, Serialize,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum MemberState {
    /// Has no catalogue yet.
    Joining,
    /// Finishes what it has and is home to nothing.
    Leaving,
    /// Takes part.
    Ready,
}

/// What one heartbeat says of its sender.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct MemberReport {
    /// Start of the sender's process, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// The sender's name.
    pub name: DaemonName,
    /// The sender's listener for RPC and heartbeats.
    pub peers: SocketAddr,
    /// The sender's listener for requests between daemons.
    pub relay: SocketAddr,
    /// Revision of the catalogue in force at the sender.
    pub revision: u64,
    /// Number of the heartbeat within the incarnation.
    pub sequence: u64,
    /// What the sender says of itself.
    pub state: MemberState,
}

/// One member as last heard.
#[derive(Clone, Debug)]
pub struct MemberRecord {
    /// When the last heartbeat came.
    pub received_at: MonotonicInstant,
    /// The last heartbeat's report.
    pub report: MemberReport,
}

/// Whether a heartbeat changed what is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeartbeatEffect {
    /// The sender is new, restarted, came back, or changed its state.
    Changed,
    /// Only the time and the counters moved.
    Refreshed,
    /// The heartbeat is older than one already seen.
    Stale,
}

/// The members of one data centre as one daemon sees them.
#[derive(Debug)]
pub struct MemberTable {
    checked: MonotonicInstant,
    own: MemberReport,
    records: HashMap<DaemonName, MemberRecord>,
    suspect_timeout: Duration,
}

impl MemberTable {
    /// Creates a table that knows only the daemon itself.
    ///
    /// A member that isn't heard for `suspect_timeout` counts as dead.
    #[must_use]
    pub fn new(own: MemberReport, suspect_timeout: Duration, now: MonotonicInstant) -> Self {
        let records = HashMap::new();
        Self {
            checked: now,
            own,
            records,
            suspect_timeout,
        }
    }

    /// Takes in a heartbeat that arrived at `now`.
    pub fn record_heartbeat(
        &mut self,
        report: MemberReport,
        now: MonotonicInstant,
    ) -> HeartbeatEffect {
        if report.name == self.own.name {
            return HeartbeatEffect::Stale;
        }
        let Some(record) = self.records.get(&report.name) else {
            let name = report.name.clone();
            self.records.insert(
                name,
                MemberRecord {
                    received_at: now,
                    report,
                },
            );
            return HeartbeatEffect::Changed;
        };
        let alive = now.since(record.received_at) <= self.suspect_timeout;
        let order = (report.incarnation, report.sequence);
        if alive && order <= (record.report.incarnation, record.report.sequence) {
            return HeartbeatEffect::Stale;
        }
        let same =
            record.report.incarnation == report.incarnation && record.report.state == report.state;
        let effect = if alive && same {
            HeartbeatEffect::Refreshed
        } else {
            HeartbeatEffect::Changed
        };
        let name = report.name.clone();
        self.records.insert(
            name,
            MemberRecord {
                received_at: now,
                report,
            },
        );
        effect
    }

    /// Removes members that were not heard for the suspect time and returns their names.
    ///
    /// Time in which the daemon itself was paused says nothing about its peers and doesn't count.
    pub fn expire(&mut self, now: MonotonicInstant) -> Vec<DaemonName> {
        let suspect_timeout = self.suspect_timeout;
        let pause = now.since(self.checked);
        self.checked = now;
        if pause > suspect_timeout / 2 {
            for record in self.records.values_mut() {
                record.received_at = record.received_at + pause;
            }
        }
        let mut dead: Vec<DaemonName> = self
            .records
            .iter()
            .filter(|(_, record)| now.since(record.received_at) > suspect_timeout)
            .map(|(name, _)| name.clone())
            .collect();
        dead.sort();
        for name in &dead {
            self.records.remove(name);
        }
        dead
    }

    /// Sets the silence after which a member counts as dead.
    pub fn set_suspect_timeout(&mut self, suspect_timeout: Duration) {
        self.suspect_timeout = suspect_timeout;
    }

    /// Returns the daemon's own report.
    #[must_use]
    pub fn own(&self) -> &MemberReport {
        &self.own
    }

    /// Returns the daemon's own report for changing it.
    pub fn own_mut(&mut self) -> &mut MemberReport {
        &mut self.own
    }

    /// Returns every known member but the daemon itself.
    pub fn peers(&self) -> impl Iterator<Item = &MemberReport> {
        self.records.values().map(|record| &record.report)
    }

    /// Returns the ready members with the daemon itself, by name.
    #[must_use]
    pub fn ready(&self) -> Vec<MemberReport> {
        let mut ready: Vec<MemberReport> = self
            .peers()
            .chain(std::iter::once(&self.own))
            .filter(|report| report.state == MemberState::Ready)
            .cloned()
            .collect();
        ready.sort_by(|a, b| a.name.cmp(&b.name));
        ready
    }
}
