//! Membership of the daemons of one data centre, based on their heartbeats.

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

/// State of a daemon, as it reports itself.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, IntoStaticStr, PartialEq, Serialize,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum MemberState {
    /// The daemon has no catalogue yet.
    Joining,
    /// The daemon completes its requests in flight, owns no shards and lends no limits.
    Leaving,
    /// The daemon serves requests and may own shards and lend limits.
    Ready,
}

/// Report on the sender of a heartbeat.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct MemberReport {
    /// Start time of the sender's process, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// The sender's name.
    pub name: DaemonName,
    /// Address of the sender's listener for RPC and heartbeats.
    pub peers: SocketAddr,
    /// Address of the sender's listener for relayed requests.
    pub relay: SocketAddr,
    /// Revision of the catalogue in force at the sender.
    pub revision: u64,
    /// Sequence number of the heartbeat within the incarnation.
    pub sequence: u64,
    /// State of the sender.
    pub state: MemberState,
}

/// The last heartbeat of one member.
#[derive(Clone, Debug)]
pub struct MemberRecord {
    /// When the heartbeat was received, moved forward by pauses of this daemon.
    pub received_at: MonotonicInstant,
    /// The report in the heartbeat.
    pub report: MemberReport,
}

/// Effect of a heartbeat on the member table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeartbeatEffect {
    /// The sender is new, has restarted, was suspected, or has changed its state.
    Changed,
    /// The sender is unchanged apart from its sequence number, revision or addresses.
    Refreshed,
    /// The heartbeat was ignored: it is older than the last one, or it is the daemon's own.
    Stale,
}

/// The members of one data centre, from the view of one daemon.
#[derive(Debug)]
pub struct MemberTable {
    checked_at: MonotonicInstant,
    own: MemberReport,
    records: HashMap<DaemonName, MemberRecord>,
    suspect_timeout: Duration,
}

impl MemberTable {
    /// Creates a table that contains only the daemon itself.
    ///
    /// A member without a heartbeat for longer than `suspect_timeout` counts as dead.
    #[must_use]
    pub fn new(own: MemberReport, suspect_timeout: Duration, now: MonotonicInstant) -> Self {
        let records = HashMap::new();
        Self {
            checked_at: now,
            own,
            records,
            suspect_timeout,
        }
    }

    /// Records a heartbeat that was received at `now`.
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

    /// Removes members without a heartbeat for the suspect timeout and returns their names.
    ///
    /// Time in which this daemon was paused doesn't count, since it received no heartbeats then.
    pub fn expire(&mut self, now: MonotonicInstant) -> Vec<DaemonName> {
        let suspect_timeout = self.suspect_timeout;
        let pause = now.since(self.checked_at);
        self.checked_at = now;
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

    /// Sets the time without heartbeats after which a member counts as dead.
    pub fn set_suspect_timeout(&mut self, suspect_timeout: Duration) {
        self.suspect_timeout = suspect_timeout;
    }

    /// Returns the daemon's own report.
    #[must_use]
    pub fn own(&self) -> &MemberReport {
        &self.own
    }

    /// Returns the daemon's own report, mutable.
    pub fn own_mut(&mut self) -> &mut MemberReport {
        &mut self.own
    }

    /// Returns the reports of all members except the daemon itself.
    pub fn peers(&self) -> impl Iterator<Item = &MemberReport> {
        self.records.values().map(|record| &record.report)
    }

    /// Returns the ready members sorted by name, the daemon itself included when it is ready.
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
