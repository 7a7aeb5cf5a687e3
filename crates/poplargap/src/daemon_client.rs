//! HTTP client of the daemons' listeners for operators.

use {
    crate::{CommandError, CommandOptions},
    reqwest::{Client, StatusCode, redirect::Policy, retry},
    serde::de::DeserializeOwned,
    std::{error::Error, fmt::Write, net::SocketAddr, time::Duration},
    tokio::task::JoinSet,
};

/// Answer of one daemon.
#[derive(Clone, Debug)]
pub(crate) struct DaemonAnswer<T> {
    pub(crate) address: SocketAddr,
    /// The answer, `None` when the daemon doesn't know the path, or why there is no answer.
    pub(crate) outcome: Result<Option<T>, String>,
}

/// Sends requests to daemons with the operators' token.
pub(crate) struct DaemonClient {
    client: Client,
    token: String,
}

impl DaemonClient {
    pub(crate) fn new(options: &CommandOptions) -> Result<Self, CommandError> {
        let client = build(options.timeout)
            .map_err(|error| CommandError::ClientUnusable(describe(&error)))?;
        let token = options.operator_token()?.to_owned();
        Ok(Self { client, token })
    }

    /// Gets `path` from all daemons concurrently; returns their answers in the order of `addresses`.
    pub(crate) async fn get_all<T>(
        &self,
        addresses: &[SocketAddr],
        path: &str,
    ) -> Vec<DaemonAnswer<T>>
    where
        T: DeserializeOwned + Send + 'static,
    {
        let mut requests = JoinSet::new();
        for (position, address) in addresses.iter().copied().enumerate() {
            let request = self
                .client
                .get(format!("http://{address}{path}"))
                .bearer_auth(&self.token);
            requests.spawn(async move {
                let outcome = get_one(request).await;
                (position, DaemonAnswer { address, outcome })
            });
        }
        let mut answers = requests.join_all().await;
        answers.sort_by_key(|(position, _)| *position);
        answers.into_iter().map(|(_, answer)| answer).collect()
    }
}

async fn get_one<T: DeserializeOwned>(
    request: reqwest::RequestBuilder,
) -> Result<Option<T>, String> {
    let response = request.send().await.map_err(|error| describe(&error))?;
    match response.status() {
        StatusCode::NOT_FOUND => Ok(None),
        StatusCode::UNAUTHORIZED => Err("the daemon refuses the operators' token".to_owned()),
        status if status.is_success() => response
            .json()
            .await
            .map(Some)
            .map_err(|error| describe(&error)),
        status => Err(format!(
            "the daemon answered with status {}",
            status.as_u16()
        )),
    }
}

fn build(timeout: Duration) -> reqwest::Result<Client> {
    Client::builder()
        .no_proxy()
        .redirect(Policy::none())
        .retry(retry::never())
        .timeout(timeout)
        .build()
}

fn describe(error: &reqwest::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        write!(text, ": {cause}").expect("writing to a string can't fail");
        source = cause.source();
    }
    text
}
