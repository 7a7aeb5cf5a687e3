//! Task of one relayed connection.

use {
    super::{LinkFaults, chunk_pump::pump, relay_message::RelayMessage},
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    std::net::SocketAddr,
    tokio::{
        io::AsyncReadExt,
        net::TcpStream,
        sync::{mpsc, watch},
    },
};

/// Size of each buffer for discarded data, in bytes.
const DISCARD_BYTES: usize = 16 * 1024;

/// How a connection treats its data.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ForwardMode {
    /// Forwards it.
    Forward,
    /// Resets the connections to both sides.
    Reset,
    /// Reads and discards it.
    Silence,
}

/// A client's connection, with the inputs of the task that relays it.
#[derive(Debug)]
pub(super) struct RelayConnection {
    pub(super) client: TcpStream,
    pub(super) faults: watch::Receiver<LinkFaults>,
    pub(super) id: u64,
    pub(super) messages: mpsc::Sender<RelayMessage>,
    pub(super) mode_rx: watch::Receiver<ForwardMode>,
    pub(super) upstream: SocketAddr,
}

impl RelayConnection {
    /// Relays until the connection ends; returns its id.
    pub(super) async fn run(mut self) -> u64 {
        if let Ok(mut upstream) = TcpStream::connect(self.upstream).await {
            self.relay(&mut upstream).await;
        } else {
            reset(&self.client);
        }
        self.id
    }

    async fn relay(&mut self, upstream: &mut TcpStream) {
        if !self.report_local_address(upstream).await {
            return;
        }
        let mode = tokio::select! {
            biased;
            mode = next_mode(&mut self.mode_rx, ForwardMode::Forward) => mode,
            () = pump_both(&mut self.client, upstream, &self.faults, self.id) => return,
        };
        let mode = match mode {
            ForwardMode::Silence => self.discard(upstream).await,
            mode => mode,
        };
        if mode == ForwardMode::Reset {
            reset(&self.client);
            reset(upstream);
        }
    }

    /// Reports the local address of the connection to the upstream to the relay's task.
    ///
    /// The message is queued before any data is forwarded, so that the relay's task knows the
    /// address before the upstream can refer to it. Returns whether the connection is usable.
    async fn report_local_address(&self, upstream: &TcpStream) -> bool {
        let nodelay = self
            .client
            .set_nodelay(true)
            .and(upstream.set_nodelay(true));
        let (Ok(()), Ok(local)) = (nodelay, upstream.local_addr()) else {
            return false;
        };
        let message = RelayMessage::Connected { id: self.id, local };
        self.messages.send(message).await.is_ok()
    }

    /// Discards all data until the client closes or the mode changes; returns the new mode.
    async fn discard(&mut self, upstream: &mut TcpStream) -> ForwardMode {
        let mut from_client = vec![0; DISCARD_BYTES];
        let mut from_upstream = vec![0; DISCARD_BYTES];
        let mut upstream_open = true;
        loop {
            tokio::select! {
                mode = next_mode(&mut self.mode_rx, ForwardMode::Silence) => return mode,
                read = self.client.read(&mut from_client) => {
                    if !matches!(read, Ok(1..)) {
                        return ForwardMode::Reset;
                    }
                }
                read = upstream.read(&mut from_upstream), if upstream_open => {
                    upstream_open = matches!(read, Ok(1..));
                }
            }
        }
    }
}

/// Waits until the mode differs from `current`; a dropped sender counts as a reset.
async fn next_mode(
    mode_rx: &mut watch::Receiver<ForwardMode>,
    current: ForwardMode,
) -> ForwardMode {
    mode_rx
        .wait_for(|mode| *mode != current)
        .await
        .map_or(ForwardMode::Reset, |mode| *mode)
}

async fn pump_both(
    client: &mut TcpStream,
    upstream: &mut TcpStream,
    faults: &watch::Receiver<LinkFaults>,
    id: u64,
) {
    let seed = faults.borrow().seed.wrapping_add(id.wrapping_mul(2));
    let upstream_rng = ChaCha8Rng::seed_from_u64(seed);
    let client_rng = ChaCha8Rng::seed_from_u64(seed.wrapping_add(1));
    let (client_reader, client_writer) = client.split();
    let (upstream_reader, upstream_writer) = upstream.split();
    let pumped = tokio::try_join!(
        pump(client_reader, upstream_writer, faults.clone(), upstream_rng),
        pump(upstream_reader, client_writer, faults.clone(), client_rng)
    );
    if pumped.is_err() {
        reset(client);
        reset(upstream);
    }
}

/// Makes the socket send a reset when it is dropped.
fn reset(stream: &TcpStream) {
    // Setting the option fails only on a closed socket.
    let _ = stream.set_zero_linger();
}
