//! Counts of a load's calls in all groups.

use {
    super::{
        CallKind, CallRecord, GroupReport, LoadReport, LoadSettings, ReuseReference, SkewReport,
        group_tally::GroupTally,
    },
    crate::caller::CallVerdict,
    std::{collections::BTreeMap, time::Duration},
};

/// Start delay from which a call counts as late.
const LATE_DELAY_MIN: Duration = Duration::from_millis(50);

/// Maximum number of problems that a report describes.
const PROBLEMS_MAX: usize = 20;

/// Counts of all calls, by kind, by workspace and by both.
#[derive(Debug)]
pub(super) struct LoadTally {
    all: GroupTally,
    workspace_kinds: BTreeMap<(usize, CallKind), GroupTally>,
    kinds: BTreeMap<CallKind, GroupTally>,
    late: u64,
    problems: Vec<String>,
    workspaces: BTreeMap<usize, GroupTally>,
}

impl LoadTally {
    pub(super) fn new() -> Self {
        Self {
            all: GroupTally::new("all".to_owned()),
            workspace_kinds: BTreeMap::new(),
            kinds: BTreeMap::new(),
            late: 0,
            problems: Vec::new(),
            workspaces: BTreeMap::new(),
        }
    }

    pub(super) fn push(&mut self, record: &CallRecord, settings: &LoadSettings) {
        let workspace = &settings.workspaces[record.workspace].name;
        let kind = record.kind.name();
        self.workspace_kinds
            .entry((record.workspace, record.kind))
            .or_insert_with(|| GroupTally::new(format!("{workspace} {kind}")))
            .push(record);
        self.kinds
            .entry(record.kind)
            .or_insert_with(|| GroupTally::new(kind))
            .push(record);
        let tally = self
            .workspaces
            .entry(record.workspace)
            .or_insert_with(|| GroupTally::new(workspace.clone()));
        for tally in [tally, &mut self.all] {
            match record.kind {
                CallKind::Chat(_) => tally.push(record),
                CallKind::Desk(_) => tally.push_count(record),
            }
        }
        self.late += u64::from(record.late >= LATE_DELAY_MIN);
        if let Some(problem) = describe_problem(record)
            && self.problems.len() < PROBLEMS_MAX
        {
            self.problems.push(problem);
        }
    }

    pub(super) fn into_report(
        self,
        settings: &LoadSettings,
        reference: &ReuseReference,
        skew: Option<SkewReport>,
    ) -> LoadReport {
        let total_reuse = reference.total();
        let reference_reuse = |kind: CallKind| match kind {
            CallKind::Chat(profile) => reference.profiles.get(&profile),
            CallKind::Desk(_) => None,
        };
        let classes: Vec<GroupReport> = self
            .kinds
            .into_iter()
            .map(|(kind, tally)| tally.into_report(reference_reuse(kind)))
            .collect();
        let workspace_classes = self
            .workspace_kinds
            .into_values()
            .map(|tally| tally.into_report(None))
            .collect();
        let workspaces = self
            .workspaces
            .into_iter()
            .map(|(workspace, tally)| tally.into_report(reference.workspaces.get(&workspace)))
            .collect();
        LoadReport {
            all: self.all.into_report(Some(&total_reuse)),
            classes,
            duration_ms: u64::try_from(settings.duration.as_millis()).unwrap_or(u64::MAX),
            late: self.late,
            problems: self.problems,
            rate: settings.rate,
            seed: settings.seed,
            skew,
            workspace_classes,
            workspaces,
        }
    }
}

/// Describes why a call has no complete answer; `None` when it has one.
fn describe_problem(record: &CallRecord) -> Option<String> {
    let (kind, detail) = match &record.verdict {
        CallVerdict::Broken { detail } => ("broken", detail.as_str()),
        CallVerdict::Complete => return None,
        CallVerdict::Foreign { detail } => ("foreign", detail.as_str()),
        CallVerdict::Refused(refusal) => ("refused", refusal.code.as_str()),
        CallVerdict::Unreachable { detail } => ("unreachable", detail.as_str()),
    };
    Some(format!("{}: {kind}: {detail}", record.request_id))
}
