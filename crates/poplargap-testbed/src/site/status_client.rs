//! Reads what daemons say of themselves.

use {
    super::settings_text::OPERATOR_TOKEN,
    reqwest::Client,
    serde::Deserialize,
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
};

const TIMEOUT: Duration = Duration::from_secs(2);

/// A daemon's status, as far as tests need it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub struct DaemonStatus {
    /// Ready daemons of the data centre, as this daemon sees them.
    pub members_ready: Vec<String>,
    /// Revision of the catalogue in force.
    pub revision: u64,
    /// What the daemon says of itself.
    pub state: String,
}

/// Asks daemons' listeners for operators.
#[derive(Clone, Debug, Default)]
pub struct StatusClient(Client);

impl StatusClient {
    /// Reads a daemon's status; `None` when it doesn't answer.
    pub async fn status(&self, operators: SocketAddr) -> Option<DaemonStatus> {
        let url = format!("http://{operators}/v1/status");
        let request = self.0.get(url).bearer_auth(OPERATOR_TOKEN).timeout(TIMEOUT);
        request.send().await.ok()?.json().await.ok()
    }

    /// Reads a daemon's counters and gauges by name and labels, as they are written.
    pub async fn series(&self, operators: SocketAddr) -> Vec<(String, f64)> {
        let request = self
            .0
            .get(format!("http://{operators}/metrics"))
            .timeout(TIMEOUT);
        let Ok(response) = request.send().await else {
            return Vec::new();
        };
        let text = response.text().await.unwrap_or_default();
        text.lines()
            .filter(|line| !line.starts_with('#'))
            .filter_map(|line| line.rsplit_once(' '))
            .map(|(series, value)| (series.to_owned(), value.parse().unwrap_or_default()))
            .collect()
    }

    /// Reads a daemon's counters and gauges: sums over all labels, by name.
    pub async fn metrics(&self, operators: SocketAddr) -> BTreeMap<String, f64> {
        let mut sums = BTreeMap::new();
        for (series, value) in self.series(operators).await {
            let name = series.split('{').next().unwrap_or(&series);
            *sums.entry(name.to_owned()).or_insert(0.0) += value;
        }
        sums
    }
}
