//! `status`: shows the revision in force on every daemon.

use {
    super::take_exactly,
    crate::{
        CommandError, CommandOptions, CommandOutput,
        command_options::parse_address,
        daemon_client::{DaemonAnswer, DaemonClient},
    },
    pico_args::Arguments,
    poplargap_link::report::StatusReport,
    serde::Serialize,
    std::{
        fmt::{self, Display, Formatter},
        io::Write,
        net::SocketAddr,
    },
};

pub(super) const HELP: &str = "\
Shows the revision in force on every daemon, oldest first.

Usage: poplargap status --daemon ADDRESS [--daemon ADDRESS]…

ADDRESS is a daemon's operators' listener; the operators' token is taken from the variable
POPLARGAP_OPERATOR_TOKEN. Daemons without an answer come first. An edit is in force on a daemon
whose revision is at least the one that `apply` named.

Exit codes: 0 all daemons answered, 1 some didn't, 2 faults.

Example:
  poplargap status --daemon 10.0.0.7:8081 --daemon 10.0.0.8:8081
";

#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct StatusLine {
    address: SocketAddr,
    #[serde(skip_serializing_if = "Option::is_none")]
    error: Option<String>,
    #[serde(flatten)]
    report: Option<StatusReport>,
}

impl StatusLine {
    fn new(answer: DaemonAnswer<StatusReport>) -> Self {
        let (error, report) = match answer.outcome {
            Ok(Some(report)) => (None, Some(report)),
            Ok(None) => (Some("nothing is served there".to_owned()), None),
            Err(error) => (Some(error), None),
        };
        Self {
            address: answer.address,
            error,
            report,
        }
    }
}

impl Display for StatusLine {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let address = self.address;
        let Some(report) = &self.report else {
            let error = self.error.as_deref().unwrap_or_default();
            return write!(f, "no status from {address}: {error}");
        };
        let StatusReport {
            daemon,
            data_centre,
            requests_in_flight,
            revision,
            state,
            ..
        } = report;
        write!(
            f,
            "revision {revision}, {state}, {requests_in_flight} in flight: \
             {daemon} in {data_centre} at {address}"
        )
    }
}

/// Removes the repeated option `--daemon` from `arguments` and returns its addresses.
pub(super) fn take_daemons(arguments: &mut Arguments) -> Result<Vec<SocketAddr>, CommandError> {
    let daemons = arguments
        .values_from_str::<_, String>("--daemon")
        .map_err(|error| CommandError::Arguments(error.to_string()))?;
    if daemons.is_empty() {
        let message = "no daemon is named; give `--daemon ADDRESS`, once for each daemon";
        return Err(CommandError::Arguments(message.to_owned()));
    }
    daemons
        .iter()
        .map(|daemon| parse_address("--daemon", daemon))
        .collect()
}

pub(super) async fn run<W: Write>(
    mut arguments: Arguments,
    options: &CommandOptions,
    output: &mut CommandOutput<'_, W>,
) -> Result<(), CommandError> {
    let daemons = take_daemons(&mut arguments)?;
    let [] = take_exactly(arguments, "poplargap status --daemon ADDRESS…")?;
    let client = DaemonClient::new(options)?;
    let answers = client.get_all(&daemons, "/v1/status").await;
    let mut lines: Vec<StatusLine> = answers.into_iter().map(StatusLine::new).collect();
    lines.sort_by_key(|line| line.report.as_ref().map(|report| report.revision));
    for line in &lines {
        output.line(line)?;
    }
    match lines.iter().filter(|line| line.report.is_none()).count() {
        0 => Ok(()),
        silent => Err(CommandError::DaemonsSilent {
            asked: lines.len(),
            silent,
        }),
    }
}
