//! `explain`: shows what daemons did with a request.

use {
    super::{status::take_daemons, take_exactly},
    crate::{CommandError, CommandOptions, CommandOutput, daemon_client::DaemonClient},
    pico_args::Arguments,
    poplargap_core::name::RequestId,
    poplargap_link::report::RequestTrace,
    serde::Serialize,
    std::{
        fmt::{self, Display, Formatter},
        io::Write,
        net::SocketAddr,
    },
};

pub(super) const HELP: &str = "\
Shows what daemons did with a request: why it was placed where it was, or refused.

Usage: poplargap explain --daemon ADDRESS [--daemon ADDRESS]… REQUEST-ID

ADDRESS is a daemon's operators' listener; the operators' token is taken from the variable
POPLARGAP_OPERATOR_TOKEN. A request may have passed through several daemons: name them all.

Exit codes: 0 shown, 1 no daemon that answered knows the request, 2 faults.

Example:
  poplargap explain --daemon 10.0.0.7:8081 --daemon 10.0.0.8:8081 5f0c6c1e
";

#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct ExplainLine {
    address: SocketAddr,
    #[serde(flatten)]
    trace: RequestTrace,
}

impl Display for ExplainLine {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let RequestTrace { id, steps } = &self.trace;
        write!(f, "{id} at {}:", self.address)?;
        for step in steps {
            write!(f, "\n  {step}")?;
        }
        Ok(())
    }
}

#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct UnansweredLine {
    address: SocketAddr,
    error: String,
}

impl Display for UnansweredLine {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "no answer from {}: {}", self.address, self.error)
    }
}

pub(super) async fn run<W: Write>(
    mut arguments: Arguments,
    options: &CommandOptions,
    output: &mut CommandOutput<'_, W>,
) -> Result<(), CommandError> {
    let daemons = take_daemons(&mut arguments)?;
    let usage = "poplargap explain --daemon ADDRESS… REQUEST-ID";
    let [request] = take_exactly(arguments, usage)?;
    let request =
        RequestId::try_from(request).map_err(|error| CommandError::Arguments(error.to_string()))?;
    let client = DaemonClient::new(options)?;
    let path = format!("/v1/explain/{request}");
    let mut known = false;
    for answer in client.get_all(&daemons, &path).await {
        let address = answer.address;
        match answer.outcome {
            Ok(Some(trace)) => {
                known = true;
                output.line(&ExplainLine { address, trace })?;
            }
            Ok(None) => {}
            Err(error) => output.line(&UnansweredLine { address, error })?,
        }
    }
    if known {
        Ok(())
    } else {
        Err(CommandError::NoRequest(request.to_string()))
    }
}
