//! Measures the time from an accepted catalogue edit until the engine receives the order, and the
//! rate of store calls.
//!
//! Options: `--edits N` (default 40) and `--seconds N`, the time over which calls are counted
//! (default 60).

use {
    pico_args::Arguments,
    poplargap_testbed::{
        site::{EmbeddedSite, SitePlan},
        store::CallCounts,
    },
    reqwest::Client,
    std::{error::Error, net::SocketAddr, time::Duration},
    tokio::time::{self, Instant},
};

const LEDGER_POLL_INTERVAL: Duration = Duration::from_millis(2);
const ORDER_TIMEOUT: Duration = Duration::from_secs(30);
const ROLES: [&str; 2] = ["prefill", "decode"];

async fn call_counts(store: SocketAddr) -> Result<CallCounts, reqwest::Error> {
    let request = Client::new().get(format!("http://{store}/counters"));
    request.send().await?.json().await
}

/// Counts the store's calls over `window` and prints them per minute.
async fn print_calls(
    name: &str,
    store: SocketAddr,
    window: Duration,
) -> Result<(), reqwest::Error> {
    let before = call_counts(store).await?;
    time::sleep(window).await;
    let after = call_counts(store).await?;
    let per_minute =
        |after: u64, before: u64| (after - before) as f64 * 60.0 / window.as_secs_f64();
    println!(
        "{name}: {:.0} calls a minute (get {:.0}, swap {:.0}, grant {:.0}, renew {:.0}, watch {:.0}, VM list {:.0})",
        per_minute(after.reads + after.writes, before.reads + before.writes),
        per_minute(after.get, before.get),
        per_minute(after.swap, before.swap),
        per_minute(after.grant_lease, before.grant_lease),
        per_minute(after.renew_lease, before.renew_lease),
        per_minute(after.watch, before.watch),
        per_minute(after.vms, before.vms),
    );
    Ok(())
}

/// Waits until the engine has received `number` orders.
async fn wait_for_order(site: &mut EmbeddedSite, number: usize) -> Result<(), Box<dyn Error>> {
    let end = Instant::now() + ORDER_TIMEOUT;
    let engine = site.upstreams().engines[0].as_ref();
    let engine = engine.ok_or("the engine has ended")?;
    while engine.ledger().await?.orders.len() < number {
        if Instant::now() >= end {
            return Err(format!("order {number} didn't come").into());
        }
        time::sleep(LEDGER_POLL_INTERVAL).await;
    }
    Ok(())
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let mut arguments = Arguments::from_env();
    let edits: usize = arguments.opt_value_from_str("--edits")?.unwrap_or(40);
    let seconds = arguments.opt_value_from_str("--seconds")?.unwrap_or(60);
    let window = Duration::from_secs(seconds);
    let plan = SitePlan::new(&["ne1"], 4, 2, 1, 1);
    let mut site = EmbeddedSite::start(&plan).await?;
    let store = site.store();
    print_calls("without orders", store, window).await?;
    let engine = site.upstreams().engines[0].as_ref();
    let address = engine.ok_or("the engine has ended")?.address();
    let mut times = Vec::new();
    for number in 0..edits {
        let text = format!(
            "[upstream curve-ne1-00]\npool = curve\naddress = {address}\ndata-centre = ne1\n\
             fencing = checked\nrole = {}\n",
            ROLES[number % ROLES.len()]
        );
        site.apply(&text).await?;
        let accepted = Instant::now();
        wait_for_order(&mut site, number + 1).await?;
        times.push(accepted.elapsed());
        time::sleep(Duration::from_millis(1_237)).await;
    }
    let first = times.remove(0);
    times.sort();
    let percentile = |percent: usize| times.get(times.len() * percent / 100).copied();
    println!(
        "accepted edit to order: first {first:?}, then p50 {:?}, p95 {:?}, max {:?}",
        percentile(50),
        percentile(95),
        times.last()
    );
    print_calls("with orders, no edit", store, window).await?;
    site.close().await;
    Ok(())
}
