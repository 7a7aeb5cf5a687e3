//! A pool of HTTP connections that is replaced after a timeout.

use {
    crate::{StoreCounters, StoreError},
    bytes::{Bytes, BytesMut},
    displaydoc::Display,
    reqwest::{
        Client, RequestBuilder, Response, StatusCode,
        header::{ETAG, HeaderMap},
        redirect::Policy,
        retry,
    },
    serde::de::DeserializeOwned,
    std::{error::Error, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        sync::watch,
        time::{error::Elapsed, timeout},
    },
};

const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Idle time before the first TCP keep-alive probe, and interval of the probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered keep-alive probes after which a connection is closed.
const KEEPALIVE_PROBES_MAX: u32 = 2;

/// Longest body of an answer in bytes.
const BODY_BYTES_MAX: usize = 16 * 1024 * 1024;

/// Multiple of the timeout within which the body of an answer must have arrived.
const BODY_TIMEOUTS_MAX: u32 = 4;

/// A complete HTTP answer.
#[derive(Debug)]
pub struct HttpAnswer {
    /// The answer's body.
    pub body: Bytes,
    /// The answer's headers.
    pub headers: HeaderMap,
    /// The answer's status.
    pub status: StatusCode,
    /// The answer's entity tag, if any.
    pub tag: Option<String>,
}

impl HttpAnswer {
    /// Decodes the body as JSON.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Malformed`] when the body can't be decoded as a `T`.
    pub fn decode<T: DeserializeOwned>(&self) -> Result<T, StoreError> {
        serde_json::from_slice(&self.body).map_err(|error| StoreError::Malformed(error.to_string()))
    }
}

/// Why an answer couldn't be read.
#[derive(Debug, Display)]
enum ExchangeError {
    /// the connection failed: {0}
    Http(reqwest::Error),
    /// the answer didn't arrive in time
    TimedOut,
    /// the answer is too long
    TooLong,
}

impl From<reqwest::Error> for ExchangeError {
    fn from(error: reqwest::Error) -> Self {
        Self::Http(error)
    }
}

impl From<Elapsed> for ExchangeError {
    fn from(_: Elapsed) -> Self {
        Self::TimedOut
    }
}

#[derive(Clone, Debug)]
struct PooledClient {
    client: Client,
    generation: u64,
}

/// A pool of connections to one address; a timeout of a call replaces the whole pool.
///
/// A dead connection can't be distinguished from a slow one. The next call after a timeout
/// therefore uses a new connection; calls that wait on old connections keep their own deadlines.
#[derive(Clone, Debug)]
pub struct HttpPool {
    address: SocketAddr,
    client: Arc<watch::Sender<PooledClient>>,
    counters: StoreCounters,
    kind: &'static str,
    timeout: Duration,
}

impl HttpPool {
    /// Creates a pool whose traffic is counted as control traffic of `kind`.
    ///
    /// # Errors
    ///
    /// Returns an error when the HTTP library can't be set up.
    pub fn new(
        address: SocketAddr,
        kind: &'static str,
        timeout: Duration,
        counters: StoreCounters,
    ) -> Result<Self, StoreError> {
        let client = PooledClient {
            client: build_client(timeout)
                .map_err(|error| StoreError::NotSent(error_with_causes(&error)))?,
            generation: 0,
        };
        Ok(Self {
            address,
            client: Arc::new(watch::Sender::new(client)),
            counters,
            kind,
            timeout,
        })
    }

    /// Returns the counters to which the pool adds.
    #[must_use]
    pub fn counters(&self) -> &StoreCounters {
        &self.counters
    }

    /// Returns the URL of a path at the pool's address.
    #[must_use]
    pub fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    /// Sends a request and reads the answer.
    ///
    /// The head must arrive within the timeout, to which `wait` is added for long polling. Each
    /// further piece of the body must arrive within the timeout, too, and the whole body within a
    /// multiple of it: a long answer over a slow link isn't mistaken for a dead connection.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::NotSent`] only when certainly nothing was sent, and
    /// [`StoreError::NoAnswer`] otherwise.
    pub async fn send(
        &self,
        wait: Duration,
        request: impl FnOnce(&Client) -> RequestBuilder,
    ) -> Result<HttpAnswer, StoreError> {
        let pooled = self.client.borrow().clone();
        let request = request(&pooled.client)
            .build()
            .map_err(|error| StoreError::NotSent(error_with_causes(&error)))?;
        let sent = request_len(&request);
        let result = self.exchange(&pooled.client, request, wait).await;
        let received = result.as_ref().map_or(0, |answer| answer.body.len());
        self.counters.bytes.add_exchange(self.kind, sent, received);
        match result {
            Ok(answer) => Ok(answer),
            Err(ExchangeError::Http(error)) if error.is_connect() => {
                Err(StoreError::NotSent(error_with_causes(&error)))
            }
            Err(ExchangeError::Http(error)) => Err(StoreError::NoAnswer(error_with_causes(&error))),
            Err(error @ (ExchangeError::TimedOut | ExchangeError::TooLong)) => {
                self.replace_client(pooled.generation);
                Err(StoreError::NoAnswer(error.to_string()))
            }
        }
    }

    async fn exchange(
        &self,
        client: &Client,
        request: reqwest::Request,
        wait: Duration,
    ) -> Result<HttpAnswer, ExchangeError> {
        let head = timeout(wait.saturating_add(self.timeout), client.execute(request));
        let mut response = head.await??;
        let status = response.status();
        let tag = response.headers().get(ETAG);
        let tag = tag.and_then(|tag| tag.to_str().ok()).map(str::to_owned);
        let headers = std::mem::take(response.headers_mut());
        let body = timeout(self.timeout * BODY_TIMEOUTS_MAX, self.read_body(response));
        let body = body.await??;
        Ok(HttpAnswer {
            body,
            headers,
            status,
            tag,
        })
    }

    async fn read_body(&self, mut response: Response) -> Result<Bytes, ExchangeError> {
        let mut body = BytesMut::new();
        loop {
            let chunk = timeout(self.timeout, response.chunk()).await;
            let Some(chunk) = chunk?? else {
                return Ok(body.freeze());
            };
            if body.len() + chunk.len() > BODY_BYTES_MAX {
                return Err(ExchangeError::TooLong);
            }
            body.extend_from_slice(&chunk);
        }
    }

    fn replace_client(&self, generation: u64) {
        let Ok(client) = build_client(self.timeout) else {
            return;
        };
        let replaced = self.client.send_if_modified(|pooled| {
            if pooled.generation != generation {
                return false;
            }
            pooled.client = client;
            pooled.generation += 1;
            true
        });
        if replaced {
            self.counters.pools_dropped.inc();
        }
    }
}

/// Returns the length of a request's path, query and body.
fn request_len(request: &reqwest::Request) -> usize {
    let body = request.body().and_then(reqwest::Body::as_bytes);
    let url = request.url();
    url.path().len() + url.query().map_or(0, str::len) + body.map_or(0, <[u8]>::len)
}

/// Builds a client whose connect timeout is shorter than that of the whole call.
///
/// Otherwise a failed connection attempt couldn't be distinguished from a request that was sent.
fn build_client(timeout: Duration) -> reqwest::Result<Client> {
    Client::builder()
        .connect_timeout(timeout / 2)
        .http1_only()
        .no_proxy()
        .pool_idle_timeout(IDLE_TIMEOUT)
        .redirect(Policy::none())
        .retry(retry::never())
        .tcp_keepalive(KEEPALIVE_INTERVAL)
        .tcp_keepalive_interval(KEEPALIVE_INTERVAL)
        .tcp_keepalive_retries(KEEPALIVE_PROBES_MAX)
        .build()
}

fn error_with_causes(error: &reqwest::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
