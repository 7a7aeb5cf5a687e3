//! Server of a stand-in, with faults of its connections.

use {
    super::{ConnectionHandle, FaultSettings, GatedStream},
    hyper_util::{rt::TokioIo, service::TowerToHyperService},
    std::{io, net::SocketAddr},
    tokio::{
        net::{TcpListener, TcpSocket, TcpStream},
        sync::{mpsc, oneshot, watch},
        task::JoinSet,
    },
    warp::{
        Filter, Rejection, Reply,
        hyper::{
            body::Incoming,
            server::conn::http1,
            service::{Service, service_fn},
        },
    },
};

/// Maximum number of connections that wait for `accept`.
const BACKLOG: u32 = 1024;

/// Maximum number of queued commands; further senders wait.
const COMMAND_QUEUE_LEN: usize = 16;

/// Command to a [`ConnectionGate`] to replace its faults.
#[derive(Debug)]
pub struct GateCommand {
    /// Signals that the new faults are in force.
    pub(super) done_tx: oneshot::Sender<()>,
    /// Connection that carries the command; it isn't silenced, so that the reply gets through.
    pub(super) exempt: Option<ConnectionHandle>,
    /// New faults, which replace all earlier ones.
    pub(super) settings: FaultSettings,
}

/// Running server of a stand-in, with a listener for requests and one for control.
#[derive(Debug)]
pub struct ConnectionGate {
    address: SocketAddr,
    close_tx: oneshot::Sender<()>,
    control_address: SocketAddr,
    commands: mpsc::Sender<GateCommand>,
    task: tokio::task::JoinHandle<()>,
}

/// Bound sockets of a [`ConnectionGate`] that doesn't serve yet.
#[derive(Debug)]
pub struct BoundGate {
    control: TcpListener,
    faults: watch::Sender<FaultSettings>,
    listener: TcpListener,
    command_rx: mpsc::Receiver<GateCommand>,
    commands: mpsc::Sender<GateCommand>,
    reservation: TcpSocket,
}

impl BoundGate {
    /// Binds `listen` for requests and `control_listen` for control.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system when an address can't be bound.
    pub async fn bind(listen: SocketAddr, control_listen: SocketAddr) -> io::Result<Self> {
        let reservation = reuse_socket(listen)?;
        let listener = reuse_socket(reservation.local_addr()?)?.listen(BACKLOG)?;
        let control = TcpListener::bind(control_listen).await?;
        let (commands, command_rx) = mpsc::channel(COMMAND_QUEUE_LEN);
        Ok(Self {
            control,
            faults: watch::Sender::default(),
            listener,
            command_rx,
            commands,
            reservation,
        })
    }

    /// Returns a receiver of the faults in force.
    #[must_use]
    pub fn faults(&self) -> watch::Receiver<FaultSettings> {
        self.faults.subscribe()
    }

    /// Returns a sender of commands, for the routes that set faults.
    #[must_use]
    pub fn commands(&self) -> mpsc::Sender<GateCommand> {
        self.commands.clone()
    }

    /// Serves `routes` on both addresses.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system when the address of a listener can't be read.
    pub fn serve<F>(self, routes: F) -> io::Result<ConnectionGate>
    where
        F: Filter<Error = Rejection> + Clone + Send + Sync + 'static,
        F::Extract: Reply,
        F::Future: Send,
    {
        let (close_tx, close_rx) = oneshot::channel();
        Ok(ConnectionGate {
            address: self.listener.local_addr()?,
            close_tx,
            control_address: self.control.local_addr()?,
            commands: self.commands.clone(),
            task: tokio::spawn(run(self, routes, close_rx)),
        })
    }
}

impl ConnectionGate {
    /// Returns the address of the listener for requests.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops listening and closes all connections.
    ///
    /// # Panics
    ///
    /// Panics when the gate's task ended unexpectedly.
    pub async fn close(self) {
        let sent = self.close_tx.send(());
        let ended = self.task.await;
        assert!(
            sent.is_ok() && ended.is_ok(),
            "the gate's task ended unexpectedly"
        );
    }

    /// Returns the address of the control listener.
    ///
    /// It serves the same routes; refusal and silence of connections don't apply to it.
    #[must_use]
    pub fn control_address(&self) -> SocketAddr {
        self.control_address
    }

    /// Replaces the faults and returns once they are in force.
    ///
    /// # Panics
    ///
    /// Panics when the gate's task ended unexpectedly.
    pub async fn set_faults(&self, settings: FaultSettings) {
        let (done_tx, done_rx) = oneshot::channel();
        let command = GateCommand {
            done_tx,
            exempt: None,
            settings,
        };
        let sent = self.commands.send(command).await;
        let done = done_rx.await;
        assert!(
            sent.is_ok() && done.is_ok(),
            "the gate's task ended unexpectedly"
        );
    }
}

fn reuse_socket(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(true)?;
    socket.bind(address)?;
    Ok(socket)
}

/// Accepts a connection from `listener`; never completes without a listener.
async fn accept(listener: Option<&TcpListener>) -> io::Result<TcpStream> {
    match listener {
        Some(listener) => listener.accept().await.map(|(stream, _)| stream),
        None => std::future::pending().await,
    }
}

async fn run<F>(gate: BoundGate, routes: F, mut close_rx: oneshot::Receiver<()>)
where
    F: Filter<Error = Rejection> + Clone + Send + Sync + 'static,
    F::Extract: Reply,
    F::Future: Send,
{
    let BoundGate {
        control,
        faults,
        listener,
        mut command_rx,
        commands: _commands,
        reservation,
    } = gate;
    let mut listener = Some(listener);
    let mut connections = JoinSet::new();
    let mut handles: Vec<ConnectionHandle> = Vec::new();
    loop {
        tokio::select! {
            _ = &mut close_rx => break,
            Some(command) = command_rx.recv() => {
                let settings = command.settings;
                apply_silence(&settings, &handles, command.exempt.as_ref());
                listener = match listener {
                    _ if settings.refuse_connections => None,
                    Some(listener) => Some(listener),
                    None => relisten(&reservation),
                };
                faults.send_replace(settings);
                let _sent = command.done_tx.send(());
            }
            Ok(stream) = accept(listener.as_ref()) => {
                let handle = ConnectionHandle::default();
                handles.retain(|handle| !handle.is_unshared());
                handles.push(handle.clone());
                connections.spawn(serve_connection(stream, handle, routes.clone()));
            }
            Ok((stream, _)) = control.accept() => {
                let handle = ConnectionHandle::default();
                connections.spawn(serve_connection(stream, handle, routes.clone()));
            }
            Some(_) = connections.join_next() => {}
        }
    }
    connections.shutdown().await;
}

fn apply_silence(
    settings: &FaultSettings,
    handles: &[ConnectionHandle],
    exempt: Option<&ConnectionHandle>,
) {
    if !settings.silent {
        return;
    }
    handles
        .iter()
        .filter(|handle| !exempt.is_some_and(|exempt| exempt.is_same(handle)))
        .for_each(ConnectionHandle::silence);
}

/// Opens a new listener on the reserved port.
fn relisten(reservation: &TcpSocket) -> Option<TcpListener> {
    let address = reservation.local_addr().ok()?;
    reuse_socket(address).ok()?.listen(BACKLOG).ok()
}

async fn serve_connection<F>(stream: TcpStream, handle: ConnectionHandle, routes: F)
where
    F: Filter<Error = Rejection> + Clone + Send + Sync + 'static,
    F::Extract: Reply,
    F::Future: Send,
{
    let _nodelay = stream.set_nodelay(true);
    let service = TowerToHyperService::new(warp::service(routes));
    let io = TokioIo::new(GatedStream::new(stream, handle.clone()));
    let service = service_fn(move |mut request: warp::http::Request<Incoming>| {
        request.extensions_mut().insert(handle.clone());
        service.call(request)
    });
    // Errors come from callers that disconnect early.
    let _served = http1::Builder::new().serve_connection(io, service).await;
}
