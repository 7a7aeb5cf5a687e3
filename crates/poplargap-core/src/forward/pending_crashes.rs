use {
    super::CrashReport,
    crate::collections::HashMap,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Rounds in which a report of the daemon itself is sent, since datagrams may be lost.
const OWN_ROUNDS: u32 = 3;

/// Rounds in which a report of another daemon is passed on to a sample of the fleet.
const FORWARD_ROUNDS: u32 = 1;

/// Most reports that wait to be sent; further ones reach the other daemons through the store alone.
const REPORTS_MAX: usize = 64;

/// Most encoded bytes of the reports of one message.
const MESSAGE_BYTES_MAX: usize = 3_000;

/// A crash report as daemons send it to each other.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct PeerCrash {
    /// The report.
    pub report: CrashReport,
    /// Address of the daemon that saw the crash.
    pub seen_by: SocketAddr,
}

/// The crash reports that have to be sent to the peers, by their keys.
#[derive(Debug, Default)]
pub struct PendingCrashes {
    reports: HashMap<String, (PeerCrash, u32)>,
}

impl PendingCrashes {
    /// Adds a report of the daemon itself.
    pub fn record_own(&mut self, key: String, crash: PeerCrash) {
        self.record(key, crash, OWN_ROUNDS);
    }

    /// Adds a report of another daemon that this one didn't have.
    pub fn record_forwarded(&mut self, key: String, crash: PeerCrash) {
        self.record(key, crash, FORWARD_ROUNDS);
    }

    /// Returns the reports for one message; those that don't fit are left for the next round.
    pub fn take(&mut self) -> Vec<PeerCrash> {
        let mut taken = Vec::new();
        let mut bytes = 0;
        for (crash, rounds) in self.reports.values_mut() {
            let len = crash.report.encoded_len_max();
            if bytes + len > MESSAGE_BYTES_MAX {
                continue;
            }
            bytes += len;
            *rounds -= 1;
            taken.push(crash.clone());
        }
        self.reports.retain(|_, (_, rounds)| *rounds > 0);
        taken
    }

    fn record(&mut self, key: String, mut crash: PeerCrash, rounds: u32) {
        if self.reports.len() < REPORTS_MAX {
            crash.report = crash.report.trimmed(MESSAGE_BYTES_MAX);
            if !crash.report.calls().is_empty() {
                self.reports.insert(key, (crash, rounds));
            }
        }
    }
}
