//! The task that owns a datagram relay's sockets.

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

const ANSWERS_MAX: usize = 1024;
const DATAGRAM_BYTES_MAX: usize = 65_535;
const IN_FLIGHT_MAX: usize = 4096;

/// One sender and its own way to the upstream.
#[derive(Debug)]
struct SenderFlow {
    rng: ChaCha8Rng,
    silent: bool,
    socket: Arc<UdpSocket>,
}

/// An upstream's datagram on its way back to a sender.
#[derive(Debug)]
struct ReturnedDatagram {
    bytes: Bytes,
    sender: SocketAddr,
}

/// Owner of a datagram relay's sockets.
#[derive(Debug)]
pub(super) struct DatagramTask {
    answers: mpsc::Sender<ReturnedDatagram>,
    faults: LinkFaults,
    flows: HashMap<SocketAddr, SenderFlow>,
    in_flight: JoinSet<()>,
    readers: JoinSet<()>,
    returned: Receiver<ReturnedDatagram>,
    socket: Arc<UdpSocket>,
    upstream: SocketAddr,
}

impl DatagramTask {
    pub(super) fn new(socket: UdpSocket, upstream: SocketAddr) -> Self {
        let (answers, returned) = mpsc::channel(ANSWERS_MAX);
        Self {
            answers,
            faults: LinkFaults::default(),
            flows: HashMap::new(),
            in_flight: JoinSet::new(),
            readers: JoinSet::new(),
            returned,
            socket: Arc::new(socket),
            upstream,
        }
    }

    /// Serves until told to close; dropping the task drops what is on its way.
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
                Some(returned) = self.returned.recv() => self.pass_back(returned),
                received = self.socket.recv_from(&mut buffer) => {
                    if let Ok((len, sender)) = received {
                        self.pass_on(sender, Bytes::copy_from_slice(&buffer[..len])).await;
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
        // The caller may have gone.
        let _ = done.send(());
    }

    fn pass_back(&mut self, returned: ReturnedDatagram) {
        let Some(flow) = self.flows.get_mut(&returned.sender) else {
            return;
        };
        if flow.silent || self.faults.cut || self.faults.draw_loss(&mut flow.rng) {
            return;
        }
        let socket = Arc::clone(&self.socket);
        self.launch(socket, returned.sender, returned.bytes);
    }

    async fn pass_on(&mut self, sender: SocketAddr, bytes: Bytes) {
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
        self.launch(socket, self.upstream, bytes);
    }

    async fn open_flow(&mut self, sender: SocketAddr) -> io::Result<SenderFlow> {
        let socket = Arc::new(UdpSocket::bind((self.socket.local_addr()?.ip(), 0)).await?);
        let reader = read_answers(Arc::clone(&socket), sender, self.answers.clone());
        self.readers.spawn(reader);
        let seed = self.faults.seed.wrapping_add(self.flows.len() as u64);
        Ok(SenderFlow {
            rng: ChaCha8Rng::seed_from_u64(seed),
            silent: false,
            socket,
        })
    }

    /// Sends a datagram after the link's delay; too many on their way are lost.
    fn launch(&mut self, socket: Arc<UdpSocket>, target: SocketAddr, bytes: Bytes) {
        if self.in_flight.len() >= IN_FLIGHT_MAX {
            return;
        }
        let delay = self.faults.delay();
        self.in_flight.spawn(async move {
            if !delay.is_zero() {
                sleep(delay).await;
            }
            // A datagram that can't be sent is lost.
            let _ = socket.send_to(&bytes, target).await;
        });
    }
}

async fn read_answers(
    socket: Arc<UdpSocket>,
    sender: SocketAddr,
    answers: mpsc::Sender<ReturnedDatagram>,
) {
    let mut buffer = vec![0; DATAGRAM_BYTES_MAX];
    while let Ok((len, _)) = socket.recv_from(&mut buffer).await {
        let bytes = Bytes::copy_from_slice(&buffer[..len]);
        if answers
            .send(ReturnedDatagram { bytes, sender })
            .await
            .is_err()
        {
            return;
        }
    }
}
