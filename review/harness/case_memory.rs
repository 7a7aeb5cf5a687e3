//! A replica that sends a body without end, one byte at a time.

use {
    crate::{
        client::Attempt,
        record::{now, record, tell},
        site::{DESK, MODEL, Site, kill_child, start_process},
    },
    std::{
        fs,
        io::Write,
        sync::{
            Arc, Mutex,
            atomic::{AtomicU32, Ordering},
        },
        thread,
        time::Duration,
    },
};

const DAEMONS: usize = 2;
const MODELS: usize = 18;

/// Replicas in trouble.
const SICK: usize = 3;

/// Pause between two pieces of the endless body.
const PIECE_PAUSE: Duration = Duration::from_millis(1);

/// `memoryMb` of the deployment.
const MEMORY_MB: u64 = 260;

/// Time until the platform starts a process again.
const RESTART: Duration = Duration::from_millis(500);

/// Times that processes of each machine may end by themselves.
const ENDS_MAX: usize = 2;

/// Streams of each daemon in a second: those of `guide-draft` and `counter-chat` in the sheet, over
/// its six machines.
const PER_S: u32 = 16;

const TRAFFIC_S: f64 = 55.0;

/// Returns the resident memory of a process in MB; `None` if it has ended.
fn memory_mb(pid: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kb: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kb / 1024)
}

/// Returns the processor time of a process.
fn cpu_s(pid: u32) -> f64 {
    const TICKS_PER_S: f64 = 100.0;
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields = stat.rsplit(')').next().unwrap_or("").split_whitespace();
    let ticks = fields
        .skip(11)
        .take(2)
        .filter_map(|text| text.parse::<f64>().ok());
    ticks.sum::<f64>() / TICKS_PER_S
}

/// Does what the platform does: ends a process over the limit, and starts an ended one again.
fn watch(site: &Site, number: usize, ends: &Mutex<Vec<usize>>, peak: &Mutex<u64>) {
    let mut pid = site.pids[number];
    loop {
        thread::sleep(Duration::from_millis(5));
        let Some(memory) = memory_mb(pid) else {
            record(&format!("daemon {number} has ended"));
            ends.lock().unwrap()[number] += 1;
            thread::sleep(RESTART);
            pid = start_process(&site.settings(number));
            continue;
        };
        let mut peak = peak.lock().unwrap();
        *peak = (*peak).max(memory);
        drop(peak);
        if memory > MEMORY_MB {
            let cpu = cpu_s(pid);
            record(&format!(
                "daemon {number} has {memory} MB, over {MEMORY_MB} MB, after {cpu:.2} s of processor time, and is killed"
            ));
            kill_child(pid);
        }
    }
}

pub fn run() -> bool {
    let site = Arc::new(Site::start(DAEMONS));
    let trouble = site.trouble();
    for number in 0..MODELS {
        let is_sick = trouble && number < SICK;
        site.start_replica(
            MODEL,
            number,
            Arc::new(move |call| {
                call.run();
                if is_sick {
                    let head = call.head("");
                    let stream = &mut call.connection.stream;
                    stream.write_all(format!("HTTP/1.1 500 S\r\n{head}\r\n").as_bytes())?;
                    loop {
                        stream.write_all(b".")?;
                        thread::sleep(PIECE_PAUSE);
                    }
                }
                let first = call.first_event();
                thread::sleep(Duration::from_millis(20));
                call.begin_stream()?;
                call.finish_stream(first, 40, Duration::from_millis(25))
            }),
        );
    }
    for number in 0..3 {
        site.start_replica(
            DESK,
            MODELS + number,
            Arc::new(move |call| {
                call.run();
                thread::sleep(Duration::from_millis(15));
                call.answer_ok()
            }),
        );
    }
    let (ends, peak) = (
        Arc::new(Mutex::new(vec![0; DAEMONS])),
        Arc::new(Mutex::new(0)),
    );
    for number in 0..DAEMONS {
        let (site, ends, peak) = (Arc::clone(&site), Arc::clone(&ends), Arc::clone(&peak));
        thread::spawn(move || watch(&site, number, &ends, &peak));
    }
    thread::sleep(Duration::from_secs(2));
    let (cut, served) = (Arc::new(AtomicU32::new(0)), Arc::new(AtomicU32::new(0)));
    let mut number = 0;
    while now() < TRAFFIC_S {
        number += 1;
        let daemon = site.daemons[number % DAEMONS];
        // Three of four streams are those of the route `chat`, as in the sheet.
        let route = if number / DAEMONS % 4 == 0 {
            "guide"
        } else {
            "chat"
        };
        let attempt = Attempt {
            body: b"how do I care for my strop".to_vec(),
            deadline_ms: 12_000,
            id: format!("g{number}"),
            method: "POST",
            path: format!("/{route}/2f"),
            tenant: 0,
            more: format!(
                "Model: m\r\nToken-Usage: 1460,80\r\nPrefix-Hash: 5c1e07a2:800,{:x}:410,{:x}:250\r\n",
                0x9000 + number % 85,
                0x10_0000 + number
            ),
        };
        let (cut, served) = (Arc::clone(&cut), Arc::clone(&served));
        thread::spawn(move || {
            record(&format!("client sends {}", attempt.id));
            let answer = attempt.send(daemon);
            let (status, whole) =
                answer.map_or((0, false), |answer| (answer.status(), answer.whole));
            let count = if whole && status == 200 { served } else { cut };
            count.fetch_add(1, Ordering::Relaxed);
            record(&format!(
                "client gets {status} for {}, whole: {whole}",
                attempt.id
            ));
        });
        thread::sleep(Duration::from_secs(1) / PER_S / DAEMONS as u32);
    }
    let ends = ends.lock().unwrap().clone();
    // The last streams end.
    thread::sleep(Duration::from_secs(2));
    let (cut, served) = (cut.load(Ordering::Relaxed), served.load(Ordering::Relaxed));
    tell(&format!(
        "{served} streams were served, {cut} failed or were cut"
    ));
    tell(&format!(
        "the daemons' largest memory was {} MB",
        peak.lock().unwrap()
    ));
    tell(&format!(
        "processes of the {DAEMONS} machines ended by themselves {ends:?} times"
    ));
    ends.iter().all(|count| *count > ENDS_MAX)
}
