//! Case 15: a daemon is cut off from the store while configurations come in quick succession and a
//! replica leaves, and comes back over its slow link.

use {
    review_harness_3::{
        client::{Client, request},
        daemon::{Daemon, Settings},
        relay, replica,
        site::{
            BROKEN, HELD, Place, Registration, any_port, configuration, free_ip, route, run_case,
            tenant,
        },
        store::Store,
    },
    std::{
        collections::HashSet,
        io,
        sync::{Arc, Mutex, PoisonError, atomic::Ordering},
        thread::sleep,
        time::{Duration, Instant},
    },
};

/// Sequence number of the last write of the replica that leaves.
const LAST_SEQUENCE: u64 = 1_000;

/// Routes besides the one that is used.
const IDLE_ROUTES: usize = 460;

/// Rate of a machine's link of 10 Mbit/s.
const LINK_BYTES_PER_S: u64 = 1_250_000;
const LINK_MBPS: u32 = 10;

/// The replica that leaves; it serves on for some more seconds.
const LEAVING: &str = "i-a";

/// Time for which the machine is cut off.
const CUT: Duration = Duration::from_secs(12);

/// Time from the start of the cut until a replica reports that it drains, and a key is taken away.
const LEAVES: Duration = Duration::from_secs(9);

/// Pause between two configurations.
const GAP: Duration = Duration::from_millis(190);

/// `contactMs`, from the end of the cut, with a quarter of a second to spare; `drainMs` and
/// `configApplyMs` since the changes have passed by then.
const IN_TOUCH: Duration = Duration::from_millis(3_250);

/// Time for which the client asks after the cut.
const ASKED: Duration = Duration::from_secs(11);

fn main() {
    run_case(run)
}

fn run(place: &Place) -> io::Result<i32> {
    let record = &place.record;
    let ip = free_ip(0);
    let store = Store::start(any_port(ip), Duration::from_secs(20))?;
    let leaving_runs = Arc::new(Mutex::new(HashSet::new()));
    let mut entries = Vec::new();
    for id in ["i-a", "i-b"] {
        let (seen, runs) = (Arc::clone(record), Arc::clone(&leaving_runs));
        let address = replica::start(any_port(ip), id, record, move |call| {
            let (replica, request) = (call.replica.clone(), call.id().to_owned());
            let tenant = call.head.get("tenant").map(str::to_owned);
            seen.add(format!(
                "replica {replica}: runs {request} of tenant {tenant:?}"
            ));
            if replica == LEAVING {
                runs.lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .insert(request);
            }
            call.answer("200 OK", "stock")?;
            Ok(true)
        })?;
        let entry = Registration::new(id, "desk", address);
        let is_gone = entry.keep(&store);
        entries.push((entry, is_gone));
    }
    let more = ",\"timeoutMs\":600,\"latencyTargetMs\":120,\"maxAttempts\":2,\"sticky\":false,\"resumable\":false";
    let mut routes = vec![route("stock", "/stock/", "idempotent", "desk", more)];
    for idle in 0..IDLE_ROUTES {
        let (name, prefix) = (format!("r-idle{idle:05}"), format!("/idle{idle:05}/"));
        routes.push(route(&name, &prefix, "idempotent", "desk", more));
    }
    let one = tenant("quad", "key-1");
    let both = format!("{one},{}", tenant("pair", "key-2"));
    let text = configuration(1, &routes, &["desk"], &both);
    record.add(format!("operator: version 1, {} bytes", text.len()));
    store.put("op/config", &text);
    let link = relay::Link::default();
    link.set_rate(LINK_BYTES_PER_S);
    let relayed = relay::start(any_port(ip), store.address, &link)?;
    let mut settings = Settings::new("edge-zone-a-1", ip, "zone-a", relayed);
    settings.link_mbps = LINK_MBPS;
    let daemon = Daemon::start(&place.repository, &place.scratch, &settings)?;
    daemon.wait_ready()?;
    let ask = |id: &str, key: &str| -> io::Result<u16> {
        let mut client = Client::connect(daemon.front)?;
        client.send(&request("GET", "/stock/1", id, key, 600, "", ""))?;
        let answer = client.read(
            Duration::from_secs(1),
            Instant::now() + Duration::from_secs(1),
        );
        record.add(format!("client: {id} with {key} got {}", answer.status()));
        Ok(answer.status())
    };
    ask("before", "key-2")?;
    if place.has_trouble {
        link.set_cut(true);
        record.add("the machine is cut off from the store");
    }
    let began = Instant::now();
    let (mut version, mut has_left) = (1, false);
    while began.elapsed() < CUT {
        version += 1;
        if !has_left && began.elapsed() > LEAVES {
            has_left = true;
            let (entry, is_gone) = &entries[0];
            is_gone.store(true, Ordering::SeqCst);
            entry.write(&store, "draining", LAST_SEQUENCE);
            record.add(format!(
                "replica {LEAVING}: reports that it drains, acknowledged by the store"
            ));
            record.add(format!(
                "operator: key-2 is in no version from {version} on"
            ));
        }
        let tenants = if has_left { &one } else { &both };
        let text = configuration(version, &routes, &["desk"], tenants);
        store.put("op/config", &text);
        sleep(GAP);
    }
    link.set_cut(false);
    record.add(format!(
        "operator: wrote {version} versions; the cut has ended"
    ));
    let healed = Instant::now();
    let (mut late, mut with_key, mut step) = (0, 0, 0);
    while healed.elapsed() < ASKED {
        sleep(Duration::from_millis(250));
        step += 1;
        let is_in_touch = healed.elapsed() > IN_TOUCH;
        let id = format!("c{step}");
        ask(&id, "key-1")?;
        let runs = leaving_runs.lock().unwrap_or_else(PoisonError::into_inner);
        late += i32::from(is_in_touch && runs.contains(&id));
        drop(runs);
        let status = ask(&format!("k{step}"), "key-2")?;
        with_key += i32::from(is_in_touch && status == 200);
    }
    record.add(format!(
        "by the machine in touch, {with_key} requests ran with the key that was taken away (CONFIG)"
    ));
    record.add(format!(
        "by the machine in touch, {late} requests reached the leaving replica (DRAIN)"
    ));
    Ok(if late > 0 { BROKEN } else { HELD })
}
