//! Client for the status and metrics of daemons.

use {
    super::settings_text::OPERATOR_TOKEN,
    reqwest::Client,
    serde::Deserialize,
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
};

/// Longest wait for a daemon's answer.
const TIMEOUT: Duration = Duration::from_secs(2);

/// The part of a daemon's status that tests need.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub struct DaemonStatus {
    /// Names of the daemons of its data centre that this daemon considers ready.
    pub members_ready: Vec<String>,
    /// Revision of the catalogue in force.
    pub revision: u64,
    /// State of the daemon, such as `ready`.
    pub state: String,
}

/// HTTP client for the daemons' listeners for operators.
#[derive(Clone, Debug, Default)]
pub struct StatusClient(Client);

impl StatusClient {
    /// Reads a daemon's status; returns `None` on any error.
    pub async fn status(&self, operators: SocketAddr) -> Option<DaemonStatus> {
        let url = format!("http://{operators}/v1/status");
        let request = self.0.get(url).bearer_auth(OPERATOR_TOKEN).timeout(TIMEOUT);
        request.send().await.ok()?.json().await.ok()
    }

    /// Reads a daemon's metrics as pairs of series (name with labels) and value.
    ///
    /// Returns nothing when the daemon doesn't answer.
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

    /// Reads a daemon's metrics, summed over all labels, by name.
    pub async fn metrics(&self, operators: SocketAddr) -> BTreeMap<String, f64> {
        let mut sums = BTreeMap::new();
        for (series, value) in self.series(operators).await {
            let name = series.split('{').next().unwrap_or(&series);
            *sums.entry(name.to_owned()).or_insert(0.0) += value;
        }
        sums
    }
}
