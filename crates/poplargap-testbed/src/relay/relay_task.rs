//! Task of a TCP relay.

use {
    super::{
        LinkFaults,
        relay_connection::{ForwardMode, RelayConnection},
        relay_message::RelayMessage,
        reserved_port::ReservedPort,
    },
    poplargap_core::collections::{HashMap, HashMapExt},
    std::{future::pending, io, net::SocketAddr},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::{
            mpsc::{Receiver, Sender},
            watch,
        },
        task::JoinSet,
    },
};

/// State of one connection.
#[derive(Debug)]
struct OpenConnection {
    /// Local address towards the upstream, once connected.
    local: Option<SocketAddr>,
    mode_tx: watch::Sender<ForwardMode>,
}

/// Owns the listener and the connections of a TCP relay.
#[derive(Debug)]
pub(super) struct RelayTask {
    connections: HashMap<u64, OpenConnection>,
    faults: watch::Sender<LinkFaults>,
    listener: Option<TcpListener>,
    next_id: u64,
    port: ReservedPort,
    sender: Sender<RelayMessage>,
    tasks: JoinSet<u64>,
    upstream: SocketAddr,
}

impl RelayTask {
    pub(super) fn new(
        port: ReservedPort,
        upstream: SocketAddr,
        sender: Sender<RelayMessage>,
    ) -> io::Result<Self> {
        Ok(Self {
            connections: HashMap::new(),
            faults: watch::Sender::new(LinkFaults::default()),
            listener: Some(port.listen()?),
            next_id: 0,
            port,
            sender,
            tasks: JoinSet::new(),
            upstream,
        })
    }

    /// Runs until a close message arrives, then resets all connections.
    pub(super) async fn run(mut self, mut messages: Receiver<RelayMessage>) {
        loop {
            tokio::select! {
                biased;
                message = messages.recv() => match message {
                    None | Some(RelayMessage::Close) => break,
                    Some(message) => self.handle(message),
                },
                Some(ended) = self.tasks.join_next() => {
                    if let Ok(id) = ended {
                        self.connections.remove(&id);
                    }
                }
                client = accept(self.listener.as_ref()) => self.open(client),
            }
        }
        self.close(messages).await;
    }

    fn handle(&mut self, message: RelayMessage) {
        match message {
            RelayMessage::Close => {}
            RelayMessage::Connected { id, local } => {
                if let Some(connection) = self.connections.get_mut(&id) {
                    connection.local = Some(local);
                }
            }
            RelayMessage::Reset { done, local } => {
                self.set_mode(ForwardMode::Reset, |known| known == Some(local));
                let _ = done.send(());
            }
            RelayMessage::SetFaults { done, faults } => {
                self.set_faults(faults);
                let _ = done.send(());
            }
            RelayMessage::Silence { done, except } => {
                self.set_mode(ForwardMode::Silence, |known| {
                    except.is_none() || known != except
                });
                let _ = done.send(());
            }
        }
    }

    fn open(&mut self, client: TcpStream) {
        let id = self.next_id;
        self.next_id += 1;
        let mode_tx = watch::Sender::new(ForwardMode::Forward);
        let connection = RelayConnection {
            client,
            faults: self.faults.subscribe(),
            id,
            messages: self.sender.clone(),
            mode_rx: mode_tx.subscribe(),
            upstream: self.upstream,
        };
        self.connections.insert(
            id,
            OpenConnection {
                local: None,
                mode_tx,
            },
        );
        self.tasks.spawn(connection.run());
    }

    /// Sets the mode of the connections whose local address `selects` accepts.
    fn set_mode(&self, mode: ForwardMode, selects: impl Fn(Option<SocketAddr>) -> bool) {
        self.connections
            .values()
            .filter(|connection| selects(connection.local))
            .for_each(|connection| {
                connection.mode_tx.send_replace(mode);
            });
    }

    fn set_faults(&mut self, faults: LinkFaults) {
        self.faults.send_replace(faults);
        if faults.cut {
            self.listener = None;
            self.set_mode(ForwardMode::Reset, |_| true);
        } else if self.listener.is_none() {
            self.listener = self.port.listen().ok();
        }
    }

    async fn close(mut self, mut messages: Receiver<RelayMessage>) {
        self.listener = None;
        messages.close();
        self.set_mode(ForwardMode::Reset, |_| true);
        while self.tasks.join_next().await.is_some() {}
    }
}

/// Accepts a connection; never completes without a listener.
async fn accept(listener: Option<&TcpListener>) -> TcpStream {
    let Some(listener) = listener else {
        return pending().await;
    };
    loop {
        if let Ok((client, _)) = listener.accept().await {
            return client;
        }
        tokio::task::yield_now().await;
    }
}
