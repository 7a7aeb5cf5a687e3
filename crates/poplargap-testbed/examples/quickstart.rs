//! Runs a whole site in one program: stand-ins, daemons, chats, bookings and an engine failure.
//!
//! Exits with status 0 only if every chat answer was complete and belonged to its caller, every
//! booking ran exactly once and no request was cut off at the end.

use {
    poplargap_testbed::{
        caller::{CallerClient, ChatOutcome, ChatSession, ChatTurn, ServiceCall},
        site::{EmbeddedSite, SitePlan, StatusClient},
    },
    std::{collections::BTreeMap, error::Error, process::ExitCode, time::Duration},
    tokio::time::{self, Instant},
    warp::http::Method,
};

const BOOKINGS: usize = 10;
const CHATS: usize = 40;
const TURNS: usize = 3;
const ENGINE_STOP_DELAY: Duration = Duration::from_millis(1_500);
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

#[derive(Default)]
struct QuickstartTotals {
    cached_tokens: usize,
    complete: usize,
    first_tokens: Vec<Duration>,
    incomplete: Vec<String>,
    prompt_tokens: usize,
}

impl QuickstartTotals {
    fn add(&mut self, outcome: &ChatOutcome) {
        if outcome.verdict.is_complete() {
            self.complete += 1;
        } else {
            self.incomplete
                .push(format!("{}: {:?}", outcome.request_id, outcome.verdict));
        }
        self.first_tokens.extend(outcome.time_to_first_token);
        if let Some(usage) = outcome.usage {
            self.prompt_tokens += usage.prompt_tokens;
            self.cached_tokens += usage.prompt_tokens_details.cached_tokens;
        }
    }

    fn first_token_p95(&mut self) -> Duration {
        self.first_tokens.sort();
        let position = self.first_tokens.len() * 95 / 100;
        self.first_tokens.get(position).copied().unwrap_or_default()
    }
}

fn chat_turn(chat: usize, number: usize) -> ChatTurn {
    let paragraph = format!("trace {chat} of a matched quad, plate current against grid voltage; ");
    ChatTurn {
        class: Some(format!("w{:02}.notes", chat % 2 + 1)),
        content: paragraph.repeat(if number == 0 { 40 } else { 4 }),
        deadline: None,
        max_tokens: 60,
        request_id: format!("chat-{chat}-turn-{number}"),
        stream: !chat.is_multiple_of(4),
    }
}

async fn run_chat(callers: Vec<std::net::SocketAddr>, chat: usize) -> Vec<ChatOutcome> {
    let key = format!("key-of-w{:02}", chat % 2 + 1);
    let Ok(caller) = CallerClient::new(key, CALL_TIMEOUT) else {
        return Vec::new();
    };
    let mut session = ChatSession::new(format!("chat-{chat}"), "curve");
    let mut outcomes = Vec::new();
    for number in 0..TURNS {
        let address = callers[(chat + number) % callers.len()];
        outcomes.push(
            caller
                .chat(address, &mut session, &chat_turn(chat, number))
                .await,
        );
        time::sleep(Duration::from_millis(300)).await;
    }
    outcomes
}

/// Sends each booking twice with one key, through two daemons; returns the number of answers.
async fn send_bookings(callers: &[std::net::SocketAddr]) -> Result<usize, Box<dyn Error>> {
    let caller = CallerClient::new("key-of-w01", CALL_TIMEOUT)?;
    let mut answered = 0;
    for number in 0..BOOKINGS {
        for send in 0..2 {
            let call = ServiceCall {
                class: Some("w01.bookings".to_owned()),
                idempotency_key: Some(format!("booking-{number}")),
                method: Method::POST,
                path: format!("reservations/{number}"),
                request_id: format!("booking-{number}-send-{send}"),
                service: "desk".to_owned(),
            };
            let outcome = caller
                .service(callers[(number + send) % callers.len()], &call)
                .await;
            if outcome.answer.is_none() {
                println!(
                    "booking not answered: {} {:?}",
                    outcome.request_id, outcome.verdict
                );
            }
            answered += usize::from(outcome.answer.is_some());
        }
    }
    Ok(answered)
}

async fn run() -> Result<bool, Box<dyn Error>> {
    let begin = Instant::now();
    let plan = SitePlan::new(&["ne1", "ne2"], 4, 6, 2, 2);
    let mut site = EmbeddedSite::start(&plan).await?;
    println!("started 4 daemons, 6 engines and 2 desks in 2 data centres");
    let callers = site.callers();
    let chats: Vec<_> = (0..CHATS)
        .map(|chat| tokio::spawn(run_chat(callers.clone(), chat)))
        .collect();
    time::sleep(ENGINE_STOP_DELAY).await;
    site.upstreams().stop_engine(0).await;
    println!("ended one engine in the middle of its streams");
    let answered = send_bookings(&callers).await?;
    let mut totals = QuickstartTotals::default();
    for chat in chats {
        chat.await?.iter().for_each(|outcome| totals.add(outcome));
    }
    let mut ran = BTreeMap::new();
    for desk in &site.upstreams().desks {
        for run in desk.ledger().await?.runs {
            *ran.entry(run.path).or_insert(0) += 1;
        }
    }
    let peaks = engine_peaks(&mut site).await?;
    let control = control_bytes_per_s(&site, begin.elapsed()).await;
    let ran_once = ran.len() == BOOKINGS && ran.values().all(|runs| *runs == 1);
    let cut = site.close().await;
    let reuse = totals.cached_tokens as f64 / totals.prompt_tokens.max(1) as f64;
    println!(
        "chats complete and own   {} of {}",
        totals.complete,
        CHATS * TURNS
    );
    println!("prompt tokens cached     {:.1} %", reuse * 100.0);
    println!(
        "first token p95          {:.0} ms",
        totals.first_token_p95().as_secs_f64() * 1_000.0
    );
    println!("engine peaks in flight   {peaks:?}");
    println!(
        "bookings run once        {} of {BOOKINGS}, {answered} of {} sends answered",
        ran.len(),
        BOOKINGS * 2
    );
    println!("control per daemon       {control:.0} bytes/s, sent and received");
    println!("requests cut at the end  {cut}");
    for line in &totals.incomplete {
        println!("incomplete: {line}");
    }
    Ok(totals.incomplete.is_empty() && totals.complete == CHATS * TURNS && ran_once && cut == 0)
}

async fn engine_peaks(site: &mut EmbeddedSite) -> Result<Vec<usize>, Box<dyn Error>> {
    let mut peaks = Vec::new();
    for engine in site.upstreams().engines.iter().flatten() {
        peaks.push(engine.peak(false).await?.peak);
    }
    Ok(peaks)
}

/// Returns the mean control traffic of a daemon, sent and received, in bytes per second.
async fn control_bytes_per_s(site: &EmbeddedSite, elapsed: Duration) -> f64 {
    let client = StatusClient::default();
    let mut bytes = 0.0;
    let operators = site.operators();
    for address in &operators {
        bytes += client
            .metrics(*address)
            .await
            .get("poplargap_control_bytes_total")
            .copied()
            .unwrap_or_default();
    }
    bytes / operators.len() as f64 / elapsed.as_secs_f64()
}

#[tokio::main]
async fn main() -> ExitCode {
    match run().await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("quickstart: {error}");
            ExitCode::FAILURE
        }
    }
}
