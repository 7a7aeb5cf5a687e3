//! Case 15: a daemon is cut off from the store while configurations come in quick succession, and comes
//! back over its slow link.

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
        io,
        sync::Arc,
        thread::sleep,
        time::{Duration, Instant},
    },
};

/// Routes besides the one that is used.
const IDLE_ROUTES: usize = 460;

/// Rate of a machine's link of 10 Mbit/s.
const LINK_BYTES_PER_S: u64 = 1_250_000;
const LINK_MBPS: u32 = 10;

/// Time for which the machine is cut off.
const CUT: Duration = Duration::from_secs(12);

/// Time from the start of the cut until the key is taken away.
const REVOKED: Duration = Duration::from_secs(9);

/// Pause between two configurations.
const GAP: Duration = Duration::from_millis(190);

/// `contactMs`, from the end of the cut, with a quarter of a second to spare; `configApplyMs` since the
/// key was taken away has passed by then.
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
    let seen = Arc::clone(record);
    let address = replica::start(any_port(ip), "i-a", record, move |call| {
        let tenant = call.head.get("tenant").map(str::to_owned);
        seen.add(format!(
            "replica {}: runs {} of tenant {tenant:?}",
            call.replica,
            call.id()
        ));
        call.answer("200 OK", "stock")?;
        Ok(true)
    })?;
    Registration::new("i-a", "desk", address).keep(&store);
    let more = ",\"timeoutMs\":600,\"latencyTargetMs\":120,\"maxAttempts\":2,\"sticky\":false,\"resumable\":false";
    let mut routes = vec![route("stock", "/stock/", "idempotent", "desk", more)];
    for idle in 0..IDLE_ROUTES {
        let (name, prefix) = (format!("r-idle{idle:05}"), format!("/idle{idle:05}/"));
        routes.push(route(&name, &prefix, "idempotent", "desk", more));
    }
    let both = format!("{},{}", tenant("quad", "key-1"), tenant("pair", "key-2"));
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
    let ask = |id: &str| -> io::Result<u16> {
        let mut client = Client::connect(daemon.front)?;
        client.send(&request("GET", "/stock/1", id, "key-2", 600, "", ""))?;
        let answer = client.read(
            Duration::from_secs(1),
            Instant::now() + Duration::from_secs(1),
        );
        record.add(format!("client: {id} with key-2 got {}", answer.status()));
        Ok(answer.status())
    };
    ask("before")?;
    if place.has_trouble {
        link.set_cut(true);
        record.add("the machine is cut off from the store");
    }
    let began = Instant::now();
    let (mut version, mut is_revoked) = (1, false);
    while began.elapsed() < CUT {
        version += 1;
        if !is_revoked && began.elapsed() > REVOKED {
            is_revoked = true;
            record.add(format!(
                "operator: key-2 is in no version from {version} on"
            ));
        }
        let tenants = if is_revoked {
            tenant("quad", "key-1")
        } else {
            both.clone()
        };
        store.put(
            "op/config",
            &configuration(version, &routes, &["desk"], &tenants),
        );
        sleep(GAP);
    }
    link.set_cut(false);
    record.add(format!(
        "operator: wrote {version} versions; the cut has ended"
    ));
    let healed = Instant::now();
    let (mut late, mut step) = (0, 0);
    while healed.elapsed() < ASKED {
        sleep(Duration::from_millis(250));
        step += 1;
        let is_in_touch = healed.elapsed() > IN_TOUCH;
        let status = ask(&format!("c{step}"))?;
        late += i32::from(status == 200 && is_in_touch);
    }
    record.add(format!(
        "{late} requests ran with the key that was taken away, by the machine in touch"
    ));
    Ok(if late > 0 { BROKEN } else { HELD })
}
