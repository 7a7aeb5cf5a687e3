//! Functions shared by the tests of the engine stand-in.

use {
    poplargap_testbed::{
        caller::{CallerClient, ChatOutcome, ChatSession, ChatTurn},
        engine::{EngineSettings, EngineStandIn, LoadRecord},
    },
    std::{num::NonZeroUsize, time::Duration},
    tokio::time::sleep,
};

const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest wait for an expected load.
const LOAD_TIMEOUT: Duration = Duration::from_secs(3);

/// Creates a client with a short timeout.
pub fn caller() -> CallerClient {
    CallerClient::new("secret", CALL_TIMEOUT).expect("the client can be set up")
}

/// Returns settings of an engine with short decode and prefill times and no reporting lag.
pub fn quick_settings() -> EngineSettings {
    EngineSettings {
        block_tokens: NonZeroUsize::new(4).expect("4 is not zero"),
        cache_event_lag: Duration::ZERO,
        decode_base: Duration::from_millis(2),
        decode_slope: Duration::ZERO,
        load_lag: Duration::ZERO,
        prefill_per_token: Duration::from_micros(10),
        ..EngineSettings::default()
    }
}

/// Starts an engine with the given settings.
pub async fn start(settings: EngineSettings) -> EngineStandIn {
    EngineStandIn::start(settings)
        .await
        .expect("a free port exists")
}

/// Returns a turn with a streamed answer and no class or deadline.
pub fn turn(request_id: &str, content: &str, max_tokens: usize) -> ChatTurn {
    ChatTurn {
        content: content.to_owned(),
        max_tokens,
        request_id: request_id.to_owned(),
        stream: true,
        ..ChatTurn::default()
    }
}

/// Sends the first turn of a new chat and reads its answer of up to 12 tokens.
pub async fn ask(engine: &EngineStandIn, request_id: &str, content: &str) -> ChatOutcome {
    let mut session = ChatSession::new(request_id, "curve");
    let turn = turn(request_id, content, 12);
    caller().chat(engine.address(), &mut session, &turn).await
}

/// Builds a chat request with additional headers.
pub fn post(
    engine: &EngineStandIn,
    headers: &[(&str, &str)],
    turn: &ChatTurn,
) -> reqwest::RequestBuilder {
    let request = ChatSession::new("chat", "curve").request(turn);
    let builder = reqwest::Client::new()
        .post(format!("http://{}/v1/chat/completions", engine.address()))
        .header("x-request-id", &turn.request_id)
        .json(&request);
    headers.iter().fold(builder, |builder, (name, value)| {
        builder.header(*name, *value)
    })
}

/// Reads the load reported by the engine.
pub async fn load(engine: &EngineStandIn) -> LoadRecord {
    let response = reqwest::get(format!("http://{}/load", engine.address())).await;
    let response = response.expect("the engine answers");
    response.json().await.expect("the load is JSON")
}

/// Waits until the engine reports these numbers of running and waiting requests.
pub async fn wait_for_load(engine: &EngineStandIn, running: usize, waiting: usize) {
    let reached = async {
        loop {
            let load = load(engine).await;
            if (load.running, load.waiting) == (running, waiting) {
                return;
            }
            sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(LOAD_TIMEOUT, reached)
        .await
        .expect("the engine reaches the load");
}
