//! Replicas as processes of their own, which can be killed.

use {
    crate::{
        record::Record,
        replica::{self, Call},
        site::{HEARTBEAT, Registration, any_port},
        store::Store,
    },
    std::{
        env,
        io::{self, BufRead, BufReader, Write},
        net::{IpAddr, SocketAddr},
        process::{Child, Command, Stdio},
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        thread::{self, sleep},
        time::Duration,
    },
};

/// The first argument of a replica's process.
const ROLE: &str = "replica";

/// Heartbeats of silence after which the platform removes an entry.
const SILENT_HEARTBEATS: u32 = 3;

/// Runs a replica if this is the process of one, until it is killed.
pub fn serve_if_replica(answer: fn(&mut Call) -> io::Result<bool>) {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let [role, id, ip] = arguments.as_slice() else {
        return;
    };
    if role != ROLE {
        return;
    }
    let ip: IpAddr = ip.parse().expect("an address");
    let address = replica::start(any_port(ip), id, &Arc::new(Record::new()), answer);
    println!("{}", address.expect("a free port"));
    io::stdout().flush().expect("standard output");
    loop {
        sleep(Duration::from_secs(60));
    }
}

/// A replica's process with its entry in the store; it is killed when it is dropped.
pub struct ReplicaProcess {
    child: Child,
    id: String,
    is_gone: Arc<AtomicBool>,
}

impl ReplicaProcess {
    pub fn start(id: &str, service: &str, ip: IpAddr, store: &Store) -> io::Result<Self> {
        let mut child = Command::new(env::current_exe()?)
            .args([ROLE, id, &ip.to_string()])
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()?;
        let output = child.stdout.take().ok_or(io::ErrorKind::BrokenPipe)?;
        let mut line = String::new();
        BufReader::new(output).read_line(&mut line)?;
        let address: SocketAddr = line.trim().parse().map_err(io::Error::other)?;
        let entry = Registration::new(id, service, address);
        Ok(Self {
            child,
            id: id.to_owned(),
            is_gone: entry.keep(store),
        })
    }

    /// Kills the replica for good; the store removes its entry after three heartbeats.
    pub fn crash(mut self, store: &Store) {
        drop(self.child.kill());
        self.is_gone.store(true, Ordering::SeqCst);
        let (store, key) = (store.clone(), format!("servers/{}", self.id));
        thread::spawn(move || {
            sleep(HEARTBEAT * SILENT_HEARTBEATS);
            store.remove(&key);
        });
    }
}

impl Drop for ReplicaProcess {
    fn drop(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }
}
