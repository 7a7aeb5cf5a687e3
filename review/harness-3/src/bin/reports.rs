//! Case 14: replicas crash while chats with long prompts are open; just after, a route moves to another
//! service and a key is taken away.

use {
    review_harness_3::{
        client::{Client, request},
        daemon::{Daemon, Settings},
        process::{ReplicaProcess, serve_if_replica},
        replica::{self, Call},
        site::{
            BROKEN, HELD, Place, Registration, any_port, configuration, free_ip, route, run_case,
            tenant,
        },
        store::Store,
    },
    std::{
        io,
        net::{IpAddr, Ipv4Addr},
        sync::Arc,
        thread::sleep,
        time::{Duration, Instant},
    },
};

/// The machines of the data centre; from four on, two of them read the store for the others.
///
/// Connections between loopback addresses come from 127.0.0.1, and daemons accept connections from
/// known machines only, so one of them has this address.
const MACHINES: [Ipv4Addr; 5] = [
    Ipv4Addr::LOCALHOST,
    Ipv4Addr::new(127, 64, 3, 1),
    Ipv4Addr::new(127, 64, 3, 2),
    Ipv4Addr::new(127, 64, 3, 3),
    Ipv4Addr::new(127, 64, 3, 4),
];

const REPLICAS: usize = 12;

/// Replicas that crash, a quarter of the service.
const CRASHED: usize = 3;

/// Streams at each daemon.
const STREAMS: usize = 110;

/// Parts of a chat's prompt.
const PARTS: usize = 40;

/// Events of a stream, and the pause between them.
const EVENTS: u64 = 60;
const EVENT_GAP: Duration = Duration::from_millis(200);

const IDLE_ROUTES: usize = 110;

/// `configApplyMs` of the settings.
const APPLY: Duration = Duration::from_millis(2_000);

/// Time for which the clients ask after the change.
const ASKED: Duration = Duration::from_secs(14);

fn main() {
    serve_if_replica(stream);
    run_case(run)
}

fn stream(call: &mut Call) -> io::Result<bool> {
    call.begin_stream()?;
    for number in 1..=EVENTS {
        sleep(EVENT_GAP);
        call.write_event(number, "piece")?;
    }
    call.end_stream()?;
    Ok(true)
}

/// Returns the routes; those of orders lead to the service `desk`.
fn routes(desk: &str) -> Vec<String> {
    let plain = ",\"timeoutMs\":600,\"latencyTargetMs\":120,\"maxAttempts\":2";
    let chat = ",\"timeoutMs\":12000,\"latencyTargetMs\":400,\"gapTargetMs\":400,\"maxAttempts\":1,\"resumable\":false,\"sticky\":true";
    let mut routes = vec![
        route("note", "/note/", "streaming", "model", chat),
        route("reserve", "/reserve/", "non_idempotent", desk, plain),
        route("stock", "/stock/", "idempotent", "desk-old", plain),
    ];
    for idle in 0..IDLE_ROUTES {
        let (name, prefix) = (format!("r-idle{idle:03}"), format!("/idle{idle:03}/"));
        routes.push(route(&name, &prefix, "idempotent", "desk-old", plain));
    }
    routes
}

/// Opens streams whose prompts are all different; the answers aren't read.
fn open_chats(daemons: &[Daemon]) -> io::Result<Vec<Client>> {
    let mut chats = Vec::new();
    for number in 0..STREAMS {
        for (machine, daemon) in daemons.iter().enumerate() {
            let first = 0x1000_0000 + (number * daemons.len() + machine) * PARTS;
            let parts = (first..first + PARTS).map(|part| format!("{part:08x}:60"));
            let parts: Vec<String> = parts.collect();
            let headers = format!(
                "Model: m\r\nToken-Usage: 2400,300\r\nPrefix-Hash: {}\r\n",
                parts.join(",")
            );
            let id = format!("chat{machine}-{number}");
            let mut client = Client::connect(daemon.front)?;
            client.send(&request(
                "POST", "/note/1", &id, "key-1", 12_000, &headers, "{}",
            ))?;
            chats.push(client);
        }
    }
    Ok(chats)
}

fn run(place: &Place) -> io::Result<i32> {
    let record = &place.record;
    let ip = free_ip(0);
    let store = Store::start(any_port(ip), Duration::from_secs(20))?;
    let mut processes = Vec::new();
    for number in 0..REPLICAS {
        let id = format!("i-model{number}");
        processes.push(ReplicaProcess::start(&id, "model", ip, &store)?);
    }
    for service in ["desk-old", "desk-new"] {
        let seen = Arc::clone(record);
        let id = format!("i-{service}");
        let desk = replica::start(any_port(ip), &id, record, move |call| {
            let (replica, target) = (call.replica.clone(), call.head.target().to_owned());
            seen.add(format!("replica {replica}: runs {} {target}", call.id()));
            call.answer("200 OK", service)?;
            Ok(true)
        })?;
        Registration::new(&id, service, desk).keep(&store);
    }
    let services = ["desk-old", "desk-new", "model"];
    let both = format!("{},{}", tenant("quad", "key-1"), tenant("pair", "key-2"));
    let text = configuration(1, &routes("desk-old"), &services, &both);
    store.put("op/config", &text);
    let mut daemons = Vec::new();
    for (number, machine) in MACHINES.iter().enumerate() {
        let name = format!("edge-zone-a-{number}");
        let settings = Settings::new(&name, IpAddr::V4(*machine), "zone-a", store.address);
        daemons.push(Daemon::start(&place.repository, &place.scratch, &settings)?);
    }
    for daemon in &daemons {
        daemon.wait_ready()?;
    }
    // The daemons find each other and settle who reads the store.
    sleep(Duration::from_secs(5));
    let chats = open_chats(&daemons)?;
    record.add(format!(
        "clients: {} streams with prompts of {PARTS} parts",
        chats.len()
    ));
    sleep(Duration::from_millis(1_500));
    if place.has_trouble {
        for process in processes.drain(..CRASHED) {
            process.crash(&store);
        }
        record.add(format!(
            "{CRASHED} of {REPLICAS} replicas of the model crash"
        ));
    }
    sleep(Duration::from_millis(1_500));
    let one = tenant("quad", "key-1");
    let text = configuration(2, &routes("desk-new"), &services, &one);
    store.put("op/config", &text);
    let changed = Instant::now();
    let (count, bytes) = store.count("crash-reports/");
    record.add(format!(
        "operator: version 2 is acknowledged: /reserve/ moves to desk-new, key-2 is taken away; the store has {count} crash reports of {bytes} bytes"
    ));
    let (mut late, mut step) = (0, 0);
    while changed.elapsed() < ASKED {
        sleep(Duration::from_millis(300));
        step += 1;
        for (number, daemon) in daemons.iter().enumerate() {
            for (kind, method, path, key) in [
                ("order", "POST", "/reserve/1", "key-1"),
                ("lookup", "GET", "/stock/1", "key-2"),
            ] {
                let is_late = changed.elapsed() > APPLY;
                let id = format!("{kind}{number}-{step}");
                let mut client = Client::connect(daemon.front)?;
                client.send(&request(method, path, &id, key, 600, "", ""))?;
                let end = Instant::now() + Duration::from_secs(1);
                let answer = client.read(Duration::from_secs(1), end);
                let after = changed.elapsed().as_secs_f64();
                record.add(format!(
                    "client: {id} with {key} at daemon {number} got {} {:?}, {after:.2} s after the acknowledgement",
                    answer.status(),
                    answer.body
                ));
                let is_old = answer.status() == 200 && answer.body == "desk-old";
                if is_late && is_old {
                    late += 1;
                }
            }
        }
    }
    drop(chats);
    record.add(format!(
        "{late} requests ran at the old service or with the old key later than configApplyMs after the acknowledgement"
    ));
    Ok(if late > 0 { BROKEN } else { HELD })
}
