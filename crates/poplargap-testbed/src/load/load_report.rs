//! The report of a load.

use {
    super::SkewReport,
    serde::{Deserialize, Serialize},
    std::fmt::{self, Display, Formatter},
};

/// Quantiles of a latency, in milliseconds.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct LatencyReport {
    /// Median.
    pub p50_ms: f64,
    /// 95th percentile.
    pub p95_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
}

/// Outcomes of one group of calls; times and reuse include only complete answers.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct GroupReport {
    /// Answers that broke off before their end.
    pub broken: u64,
    /// Complete answers that belong to their own call.
    pub complete: u64,
    /// Number of calls.
    pub count: u64,
    /// Time to the first token, or to a service's complete answer.
    pub first_token: Option<LatencyReport>,
    /// Answers that contain parts of another call's answer.
    pub foreign: u64,
    /// Name of the group.
    pub name: String,
    /// Cached part of the prompt tokens in the simulated reference, on the same schedule.
    pub reference_reuse: Option<f64>,
    /// Refusals of calls that did not run.
    pub refused_not_run: u64,
    /// Refusals of calls that ran.
    pub refused_ran: u64,
    /// Refusals of calls for which it is unknown whether they ran.
    pub refused_unknown: u64,
    /// Calls that were sent more than once.
    pub resent: u64,
    /// Cached part of the prompt tokens.
    pub reuse: Option<f64>,
    /// Time between tokens.
    pub token_gap: Option<LatencyReport>,
    /// Calls that reached no daemon.
    pub unreachable: u64,
}

/// The report of a load.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct LoadReport {
    /// All calls; the times are those of chats.
    pub all: GroupReport,
    /// Calls by kind.
    pub classes: Vec<GroupReport>,
    /// Time during which calls are planned to start, in milliseconds.
    pub duration_ms: u64,
    /// Calls that started late, because the previous turn hadn't ended or the machine was busy.
    pub late: u64,
    /// Descriptions of the first calls without a complete answer.
    pub problems: Vec<String>,
    /// Planned chat turns per second.
    pub rate: f64,
    /// Seed of the schedule.
    pub seed: u64,
    /// Skew of load over the engines, when it was sampled.
    pub skew: Option<SkewReport>,
    /// Calls by workspace and kind; included only in the JSON, not in the table.
    pub workspace_classes: Vec<GroupReport>,
    /// Calls by workspace; the times are those of chats.
    pub workspaces: Vec<GroupReport>,
}

impl Display for LoadReport {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<10} {:>6} {:>8} {:>7} {:>5} {:>7} {:>6} {:>7} {:>7} {:>9} {:>9} {:>9} {:>8} {:>6} {:>6}",
            "group",
            "count",
            "complete",
            "not-run",
            "ran",
            "unknown",
            "broken",
            "foreign",
            "unreach",
            "ttft p50",
            "ttft p95",
            "ttft p99",
            "gap p95",
            "reuse",
            "ref",
        )?;
        let groups = self
            .classes
            .iter()
            .chain(&self.workspaces)
            .chain([&self.all]);
        for group in groups {
            write_group(f, group)?;
        }
        if let Some(skew) = &self.skew {
            writeln!(f, "{skew}")?;
        }
        writeln!(f, "seed {}, {} late", self.seed, self.late)
    }
}

fn write_group(f: &mut Formatter<'_>, group: &GroupReport) -> fmt::Result {
    let first_token = group.first_token;
    writeln!(
        f,
        "{:<10} {:>6} {:>8} {:>7} {:>5} {:>7} {:>6} {:>7} {:>7} {:>9} {:>9} {:>9} {:>8} {:>6} {:>6}",
        group.name,
        group.count,
        group.complete,
        group.refused_not_run,
        group.refused_ran,
        group.refused_unknown,
        group.broken,
        group.foreign,
        group.unreachable,
        cell(first_token.map(|latency| latency.p50_ms), 1),
        cell(first_token.map(|latency| latency.p95_ms), 1),
        cell(first_token.map(|latency| latency.p99_ms), 1),
        cell(group.token_gap.map(|latency| latency.p95_ms), 1),
        cell(group.reuse, 3),
        cell(group.reference_reuse, 3),
    )
}

fn cell(value: Option<f64>, digits: usize) -> String {
    value.map_or_else(|| "-".to_owned(), |value| format!("{value:.digits$}"))
}
