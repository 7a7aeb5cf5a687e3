//! Case 13: a replica pauses in the middle of a stream while the daemon that relays it is stopped, and
//! the other replica is full.

use {
    review_harness_3::{
        client::{Client, End, request},
        daemon::{Daemon, SIGTERM, Settings},
        record::Record,
        replica::{self, Call},
        site::{
            BROKEN, HELD, Place, Registration, any_port, configuration, free_ip, route, run_case,
            tenant,
        },
        store::Store,
    },
    std::{
        io,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        thread::sleep,
        time::{Duration, Instant},
    },
};

/// Events of the stream, and the one before which its replica pauses.
const EVENTS: u64 = 12;
const PAUSED_EVENT: u64 = 6;

const EVENT_GAP: Duration = Duration::from_millis(200);

/// Pause of a run that was preempted and is read in again.
const PREEMPTION: Duration = Duration::from_millis(2_000);

/// The client's patience: eight times `gapTargetMs`, which is longer than two seconds.
const PATIENCE: Duration = Duration::from_millis(3_200);

const DEADLINE: Duration = Duration::from_secs(12);

/// Time to look again whether the daemon has closed a connection.
const LOOK: Duration = Duration::from_millis(20);

fn main() {
    run_case(run)
}

/// The replicas' room: one run at a time for both of them.
struct Room {
    open: AtomicUsize,
    pauses: bool,
    record: Arc<Record>,
}

impl Room {
    fn answer(&self, call: &mut Call) -> io::Result<bool> {
        let (replica, id) = (call.replica.clone(), call.id().to_owned());
        if self.open.fetch_add(1, Ordering::SeqCst) > 0 {
            self.open.fetch_sub(1, Ordering::SeqCst);
            let line = format!("replica {replica}: {id} isn't run, it is full (503, Not-Executed)");
            self.record.add(line);
            call.refuse()?;
            return Ok(true);
        }
        self.record.add(format!("replica {replica}: runs {id}"));
        let streamed = self.stream(call, &replica, &id);
        self.open.fetch_sub(1, Ordering::SeqCst);
        streamed.map(|()| true)
    }

    fn stream(&self, call: &mut Call, replica: &str, id: &str) -> io::Result<()> {
        call.begin_stream()?;
        for number in 1..=EVENTS {
            let is_preempted = number == PAUSED_EVENT && self.pauses;
            let due = Instant::now() + if is_preempted { PREEMPTION } else { EVENT_GAP };
            while Instant::now() < due {
                sleep(LOOK);
                if call.is_closed() {
                    self.record.add(format!(
                        "replica {replica}: the daemon closed the connection of {id} before event {number}"
                    ));
                    return Err(io::ErrorKind::ConnectionAborted.into());
                }
            }
            call.write_event(number, "piece")?;
            self.record
                .add(format!("replica {replica}: event {number} of {id}"));
        }
        call.end_stream()?;
        self.record
            .add(format!("replica {replica}: {id} has ended"));
        Ok(())
    }
}

fn run(place: &Place) -> io::Result<i32> {
    let record = &place.record;
    let ip = free_ip(0);
    let store = Store::start(any_port(ip), Duration::from_secs(20))?;
    let room = Arc::new(Room {
        open: AtomicUsize::new(0),
        pauses: place.has_trouble,
        record: Arc::clone(record),
    });
    for id in ["i-a", "i-b"] {
        let room = Arc::clone(&room);
        let address = replica::start(any_port(ip), id, record, move |call| room.answer(call))?;
        Registration::new(id, "model", address).keep(&store);
    }
    let more = ",\"timeoutMs\":12000,\"latencyTargetMs\":800,\"gapTargetMs\":400,\"maxAttempts\":2,\"resumable\":true,\"sticky\":true";
    let routes = [route("report", "/report/", "streaming", "model", more)];
    let text = configuration(1, &routes, &["model"], &tenant("quad", "key-1"));
    store.put("op/config", &text);
    let settings = Settings::new("edge-zone-a-1", ip, "zone-a", store.address);
    let daemon = Daemon::start(&place.repository, &place.scratch, &settings)?;
    daemon.wait_ready()?;
    // No disruption in the last `contactMs`.
    sleep(Duration::from_secs(4));
    let mut client = Client::connect(daemon.front)?;
    let headers = "Model: m\r\nToken-Usage: 1460,80\r\nPrefix-Hash: 5c1e07a2:800,91bd3f06:410\r\n";
    client.send(&request(
        "POST",
        "/report/1",
        "c1",
        "key-1",
        12_000,
        headers,
        "{}",
    ))?;
    record.add("client: c1 is sent, whole");
    sleep(Duration::from_millis(300));
    daemon.signal(SIGTERM);
    record.add("platform: SIGTERM to the daemon; graceS is 8");
    let answer = client.read(PATIENCE, Instant::now() + DEADLINE);
    let events = answer.body.matches("id: ").count();
    record.add(format!(
        "client: status {}, {:?}, {events} of {EVENTS} events",
        answer.status(),
        answer.end
    ));
    Ok(if answer.end == End::Closed {
        BROKEN
    } else {
        HELD
    })
}
