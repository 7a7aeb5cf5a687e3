//! Case 15: a replica pauses in the middle of a stream, and goes on with it while another replica runs
//! the same request.

use {
    review_harness_3::{
        client::{Client, request},
        daemon::{Daemon, Settings},
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
        net::TcpStream,
        sync::{Arc, Mutex, PoisonError},
        thread::sleep,
        time::{Duration, Instant},
    },
};

/// Events of the stream, and the one before which its replica pauses.
const EVENTS: u64 = 20;
const PAUSED_EVENT: u64 = 6;

const EVENT_GAP: Duration = Duration::from_millis(200);

/// Pause of a run that was preempted and is read in again.
const PREEMPTION: Duration = Duration::from_millis(2_000);

/// Time for which the replica before may still work.
const OVERLAP_MAX: Duration = Duration::from_millis(400);

/// The client's patience: eight times `gapTargetMs`.
const PATIENCE: Duration = Duration::from_millis(3_200);

const DEADLINE: Duration = Duration::from_secs(12);

fn main() {
    run_case(run)
}

/// One replica's work on the request.
struct Work {
    began: Instant,
    replica: String,
    until: Instant,
}

/// The replicas; they don't drop a request when its connection closes.
struct Replicas {
    pauses: bool,
    record: Arc<Record>,
    works: Mutex<Vec<Work>>,
}

impl Replicas {
    fn answer(&self, call: &mut Call) -> io::Result<bool> {
        let (replica, id) = (call.replica.clone(), call.id().to_owned());
        let after = call.head.get("last-event-id");
        let after: u64 = after.and_then(|after| after.parse().ok()).unwrap_or(0);
        self.record
            .add(format!("replica {replica}: runs {id} after event {after}"));
        let now = Instant::now();
        let place = {
            let mut works = self.works.lock().unwrap_or_else(PoisonError::into_inner);
            works.push(Work {
                began: now,
                replica: replica.clone(),
                until: now,
            });
            works.len() - 1
        };
        let mut is_open = call.begin_stream().is_ok();
        for number in after + 1..=EVENTS {
            let is_preempted = place == 0 && number == PAUSED_EVENT && self.pauses;
            sleep(if is_preempted { PREEMPTION } else { EVENT_GAP });
            let is_written = is_open && call.write_event(number, "piece").is_ok();
            let is_closed = is_open && (!is_written || call.is_closed());
            if is_closed {
                is_open = false;
                let line = format!("replica {replica}: the connection of {id} is closed");
                self.record.add(line);
            }
            self.record
                .add(format!("replica {replica}: made event {number} of {id}"));
            let mut works = self.works.lock().unwrap_or_else(PoisonError::into_inner);
            works[place].until = Instant::now();
        }
        if is_open {
            call.end_stream()?;
        }
        Ok(is_open)
    }
}

fn run(place: &Place) -> io::Result<i32> {
    let record = &place.record;
    let ip = free_ip(0);
    let store = Store::start(any_port(ip), Duration::from_secs(20))?;
    let replicas = Arc::new(Replicas {
        pauses: place.has_trouble,
        record: Arc::clone(record),
        works: Mutex::default(),
    });
    let mut addresses = Vec::new();
    for id in ["i-a", "i-b"] {
        let answered = Arc::clone(&replicas);
        let address = replica::start(any_port(ip), id, record, move |call| answered.answer(call))?;
        Registration::new(id, "model", address).keep(&store);
        addresses.push((id, address));
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
    let answer = client.read(PATIENCE, Instant::now() + DEADLINE);
    let events = answer.body.matches("id: ").count();
    record.add(format!(
        "client: status {}, {:?}, {events} of {EVENTS} events",
        answer.status(),
        answer.end
    ));
    sleep(Duration::from_secs(4));
    let works = replicas
        .works
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    let mut is_broken = false;
    for (before, next) in works.iter().zip(works.iter().skip(1)) {
        let overlap = before.until.saturating_duration_since(next.began);
        let mut known = addresses.iter().filter(|(id, _)| *id == before.replica);
        let is_reached = known.all(|(_, address)| TcpStream::connect(address).is_ok());
        record.add(format!(
            "{} worked on c1 for {overlap:?} after {} had begun; it can be reached: {is_reached}",
            before.replica, next.replica
        ));
        is_broken |= is_reached && overlap > OVERLAP_MAX;
    }
    Ok(if is_broken { BROKEN } else { HELD })
}
