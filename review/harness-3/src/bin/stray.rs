//! Case 12: a faulty replica writes bytes after complete answers, where the next answer is expected.

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
        collections::HashSet,
        io,
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicUsize, Ordering},
        },
        thread::sleep,
        time::{Duration, Instant},
    },
};

/// The bytes, which belong to no request: they have no `Attempt-Id` and no signature.
const STRAY: &str = "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n";

/// One of so many answers of the faulty replica is followed by such bytes.
const STRAY_EVERY: usize = 40;

/// Time for which the replica is faulty.
const FAULTY: Duration = Duration::from_secs(5);

const WORK: Duration = Duration::from_millis(15);

fn main() {
    run_case(run)
}

/// The two replicas of the order desk; `i-a` is faulty.
struct Desk {
    answers: AtomicUsize,
    is_faulty: bool,
    record: Arc<Record>,
    runs: Mutex<HashSet<String>>,
}

impl Desk {
    fn answer(&self, call: &mut Call) -> io::Result<bool> {
        let (replica, id) = (call.replica.clone(), call.id().to_owned());
        self.record.add(format!(
            "replica {replica}: runs {id}, request {} of its connection",
            call.number
        ));
        self.runs
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(id.clone());
        // There is an earlier answer on the connection, after which the bytes come.
        if self.is_faulty && replica == "i-a" && call.number > 1 {
            let count = self.answers.fetch_add(1, Ordering::SeqCst) + 1;
            if count.is_multiple_of(STRAY_EVERY) {
                call.write(STRAY)?;
                self.record.add(format!(
                    "replica {replica}: wrote {STRAY:?}, late, after its last answer"
                ));
            }
        }
        sleep(WORK);
        call.answer("200 OK", "reserved")?;
        self.record
            .add(format!("replica {replica}: answered {id} with 200"));
        Ok(true)
    }
}

fn run(place: &Place) -> io::Result<i32> {
    let record = &place.record;
    let ip = free_ip(0);
    let store = Store::start(any_port(ip), Duration::from_secs(20))?;
    let desk = Arc::new(Desk {
        answers: AtomicUsize::new(0),
        is_faulty: place.has_trouble,
        record: Arc::clone(record),
        runs: Mutex::default(),
    });
    for id in ["i-a", "i-b"] {
        let desk = Arc::clone(&desk);
        let address = replica::start(any_port(ip), id, record, move |call| desk.answer(call))?;
        Registration::new(id, "desk", address).keep(&store);
    }
    let more = ",\"timeoutMs\":3000,\"latencyTargetMs\":120,\"maxAttempts\":1";
    let routes = [route(
        "reserve",
        "/reserve/",
        "non_idempotent",
        "desk",
        more,
    )];
    let text = configuration(1, &routes, &["desk"], &tenant("quad", "key-1"));
    store.put("op/config", &text);
    let settings = Settings::new("edge-zone-a-1", ip, "zone-a", store.address);
    let daemon = Daemon::start(&place.repository, &place.scratch, &settings)?;
    daemon.wait_ready()?;
    let began = Instant::now();
    let (mut number, mut wrong) = (0, 0);
    while began.elapsed() < FAULTY {
        number += 1;
        let id = format!("c{number}");
        let mut client = Client::connect(daemon.front)?;
        client.send(&request("POST", "/reserve/1", &id, "key-1", 600, "", "{}"))?;
        let answer = client.read(
            Duration::from_secs(1),
            Instant::now() + Duration::from_secs(2),
        );
        record.add(format!(
            "client: {id} got {}, Attempt-Id {:?}, Response-Signature {:?}, {:?}",
            answer.status(),
            answer.header("attempt-id"),
            answer.header("response-signature"),
            answer.end
        ));
        let has_run = desk
            .runs
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .contains(&id);
        if answer.status() == 400 && has_run {
            wrong += 1;
            record.add(format!(
                "client: {id} has run, and was answered by bytes of no request"
            ));
        }
    }
    record.add(format!(
        "{wrong} of {number} requests got the bytes as their answer"
    ));
    Ok(if wrong > 0 { BROKEN } else { HELD })
}
