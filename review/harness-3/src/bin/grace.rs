//! Case 15: the platform raises `graceS` in the settings file of a daemon, sends SIGHUP, and later
//! stops the daemon.

use {
    review_harness_3::{
        client::{Client, End, request},
        daemon::{Daemon, SIGHUP, SIGTERM, Settings},
        replica::{self, Call},
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

/// `graceS` after the change.
const RAISED_S: u64 = 14;

/// Events of the stream, and the pause between them.
const EVENTS: u64 = 45;
const EVENT_GAP: Duration = Duration::from_millis(200);

/// The client's patience: eight times `gapTargetMs`.
const PATIENCE: Duration = Duration::from_millis(3_200);

const DEADLINE: Duration = Duration::from_secs(12);

fn main() {
    run_case(run)
}

fn stream(call: &mut Call) -> io::Result<()> {
    call.begin_stream()?;
    for number in 1..=EVENTS {
        sleep(EVENT_GAP);
        if call.is_closed() {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        call.write_event(number, "piece")?;
    }
    call.end_stream()
}

fn run(place: &Place) -> io::Result<i32> {
    let record = &place.record;
    let ip = free_ip(0);
    let store = Store::start(any_port(ip), Duration::from_secs(20))?;
    let seen = Arc::clone(record);
    let address = replica::start(any_port(ip), "i-a", record, move |call| {
        let id = call.id().to_owned();
        seen.add(format!("replica i-a: runs {id}"));
        let streamed = stream(call);
        let end = if streamed.is_ok() {
            "has ended"
        } else {
            "was cut off"
        };
        seen.add(format!("replica i-a: {id} {end}"));
        streamed.map(|()| true)
    })?;
    Registration::new("i-a", "model", address).keep(&store);
    let more = ",\"timeoutMs\":12000,\"latencyTargetMs\":400,\"gapTargetMs\":400,\"maxAttempts\":1,\"resumable\":false,\"sticky\":true";
    let routes = [route("note", "/note/", "streaming", "model", more)];
    let text = configuration(1, &routes, &["model"], &tenant("quad", "key-1"));
    store.put("op/config", &text);
    let mut settings = Settings::new("edge-zone-a-1", ip, "zone-a", store.address);
    let raised = Settings {
        grace_s: RAISED_S,
        ..settings.clone()
    };
    if !place.has_trouble {
        settings = raised.clone();
    }
    let daemon = Daemon::start(&place.repository, &place.scratch, &settings)?;
    daemon.wait_ready()?;
    let grace_s = settings.grace_s;
    record.add(format!("platform: the daemon starts with graceS {grace_s}"));
    if place.has_trouble {
        sleep(Duration::from_secs(1));
        daemon.change_settings(&raised)?;
        daemon.signal(SIGHUP);
        record.add(format!(
            "platform: graceS in the settings file is {RAISED_S}; SIGHUP"
        ));
    }
    // No disruption in the last `contactMs`.
    sleep(Duration::from_secs(4));
    let mut client = Client::connect(daemon.front)?;
    let headers = "Model: m\r\nToken-Usage: 829,350\r\nPrefix-Hash: 5c1e07a2:119,91bd3f06:580\r\n";
    client.send(&request(
        "POST", "/note/1", "c1", "key-1", 12_000, headers, "{}",
    ))?;
    record.add("client: c1 is sent, whole");
    sleep(Duration::from_millis(300));
    let stopped = Instant::now();
    daemon.signal(SIGTERM);
    record.add(format!(
        "platform: SIGTERM to the daemon; SIGKILL would follow after {RAISED_S} s"
    ));
    let answer = client.read(PATIENCE, stopped + DEADLINE);
    let after = stopped.elapsed().as_secs_f64();
    let events = answer.body.matches("id: ").count();
    record.add(format!(
        "client: status {}, {:?} {after:.2} s after the SIGTERM, {events} of {EVENTS} events",
        answer.status(),
        answer.end
    ));
    // What a replica still works on in the last sixth of `graceS` is excused.
    let is_excused = after >= RAISED_S as f64 * 5.0 / 6.0;
    Ok(if answer.end == End::Closed && !is_excused {
        BROKEN
    } else {
        HELD
    })
}
