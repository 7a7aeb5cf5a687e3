//! Bodies that arrive a byte at a time, and the memory that a daemon holds meanwhile.

use {
    crate::site::{CALLERS_PORT, FleetSite},
    poplargap_testbed::replica::{EndlessBytes, ReplicaFault},
    std::{fs, process::Stdio, time::Duration},
    tokio::{
        io::AsyncWriteExt,
        net::TcpStream,
        task::JoinSet,
        time::{Instant, sleep},
    },
};

/// Memory of the smallest VM, in bytes.
const MEMORY_MAX: u64 = 160 * 1024 * 1024;

const REQUESTS: usize = 64;

/// Time for which bytes trickle.
const TRICKLE_TIME: Duration = Duration::from_secs(3);

/// Returns the most memory that a process has held, in bytes.
fn peak_memory(process: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).expect("it runs");
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    kilobytes.expect("a size") * 1024
}

async fn check_memory(site: FleetSite, mut requests: JoinSet<()>) {
    while requests.join_next().await.is_some() {}
    let peak = peak_memory(site.daemons[0].child.id());
    assert!(peak < MEMORY_MAX, "the daemon held {peak} bytes");
}

// Replicas sent bodies without end, a byte a millisecond, and daemons ran out of memory.
#[tokio::test(flavor = "multi_thread")]
async fn replies_that_trickle_fill_the_memory() {
    let site = FleetSite::start(1, Stdio::null).await;
    for replica in &site.replicas {
        replica.set_fault(ReplicaFault::Endless(EndlessBytes::TrickledFailure));
    }
    let mut requests = JoinSet::new();
    for number in 0..REQUESTS {
        let url = format!("http://{}:{CALLERS_PORT}/once/", site.daemons[0].ip);
        let request = site
            .client
            .post(url)
            .header("host", "shop.example")
            .header("attempt-id", format!("r{number}"))
            .header("deadline-ms", TRICKLE_TIME.as_millis().to_string())
            .header("x-api-key", "key-1");
        requests.spawn(async move { drop(request.send().await) });
    }
    check_memory(site, requests).await;
}

// Callers sent bodies a byte a millisecond, and daemons ran out of memory.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_trickle_fill_the_memory() {
    let site = FleetSite::start(1, Stdio::null).await;
    let mut requests = JoinSet::new();
    for number in 0..REQUESTS {
        let ip = site.daemons[0].ip.clone();
        requests.spawn(async move {
            let stream = TcpStream::connect((ip, CALLERS_PORT)).await;
            let mut stream = stream.expect("the daemon listens");
            stream.set_nodelay(true).expect("it is a socket");
            let head = format!(
                "POST /once/ HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: r{number}\r\n\
                 Deadline-Ms: 9000\r\nX-Api-Key: key-1\r\nContent-Length: 100000\r\n\r\n"
            );
            stream.write_all(head.as_bytes()).await.expect("it is read");
            let end = Instant::now() + TRICKLE_TIME;
            while Instant::now() < end && stream.write_all(b"x").await.is_ok() {
                sleep(Duration::from_millis(1)).await;
            }
        });
    }
    check_memory(site, requests).await;
}
