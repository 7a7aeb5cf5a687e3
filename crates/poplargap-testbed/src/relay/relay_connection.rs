//! One relayed connection.

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

const DISCARD_BYTES: usize = 16 * 1024;

/// What a connection is to do with its bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ConnectionOrder {
    /// Pass them on.
    Pass,
    /// Reset both sides.
    Reset,
    /// Swallow them.
    Silence,
}

/// One relayed connection and its task's inputs.
#[derive(Debug)]
pub(super) struct RelayConnection {
    pub(super) client: TcpStream,
    pub(super) faults: watch::Receiver<LinkFaults>,
    pub(super) id: u64,
    pub(super) messages: mpsc::Sender<RelayMessage>,
    pub(super) orders: watch::Receiver<ConnectionOrder>,
    pub(super) upstream: SocketAddr,
}

impl RelayConnection {
    /// Relays until either side ends; returns the connection's id.
    pub(super) async fn run(mut self) -> u64 {
        if let Ok(mut upstream) = TcpStream::connect(self.upstream).await {
            self.relay(&mut upstream).await;
        } else {
            reset(&self.client);
        }
        self.id
    }

    async fn relay(&mut self, upstream: &mut TcpStream) {
        if !self.announce(upstream).await {
            return;
        }
        let order = tokio::select! {
            biased;
            order = next_order(&mut self.orders, ConnectionOrder::Pass) => order,
            () = pump_both(&mut self.client, upstream, &self.faults, self.id) => return,
        };
        let order = match order {
            ConnectionOrder::Silence => self.swallow(upstream).await,
            order => order,
        };
        if order == ConnectionOrder::Reset {
            reset(&self.client);
            reset(upstream);
        }
    }

    /// Tells the relay the address by which the upstream knows this connection.
    ///
    /// The message is queued before any byte is passed on, so that the relay knows the address
    /// before the upstream can name it.
    async fn announce(&self, upstream: &TcpStream) -> bool {
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

    /// Swallows all bytes until the client closes or another order comes.
    async fn swallow(&mut self, upstream: &mut TcpStream) -> ConnectionOrder {
        let mut from_client = vec![0; DISCARD_BYTES];
        let mut from_upstream = vec![0; DISCARD_BYTES];
        let mut upstream_open = true;
        loop {
            tokio::select! {
                order = next_order(&mut self.orders, ConnectionOrder::Silence) => return order,
                read = self.client.read(&mut from_client) => {
                    if !matches!(read, Ok(1..)) {
                        return ConnectionOrder::Reset;
                    }
                }
                read = upstream.read(&mut from_upstream), if upstream_open => {
                    upstream_open = matches!(read, Ok(1..));
                }
            }
        }
    }
}

/// Waits for an order other than the one in force.
async fn next_order(
    orders: &mut watch::Receiver<ConnectionOrder>,
    in_force: ConnectionOrder,
) -> ConnectionOrder {
    orders
        .wait_for(|order| *order != in_force)
        .await
        .map_or(ConnectionOrder::Reset, |order| *order)
}

async fn pump_both(
    client: &mut TcpStream,
    upstream: &mut TcpStream,
    faults: &watch::Receiver<LinkFaults>,
    id: u64,
) {
    let seed = faults.borrow().seed.wrapping_add(id.wrapping_mul(2));
    let there = ChaCha8Rng::seed_from_u64(seed);
    let back = ChaCha8Rng::seed_from_u64(seed.wrapping_add(1));
    let (client_reader, client_writer) = client.split();
    let (upstream_reader, upstream_writer) = upstream.split();
    let pumped = tokio::try_join!(
        pump(client_reader, upstream_writer, faults.clone(), there),
        pump(upstream_reader, client_writer, faults.clone(), back)
    );
    if pumped.is_err() {
        reset(client);
        reset(upstream);
    }
}

/// Makes the coming drop of a socket reset its connection.
fn reset(stream: &TcpStream) {
    // A socket that can't be set up for a reset is already closed.
    let _ = stream.set_zero_linger();
}
