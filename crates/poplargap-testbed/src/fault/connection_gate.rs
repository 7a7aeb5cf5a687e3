//! The listening side of a stand-in, with faults of its connections.

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

/// Connections that wait for `accept`.
const BACKLOG: u32 = 1024;

/// Number of orders that may wait.
const ORDER_QUEUE_LEN: usize = 16;

/// A change of the faults that are on.
#[derive(Debug)]
pub struct GateOrder {
    /// Told once the change is in force.
    pub(super) done_tx: oneshot::Sender<()>,
    /// The connection that must stay usable: it carries the order.
    pub(super) exempt: Option<ConnectionHandle>,
    /// The faults from now on.
    pub(super) settings: FaultSettings,
}

/// Listening sockets of a stand-in and the task that owns them.
#[derive(Debug)]
pub struct ConnectionGate {
    address: SocketAddr,
    close_tx: oneshot::Sender<()>,
    control_address: SocketAddr,
    orders: mpsc::Sender<GateOrder>,
    task: tokio::task::JoinHandle<()>,
}

/// Sockets that are bound but don't serve yet.
#[derive(Debug)]
pub struct BoundGate {
    control: TcpListener,
    faults: watch::Sender<FaultSettings>,
    listener: TcpListener,
    order_rx: mpsc::Receiver<GateOrder>,
    orders: mpsc::Sender<GateOrder>,
    reservation: TcpSocket,
}

impl BoundGate {
    /// Binds the address for work and the one for control.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system when an address can't be bound.
    pub async fn bind(listen: SocketAddr, control_listen: SocketAddr) -> io::Result<Self> {
        let reservation = reuse_socket(listen)?;
        let listener = reuse_socket(reservation.local_addr()?)?.listen(BACKLOG)?;
        let control = TcpListener::bind(control_listen).await?;
        let (orders, order_rx) = mpsc::channel(ORDER_QUEUE_LEN);
        Ok(Self {
            control,
            faults: watch::Sender::default(),
            listener,
            order_rx,
            orders,
            reservation,
        })
    }

    /// Returns the faults in force, as they change.
    #[must_use]
    pub fn faults(&self) -> watch::Receiver<FaultSettings> {
        self.faults.subscribe()
    }

    /// Returns the sender of orders, for the control paths.
    #[must_use]
    pub fn orders(&self) -> mpsc::Sender<GateOrder> {
        self.orders.clone()
    }

    /// Serves `routes` on both addresses.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system when an address can't be read.
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
            orders: self.orders.clone(),
            task: tokio::spawn(run(self, routes, close_rx)),
        })
    }
}

impl ConnectionGate {
    /// Returns the address for work.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops listening and cuts all connections.
    ///
    /// # Panics
    ///
    /// Panics when the gate's task ended before its time.
    pub async fn close(self) {
        let sent = self.close_tx.send(());
        let ended = self.task.await;
        assert!(
            sent.is_ok() && ended.is_ok(),
            "the gate's task ended before its time"
        );
    }

    /// Returns the address that serves the same paths and knows no connection faults.
    #[must_use]
    pub fn control_address(&self) -> SocketAddr {
        self.control_address
    }

    /// Puts `settings` in force.
    ///
    /// # Panics
    ///
    /// Panics when the gate's task ended before its time.
    pub async fn set_faults(&self, settings: FaultSettings) {
        let (done_tx, done_rx) = oneshot::channel();
        let order = GateOrder {
            done_tx,
            exempt: None,
            settings,
        };
        let sent = self.orders.send(order).await;
        let done = done_rx.await;
        assert!(
            sent.is_ok() && done.is_ok(),
            "the gate's task ended before its time"
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

/// Accepts on `listener`; without one, waits for ever.
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
        mut order_rx,
        orders: _orders,
        reservation,
    } = gate;
    let mut listener = Some(listener);
    let mut connections = JoinSet::new();
    let mut handles: Vec<ConnectionHandle> = Vec::new();
    loop {
        tokio::select! {
            _ = &mut close_rx => break,
            Some(order) = order_rx.recv() => {
                let settings = order.settings;
                apply_silence(&settings, &handles, order.exempt.as_ref());
                listener = match listener {
                    _ if settings.refuse_connections => None,
                    Some(listener) => Some(listener),
                    None => relisten(&reservation),
                };
                faults.send_replace(settings);
                let _told = order.done_tx.send(());
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

/// Listens again on the reserved port.
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
    // A caller that goes away is no fault of the stand-in.
    let _ended = http1::Builder::new().serve_connection(io, service).await;
}
