//! The HTTP client that sends orders to engines.

use {
    crate::{clock::ProcessClock, shards::build_client},
    bytes::Bytes,
    futures::stream,
    poplargap_core::order::{EngineOrder, OrderOutcome, SendPermit},
    reqwest::{
        Body, Client, StatusCode,
        header::{CONTENT_LENGTH, CONTENT_TYPE},
    },
    std::{
        io,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::sync::watch,
};

/// Determines whether orders under one fencing number may still be sent.
#[derive(Clone, Debug)]
pub(super) struct SendGate {
    pub(super) clock: ProcessClock,
    pub(super) fence: u64,
    pub(super) permits: watch::Receiver<Option<SendPermit>>,
}

impl SendGate {
    fn is_open(&self) -> bool {
        let now = self.clock.now();
        self.permits
            .borrow()
            .is_some_and(|permit| permit.fence == self.fence && permit.allows(now))
    }
}

/// Sends orders, each over a new connection.
#[derive(Clone, Debug)]
pub(super) struct OrderClient {
    client: Client,
    timeout: Duration,
}

impl OrderClient {
    pub(super) fn new(connect: Duration, timeout: Duration) -> Result<Self, reqwest::Error> {
        let client = build_client(connect, 0)?;
        Ok(Self { client, timeout })
    }

    /// Sends one order and waits for its answer.
    ///
    /// The gate is checked when the connection is established and ready for the order's body. An
    /// engine can't carry out an order without its body, so that a closed gate proves that the
    /// order wasn't given.
    pub(super) async fn send(
        &self,
        engine: SocketAddr,
        order: &EngineOrder,
        gate: SendGate,
    ) -> OrderOutcome {
        let Ok(body) = serde_json::to_vec(order) else {
            return OrderOutcome::NotSent;
        };
        let len = body.len();
        let sent = Arc::new(AtomicBool::new(false));
        let body = gated_body(Bytes::from(body), gate, Arc::clone(&sent));
        let request = self
            .client
            .post(format!("http://{engine}/orders"))
            .header(CONTENT_LENGTH, len)
            .header(CONTENT_TYPE, "application/json")
            .timeout(self.timeout)
            .body(body);
        match request.send().await {
            Ok(answer) => outcome_of(answer.status()),
            Err(_) if sent.load(Ordering::SeqCst) => OrderOutcome::Unknown,
            Err(_) => OrderOutcome::NotSent,
        }
    }
}

fn gated_body(body: Bytes, gate: SendGate, sent: Arc<AtomicBool>) -> Body {
    let chunk = async move {
        if !gate.is_open() {
            return Err(io::Error::other("the lease for orders has expired"));
        }
        sent.store(true, Ordering::SeqCst);
        Ok(body)
    };
    Body::wrap_stream(stream::once(chunk))
}

fn outcome_of(status: StatusCode) -> OrderOutcome {
    match status {
        StatusCode::CONFLICT => OrderOutcome::Fenced,
        StatusCode::SERVICE_UNAVAILABLE => OrderOutcome::Refused,
        status if status.is_success() => OrderOutcome::Accepted,
        status if status.is_client_error() => OrderOutcome::Refused,
        _ => OrderOutcome::Unknown,
    }
}
