//! Questions to daemons' operators' listeners.

use {
    crate::{CommandError, CommandOptions},
    reqwest::{Client, StatusCode, redirect::Policy, retry},
    serde::de::DeserializeOwned,
    std::{error::Error, fmt::Write, net::SocketAddr, time::Duration},
    tokio::task::JoinSet,
};

/// What one daemon answered.
#[derive(Clone, Debug)]
pub(crate) struct DaemonAnswer<T> {
    pub(crate) address: SocketAddr,
    /// The answer, `None` when the daemon has nothing under that path, or why there is none.
    pub(crate) outcome: Result<Option<T>, String>,
}

/// Asks daemons with the operators' token.
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

    /// Asks all daemons at once and returns their answers in the order of `addresses`.
    pub(crate) async fn ask<T>(&self, addresses: &[SocketAddr], path: &str) -> Vec<DaemonAnswer<T>>
    where
        T: DeserializeOwned + Send + 'static,
    {
        let mut questions = JoinSet::new();
        for (position, address) in addresses.iter().copied().enumerate() {
            let request = self
                .client
                .get(format!("http://{address}{path}"))
                .bearer_auth(&self.token);
            questions.spawn(async move {
                let outcome = ask_one(request).await;
                (position, DaemonAnswer { address, outcome })
            });
        }
        let mut answers = questions.join_all().await;
        answers.sort_by_key(|(position, _)| *position);
        answers.into_iter().map(|(_, answer)| answer).collect()
    }
}

async fn ask_one<T: DeserializeOwned>(
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
