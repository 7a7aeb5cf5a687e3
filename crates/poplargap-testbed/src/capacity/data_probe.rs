//! Measures a daemon's processor time for relaying requests and token events.

use {
    super::{CapacityError, ProcessSample},
    crate::{
        caller::{CallerClient, ChatSession, ChatTurn},
        site::{ProcessSite, SitePlan},
    },
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, path::Path, time::Duration},
    tokio::{task::JoinSet, time::Instant},
};

const CALL_TIMEOUT: Duration = Duration::from_mins(1);
const DECODE_STEP: Duration = Duration::from_millis(2);

/// Number and size of the requests of one measurement.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct DataLoad {
    /// Concurrent callers, each of which sends its requests one after the other.
    pub callers: usize,
    /// Requests per caller.
    pub requests: usize,
    /// Maximum tokens per answer.
    pub tokens_max: usize,
}

/// Processor time that the requests took.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct DataCost {
    /// Processor time of the daemon that received the requests from callers, in seconds.
    pub entry_s: f64,
    /// Processor time of the other daemon, in seconds.
    pub other_s: f64,
    /// Requests that got a complete answer.
    pub requests: usize,
    /// Token events in all answers.
    pub tokens: usize,
    /// Duration of the measurement in seconds.
    pub window_s: f64,
}

/// Sends `load` first to one and then to the other of two daemons, one of which owns the upstreams.
///
/// # Errors
///
/// Returns an error when the site can't start or a request doesn't get a complete answer.
pub async fn measure_data(program: &Path, load: &DataLoad) -> Result<[DataCost; 2], CapacityError> {
    let mut plan = SitePlan::new(&["centre-00"], 2, 2, 1, 1);
    "error".clone_into(&mut plan.log_level);
    plan.engine.decode_base = DECODE_STEP;
    plan.engine.decode_slope = Duration::ZERO;
    plan.engine.prefill_per_token = Duration::ZERO;
    plan.engine.slots = load.callers;
    plan.engines.slots = u32::try_from(load.callers).unwrap_or(u32::MAX);
    let site = ProcessSite::start(&plan, program).await?;
    let key = plan.workspaces[0].key.clone();
    let first = measure_entry(&site, 0, load, &key).await?;
    let second = measure_entry(&site, 1, load, &key).await?;
    site.close().await;
    Ok([first, second])
}

async fn measure_entry(
    site: &ProcessSite,
    entry: usize,
    load: &DataLoad,
    key: &str,
) -> Result<DataCost, CapacityError> {
    let id = |number: usize| site.daemons[number].id().unwrap_or_default();
    let (entry_id, other_id) = (id(entry), id(1 - entry));
    let before = (
        ProcessSample::read(entry_id)?,
        ProcessSample::read(other_id)?,
    );
    let begin = Instant::now();
    let mut callers = JoinSet::new();
    for number in 0..load.callers {
        let client = CallerClient::new(key, CALL_TIMEOUT)
            .map_err(|error| CapacityError::Catalogue(error.to_string()))?;
        let name = format!("e{entry}-{number}");
        let address = site.daemons[entry].callers;
        callers.spawn(send_requests(client, address, name, *load));
    }
    let counts = callers.join_all().await;
    let window_s = begin.elapsed().as_secs_f64();
    let after = (
        ProcessSample::read(entry_id)?,
        ProcessSample::read(other_id)?,
    );
    let requests = counts.iter().map(|(requests, _)| requests).sum();
    let planned = load.callers * load.requests;
    if requests != planned {
        let done = requests;
        return Err(CapacityError::Incomplete { done, planned });
    }
    let cpu_seconds = |before: ProcessSample, after: ProcessSample| {
        after.cpu_time.saturating_sub(before.cpu_time).as_secs_f64()
    };
    Ok(DataCost {
        entry_s: cpu_seconds(before.0, after.0),
        other_s: cpu_seconds(before.1, after.1),
        requests,
        tokens: counts.iter().map(|(_, tokens)| tokens).sum(),
        window_s,
    })
}

/// Sends one caller's requests; returns the number of complete answers and of token events.
async fn send_requests(
    client: CallerClient,
    address: SocketAddr,
    name: String,
    load: DataLoad,
) -> (usize, usize) {
    let (mut requests, mut tokens) = (0, 0);
    for number in 0..load.requests {
        let mut session = ChatSession::new(format!("{name}-{number}"), "curve");
        let turn = ChatTurn {
            class: Some("w01.notes".to_owned()),
            content: format!("note {number} of caller {name}"),
            deadline: None,
            max_tokens: load.tokens_max,
            request_id: format!("{name}-{number}"),
            stream: true,
        };
        let outcome = client.chat(address, &mut session, &turn).await;
        requests += usize::from(outcome.verdict.is_complete());
        tokens += outcome.token_gaps.len() + 1;
    }
    (requests, tokens)
}
