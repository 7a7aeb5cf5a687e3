//! A TCP relay whose connections can be cut silently and limited in their rate.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{self, sleep},
    time::{Duration, Instant},
};

/// Pause between two looks at a cut.
const CUT_STEP: Duration = Duration::from_millis(20);

/// The state of a link; clones share it.
#[derive(Clone, Default)]
pub struct Link {
    bytes_per_s: Arc<AtomicU64>,
    is_cut: Arc<AtomicBool>,
}

impl Link {
    /// Cuts the link silently, or heals it; connections of the time of the cut stay silent.
    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }

    /// Limits the rate of each direction of a connection; 0 for no limit.
    pub fn set_rate(&self, bytes_per_s: u64) {
        self.bytes_per_s.store(bytes_per_s, Ordering::SeqCst);
    }
}

/// Starts a relay to `target`.
pub fn start(address: SocketAddr, target: SocketAddr, link: &Link) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(address)?;
    let address = listener.local_addr()?;
    let link = link.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let link = link.clone();
            thread::spawn(move || drop(serve(stream, target, &link)));
        }
    });
    Ok(address)
}

fn serve(near: TcpStream, target: SocketAddr, link: &Link) -> io::Result<()> {
    if link.is_cut.load(Ordering::SeqCst) {
        // Nothing on a connection that was opened during a cut ever arrives.
        return hold(near);
    }
    let far = TcpStream::connect(target)?;
    near.set_nodelay(true)?;
    far.set_nodelay(true)?;
    let (near_copy, far_copy, other) = (near.try_clone()?, far.try_clone()?, link.clone());
    let back = thread::spawn(move || drop(pump(far_copy, near_copy, &other)));
    drop(pump(near, far, link));
    drop(back.join());
    Ok(())
}

/// Keeps a connection open without reading until its peer closes it.
fn hold(mut stream: TcpStream) -> io::Result<()> {
    let mut sink = [0; 4096];
    while stream.read(&mut sink)? > 0 {}
    Ok(())
}

fn pump(mut from: TcpStream, mut to: TcpStream, link: &Link) -> io::Result<()> {
    let mut part = vec![0; 16 * 1024];
    let mut free_at = Instant::now();
    loop {
        let len = from.read(&mut part)?;
        if link.is_cut.load(Ordering::SeqCst) {
            // What the cut swallowed never arrives; the connection stays silent.
            drop(hold(from));
            return to.shutdown(std::net::Shutdown::Both);
        }
        if len == 0 {
            return to.shutdown(std::net::Shutdown::Write);
        }
        let rate = link.bytes_per_s.load(Ordering::SeqCst);
        if rate > 0 {
            let now = Instant::now();
            free_at = free_at.max(now) + Duration::from_secs_f64(len as f64 / rate as f64);
            sleep(free_at.saturating_duration_since(now));
        }
        to.write_all(&part[..len])?;
        sleep(if link.is_cut.load(Ordering::SeqCst) {
            CUT_STEP
        } else {
            Duration::ZERO
        });
    }
}
