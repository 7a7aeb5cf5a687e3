//! Task of a UDP relay.

use {
    super::{LinkFaults, relay_message::RelayMessage},
    bytes::Bytes,
    poplargap_core::collections::{HashMap, HashMapExt},
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    std::{io, net::SocketAddr, sync::Arc},
    tokio::{
        net::UdpSocket,
        sync::mpsc::{self, Receiver},
        task::JoinSet,
        time::sleep,
    },
};

/// Maximum number of replies that wait to be reply; further readers wait.
const REPLY_QUEUE_LEN: usize = 1024;

/// Maximum length of a datagram, in bytes.
const DATAGRAM_BYTES_MAX: usize = 65_535;

/// Maximum number of delayed datagrams; further ones are dropped.
const IN_FLIGHT_MAX: usize = 4096;

/// State of one sender, with its socket towards the upstream.
#[derive(Debug)]
struct SenderFlow {
    rng: ChaCha8Rng,
    silent: bool,
    socket: Arc<UdpSocket>,
}

/// A reply of the upstream to one sender.
#[derive(Debug)]
struct ReplyDatagram {
    bytes: Bytes,
    sender: SocketAddr,
}

/// Owns the sockets of a UDP relay and forwards datagrams between them.
#[derive(Debug)]
pub(super) struct DatagramTask {
    reply_tx: mpsc::Sender<ReplyDatagram>,
    faults: LinkFaults,
    flows: HashMap<SocketAddr, SenderFlow>,
    in_flight: JoinSet<()>,
    readers: JoinSet<()>,
    reply_rx: Receiver<ReplyDatagram>,
    socket: Arc<UdpSocket>,
    upstream: SocketAddr,
}

impl DatagramTask {
    pub(super) fn new(socket: UdpSocket, upstream: SocketAddr) -> Self {
        let (reply_tx, reply_rx) = mpsc::channel(REPLY_QUEUE_LEN);
        Self {
            reply_tx,
            faults: LinkFaults::default(),
            flows: HashMap::new(),
            in_flight: JoinSet::new(),
            readers: JoinSet::new(),
            reply_rx,
            socket: Arc::new(socket),
            upstream,
        }
    }

    /// Runs until a close message arrives or all senders of messages are dropped.
    ///
    /// Datagrams in flight are then dropped.
    pub(super) async fn run(mut self, mut messages: Receiver<RelayMessage>) {
        let mut buffer = vec![0; DATAGRAM_BYTES_MAX];
        loop {
            tokio::select! {
                biased;
                message = messages.recv() => match message {
                    None | Some(RelayMessage::Close) => return,
                    Some(message) => self.handle(message),
                },
                Some(_) = self.in_flight.join_next() => {}
                Some(_) = self.readers.join_next() => {}
                Some(reply) = self.reply_rx.recv() => self.forward_reply(reply),
                received = self.socket.recv_from(&mut buffer) => {
                    if let Ok((len, sender)) = received {
                        self.forward_request(sender, Bytes::copy_from_slice(&buffer[..len])).await;
                    }
                }
            }
        }
    }

    fn handle(&mut self, message: RelayMessage) {
        let done = match message {
            RelayMessage::Close | RelayMessage::Connected { .. } => return,
            RelayMessage::Reset { done, .. } => done,
            RelayMessage::SetFaults { done, faults } => {
                self.faults = faults;
                done
            }
            RelayMessage::Silence { done, .. } => {
                self.flows.values_mut().for_each(|flow| flow.silent = true);
                done
            }
        };
        // The receiver may have been dropped.
        let _ = done.send(());
    }

    fn forward_reply(&mut self, reply: ReplyDatagram) {
        let Some(flow) = self.flows.get_mut(&reply.sender) else {
            return;
        };
        if flow.silent || self.faults.cut || self.faults.draw_loss(&mut flow.rng) {
            return;
        }
        let socket = Arc::clone(&self.socket);
        self.send_delayed(socket, reply.sender, reply.bytes);
    }

    async fn forward_request(&mut self, sender: SocketAddr, bytes: Bytes) {
        if !self.flows.contains_key(&sender) {
            let Ok(flow) = self.open_flow(sender).await else {
                return;
            };
            self.flows.insert(sender, flow);
        }
        let Some(flow) = self.flows.get_mut(&sender) else {
            return;
        };
        if flow.silent || self.faults.cut || self.faults.draw_loss(&mut flow.rng) {
            return;
        }
        let socket = Arc::clone(&flow.socket);
        self.send_delayed(socket, self.upstream, bytes);
    }

    async fn open_flow(&mut self, sender: SocketAddr) -> io::Result<SenderFlow> {
        let socket = Arc::new(UdpSocket::bind((self.socket.local_addr()?.ip(), 0)).await?);
        let reader = read_replies(Arc::clone(&socket), sender, self.reply_tx.clone());
        self.readers.spawn(reader);
        let seed = self.faults.seed.wrapping_add(self.flows.len() as u64);
        Ok(SenderFlow {
            rng: ChaCha8Rng::seed_from_u64(seed),
            silent: false,
            socket,
        })
    }

    /// Sends a datagram after the link's delay, or drops it when too many are in flight.
    fn send_delayed(&mut self, socket: Arc<UdpSocket>, target: SocketAddr, bytes: Bytes) {
        if self.in_flight.len() >= IN_FLIGHT_MAX {
            return;
        }
        let delay = self.faults.delay();
        self.in_flight.spawn(async move {
            if !delay.is_zero() {
                sleep(delay).await;
            }
            // A datagram that can't be sent counts as lost.
            let _ = socket.send_to(&bytes, target).await;
        });
    }
}

async fn read_replies(
    socket: Arc<UdpSocket>,
    sender: SocketAddr,
    reply_tx: mpsc::Sender<ReplyDatagram>,
) {
    let mut buffer = vec![0; DATAGRAM_BYTES_MAX];
    while let Ok((len, _)) = socket.recv_from(&mut buffer).await {
        let bytes = Bytes::copy_from_slice(&buffer[..len]);
        if reply_tx
            .send(ReplyDatagram { bytes, sender })
            .await
            .is_err()
        {
            return;
        }
    }
}
