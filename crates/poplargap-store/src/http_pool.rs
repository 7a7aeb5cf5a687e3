//! A pool of HTTP connections that is replaced after a timeout.

use {
    crate::{StoreCounters, StoreError},
    bytes::Bytes,
    reqwest::{Client, RequestBuilder, StatusCode, header::ETAG, redirect::Policy, retry},
    serde::de::DeserializeOwned,
    std::{error::Error, net::SocketAddr, sync::Arc, time::Duration},
    tokio::sync::watch,
};

const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Time without a byte after which the other end is asked whether it lives.
const PROBE_IDLE: Duration = Duration::from_secs(1);

/// Probes without an answer after which a connection is given up.
const PROBES_MAX: u32 = 2;

/// One answer, read to its end.
#[derive(Debug)]
pub struct HttpAnswer {
    /// The answer's body.
    pub body: Bytes,
    /// The answer's status.
    pub status: StatusCode,
    /// The answer's version, if it names one.
    pub tag: Option<String>,
}

impl HttpAnswer {
    /// Reads the body as JSON.
    ///
    /// # Errors
    ///
    /// Returns an error when the body isn't what is expected.
    pub fn decode<T: DeserializeOwned>(&self) -> Result<T, StoreError> {
        serde_json::from_slice(&self.body).map_err(|error| StoreError::Malformed(error.to_string()))
    }
}

#[derive(Clone, Debug)]
struct PooledClient {
    client: Client,
    generation: u64,
}

/// A pool of connections to one address, replaced whole after a timeout.
///
/// A connection that has gone silent for good looks like a slow one. The next call after a
/// timeout therefore uses a fresh connection, and calls that wait on old ones keep their own
/// deadlines.
#[derive(Clone, Debug)]
pub struct HttpPool {
    address: SocketAddr,
    client: Arc<watch::Sender<PooledClient>>,
    counters: StoreCounters,
    kind: &'static str,
    timeout: Duration,
}

impl HttpPool {
    /// Creates a pool whose bytes count as control traffic of `kind`.
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
            client: build_client(timeout).map_err(|error| StoreError::NotSent(describe(&error)))?,
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

    /// Returns the counters of the pool's calls.
    #[must_use]
    pub fn counters(&self) -> &StoreCounters {
        &self.counters
    }

    /// Returns the URL of a path.
    #[must_use]
    pub fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    /// Sends a request; `wait` is how long the platform may take on purpose.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::NotSent`] only when provably nothing was sent, and
    /// [`StoreError::NoAnswer`] otherwise.
    pub async fn send(
        &self,
        wait: Duration,
        request: impl FnOnce(&Client) -> RequestBuilder,
    ) -> Result<HttpAnswer, StoreError> {
        let pooled = self.client.borrow().clone();
        let request = request(&pooled.client)
            .timeout(wait.saturating_add(self.timeout))
            .build()
            .map_err(|error| StoreError::NotSent(describe(&error)))?;
        let sent = request_len(&request);
        let result = exchange(&pooled.client, request).await;
        let received = result.as_ref().map_or(0, |answer| answer.body.len());
        self.counters.bytes.add_exchange(self.kind, sent, received);
        match result {
            Ok(answer) => Ok(answer),
            Err(error) if error.is_connect() => Err(StoreError::NotSent(describe(&error))),
            Err(error) => {
                if error.is_timeout() {
                    self.replace_client(pooled.generation);
                }
                Err(StoreError::NoAnswer(describe(&error)))
            }
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

async fn exchange(client: &Client, request: reqwest::Request) -> reqwest::Result<HttpAnswer> {
    let response = client.execute(request).await?;
    let status = response.status();
    let tag = response.headers().get(ETAG);
    let tag = tag.and_then(|tag| tag.to_str().ok()).map(str::to_owned);
    let body = response.bytes().await?;
    Ok(HttpAnswer { body, status, tag })
}

/// Builds a client whose connect timeout ends before the whole call's.
///
/// Otherwise a connection that can't be opened would look like a request that was sent.
fn build_client(timeout: Duration) -> reqwest::Result<Client> {
    Client::builder()
        .connect_timeout(timeout / 2)
        .http1_only()
        .no_proxy()
        .pool_idle_timeout(IDLE_TIMEOUT)
        .redirect(Policy::none())
        .retry(retry::never())
        .tcp_keepalive(PROBE_IDLE)
        .tcp_keepalive_interval(PROBE_IDLE)
        .tcp_keepalive_retries(PROBES_MAX)
        .build()
}

fn describe(error: &reqwest::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
