//! Orders at a replica that runs some of them and then fails with 503, without `Not-Executed`.

use {
    crate::{
        client::Attempt,
        record::{now, record, tell},
        site::{DESK, Site},
    },
    std::{
        collections::HashSet,
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering},
        },
        thread,
        time::Duration,
    },
};

/// Share of the requests that fail in the disruption: two of five, below its x of 0.45.
const FAILING: u64 = 2;
const OF: u64 = 5;

/// The disruption: all replicas of the service, for 4 s.
const TROUBLE_S: std::ops::Range<f64> = 3.0..7.0;

const CLIENTS: u64 = 4;

/// Orders of each client.
const ORDERS: u64 = 60;

pub fn run() -> bool {
    let site = Site::start(1);
    let runs: Arc<Mutex<Vec<String>>> = Arc::default();
    for number in 0..3 {
        let trouble = site.trouble();
        let (runs, count) = (Arc::clone(&runs), AtomicU64::new(0));
        site.start_replica(
            DESK,
            number,
            Arc::new(move |call| {
                call.run();
                runs.lock().unwrap().push(call.id().to_owned());
                thread::sleep(Duration::from_millis(15));
                let turn = count.fetch_add(1, Ordering::Relaxed);
                if trouble && TROUBLE_S.contains(&now()) && turn % OF < FAILING {
                    let headers = call.signed("");
                    record(&format!(
                        "replica {} fails {} with 503",
                        call.replica.id,
                        call.id()
                    ));
                    call.connection
                        .answer(503, &headers, b"database error after the booking")?;
                    return Ok(true);
                }
                call.answer_ok()
            }),
        );
    }
    thread::sleep(Duration::from_secs(2));
    let refused: Arc<Mutex<Vec<String>>> = Arc::default();
    let clients = (0..CLIENTS).map(|client| {
        let (daemon, refused) = (site.daemons[0], Arc::clone(&refused));
        thread::spawn(move || {
            for number in 0..ORDERS {
                let name = format!("o{client}-{number}");
                refused.lock().unwrap().extend(order(daemon, &name));
                thread::sleep(Duration::from_millis(95));
            }
        })
    });
    for client in clients.collect::<Vec<_>>() {
        let _ = client.join();
    }
    thread::sleep(Duration::from_secs(1));
    let runs: HashSet<String> = runs.lock().unwrap().iter().cloned().collect();
    let refused = refused.lock().unwrap();
    let false_promises = refused.iter().filter(|id| runs.contains(*id)).count();
    let wanted = CLIENTS * ORDERS;
    let names = (0..CLIENTS).flat_map(|client| (0..ORDERS).map(move |n| format!("o{client}-{n}")));
    let ran = |name: &str, attempt: u32| runs.contains(&format!("{name}-{attempt}"));
    let twice = names.filter(|name| ran(name, 0) && ran(name, 1)).count();
    tell(&format!("{} orders ran, {wanted} were wanted", runs.len()));
    tell(&format!(
        "{false_promises} attempts were answered 503 and had run; {twice} orders ran twice"
    ));
    false_promises > 0
}

/// Sends an order as a client does; returns the ids of the attempts that were refused.
fn order(daemon: SocketAddr, name: &str) -> Vec<String> {
    let mut refused = Vec::new();
    // A client sends an order once more only after a promise that it hasn't run.
    for attempt in 0..2 {
        let id = format!("{name}-{attempt}");
        let order = Attempt {
            body: format!("two strops, order {name}").into_bytes(),
            deadline_ms: 1500,
            id: id.clone(),
            method: "POST",
            path: "/order/2f".to_owned(),
            tenant: 0,
            more: String::new(),
        };
        record(&format!("client sends {id}"));
        let status = order.send(daemon).map_or(0, |answer| answer.status());
        record(&format!("client gets {status} for {id}"));
        if ![408, 421, 429, 503].contains(&status) {
            break;
        }
        refused.push(id);
    }
    refused
}
