//! A replica that asks for a pause with `Retry-After`.

use {
    crate::{
        client::Attempt,
        record::{now, record, tell},
        site::{DESK, Site},
    },
    std::{
        sync::{Arc, Mutex},
        thread,
        time::Duration,
    },
};

/// Time from the start of traffic until the replica is full.
const FULL_AT_S: f64 = 3.0;

/// Requests that may reach the replica in the time that it gave.
const SENT_MAX: usize = 2;

/// Clients that send one request after the other.
const CLIENTS: u64 = 8;

/// Time after the refusal from which requests count.
const SLACK_S: f64 = 0.5;

#[derive(Default)]
struct Seen {
    /// Time of the refusal with `Retry-After`.
    refused: Option<f64>,
    arrivals: Vec<f64>,
}

/// `long`: the replica gives 90 s. `silent`: it gives 25 s and is too busy for its heartbeats, so
/// that its entry goes and comes back.
pub fn run(words: &[&str]) -> bool {
    let is_long = words.first() == Some(&"long");
    let pause_s = if is_long { 90.0 } else { 25.0 };
    let site = Site::start(1);
    let seen: Arc<Mutex<Seen>> = Arc::default();
    let mut replicas = Vec::new();
    for number in 0..3 {
        let (seen, is_full) = (Arc::clone(&seen), site.trouble() && number == 0);
        replicas.push(site.start_replica(
            DESK,
            number,
            Arc::new(move |call| {
                let at = now();
                if is_full && at > FULL_AT_S {
                    let mut seen = seen.lock().unwrap();
                    if seen.refused.is_none() {
                        seen.refused = Some(at);
                        let notice = format!("Not-Executed: 1\r\nRetry-After: {pause_s}\r\n");
                        record(&format!(
                            "replica {} refuses {}, Retry-After: {pause_s}",
                            call.replica.id,
                            call.id()
                        ));
                        let headers = call.head(&notice);
                        call.connection.answer(503, &headers, b"")?;
                        return Ok(true);
                    }
                    seen.arrivals.push(at);
                }
                call.run();
                thread::sleep(Duration::from_millis(15));
                call.answer_ok()
            }),
        ));
    }
    thread::sleep(Duration::from_secs(2));
    let end = FULL_AT_S + pause_s + 2.0;
    for client in 0..CLIENTS {
        let daemon = site.daemons[0];
        thread::spawn(move || {
            for number in 0.. {
                let id = format!("r{client}-{number}");
                let attempt = Attempt {
                    body: Vec::new(),
                    deadline_ms: 1500,
                    id: id.clone(),
                    method: "GET",
                    path: format!("/stock/{}/2f", number % 7),
                    tenant: 0,
                    more: String::new(),
                };
                record(&format!("client sends {id}"));
                let status = attempt.send(daemon).map_or(0, |answer| answer.status());
                record(&format!("client gets {status} for {id}"));
                thread::sleep(Duration::from_millis(60 + 7 * client));
            }
        });
    }
    let mut is_registered = true;
    while now() < end {
        thread::sleep(Duration::from_millis(20));
        let refused = seen.lock().unwrap().refused;
        let since = refused.map_or(0.0, |at| now() - at);
        // Three heartbeats of 1.2 s are missing; the replica is heard again after 8 s.
        if !is_long && is_registered && (3.6..8.0).contains(&since) {
            record("the store removes the entry of the silent replica");
            site.store.remove(&replicas[0].key());
            is_registered = false;
        }
        if !is_registered && since > 8.0 {
            record("the replica's heartbeat puts its entry back");
            site.store
                .put(&replicas[0].key(), &replicas[0].entry("ready", 9));
            is_registered = true;
        }
    }
    let seen = seen.lock().unwrap();
    let Some(refused) = seen.refused else {
        tell("the replica refused nothing");
        return false;
    };
    let within = |at: &&f64| **at > refused + SLACK_S && **at < refused + pause_s;
    let count = seen.arrivals.iter().filter(within).count();
    tell(&format!(
        "the replica refused at {refused:.3} s for {pause_s} s"
    ));
    tell(&format!(
        "{count} requests reached it between half a second later and the end of that time, where {SENT_MAX} may; the first at {:.3} s",
        seen.arrivals.iter().find(within).unwrap_or(&0.0)
    ));
    count > SENT_MAX
}
