//! HTTP client that sends calls and checks their answers.

use {
    super::{
        CallVerdict, ChatOutcome, ChatSession, ChatTurn, ServiceCall, ServiceOutcome,
        answer_reader::{
            AnswerReader, check_echoed_id, error_text, read_refusal, verdict_of_error,
        },
        call_header,
    },
    crate::{
        desk::BookingAnswer,
        engine::{AnswerScript, ChatMessage},
    },
    displaydoc::Display,
    reqwest::{Client, RequestBuilder, Response, redirect::Policy},
    std::{
        fmt::{self, Debug, Formatter},
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Longest time to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// Error from the creation of a [`CallerClient`].
#[derive(Debug, Display)]
pub enum CallerError {
    /// the HTTP client can't be set up: {source}
    Client {
        /// The library's error.
        source: reqwest::Error,
    },
}

impl std::error::Error for CallerError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        let Self::Client { source } = self;
        Some(source)
    }
}

/// Sends chats and service calls of one workspace and checks the answers.
#[derive(Clone)]
pub struct CallerClient {
    client: Client,
    key: String,
    timeout: Duration,
}

impl Debug for CallerClient {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("CallerClient")
            .field("timeout", &self.timeout)
            .finish_non_exhaustive()
    }
}

impl CallerClient {
    /// Creates a client with a workspace's bearer key and a timeout for each complete call.
    ///
    /// # Errors
    ///
    /// Returns an error when the HTTP library can't be set up.
    pub fn new(key: impl Into<String>, timeout: Duration) -> Result<Self, CallerError> {
        let client = Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .no_proxy()
            .redirect(Policy::none())
            .retry(reqwest::retry::never())
            .build()
            .map_err(|source| CallerError::Client { source })?;
        let key = key.into();
        Ok(Self {
            client,
            key,
            timeout,
        })
    }

    /// Sends one turn of a chat to the daemon at `address` and checks the answer.
    ///
    /// The session gets the turn and its answer if the answer is complete, and the routing hint of
    /// any response.
    pub async fn chat(
        &self,
        address: SocketAddr,
        session: &mut ChatSession,
        turn: &ChatTurn,
    ) -> ChatOutcome {
        let request = session.request(turn);
        let script = AnswerScript::of_request(&request);
        let builder = self
            .client
            .post(format!("http://{address}/v1/chat/completions"))
            .header(call_header::CHAT_ID, &session.chat_id)
            .json(&request);
        let builder = self.with_headers(builder, turn.class.as_deref(), &turn.request_id);
        let builder = match turn.deadline {
            Some(deadline) => {
                builder.header(call_header::DEADLINE, deadline.as_millis().to_string())
            }
            None => builder,
        };
        let builder = match &session.route {
            Some(route) => builder.header(call_header::ROUTE, route),
            None => builder,
        };
        let mut answer = AnswerReader::new(&turn.request_id, script);
        let verdict = match builder.send().await {
            Ok(response) => {
                if let Some(route) = response.headers().get(call_header::ROUTE) {
                    session.route = Some(route.clone());
                }
                answer.read(response, turn.stream).await
            }
            Err(error) => verdict_of_error(&error),
        };
        if verdict.is_complete() {
            session.messages = request.messages;
            session.messages.push(ChatMessage::assistant(answer.text()));
        }
        answer.into_outcome(&turn.request_id, verdict)
    }

    /// Sends one service call to the daemon at `address` and checks the answer.
    pub async fn service(&self, address: SocketAddr, call: &ServiceCall) -> ServiceOutcome {
        let url = format!(
            "http://{address}/v1/services/{}/{}",
            call.service, call.path
        );
        let builder = self.client.request(call.method.clone(), url);
        let builder = self.with_headers(builder, call.class.as_deref(), &call.request_id);
        let builder = match &call.idempotency_key {
            Some(key) => builder.header(call_header::IDEMPOTENCY_KEY, key),
            None => builder,
        };
        let sent_at = Instant::now();
        let (answer, verdict) = match builder.send().await {
            Ok(response) => read_booking(response, call).await,
            Err(error) => (None, verdict_of_error(&error)),
        };
        ServiceOutcome {
            answer,
            request_id: call.request_id.clone(),
            time: sent_at.elapsed(),
            verdict,
        }
    }

    fn with_headers(
        &self,
        builder: RequestBuilder,
        class: Option<&str>,
        request_id: &str,
    ) -> RequestBuilder {
        let builder = builder
            .bearer_auth(&self.key)
            .header(call_header::REQUEST_ID, request_id)
            .timeout(self.timeout);
        match class {
            Some(class) => builder.header(call_header::CLASS, class),
            None => builder,
        }
    }
}

async fn read_booking(
    response: Response,
    call: &ServiceCall,
) -> (Option<BookingAnswer>, CallVerdict) {
    if !response.status().is_success() {
        return (None, read_refusal(response).await);
    }
    if let Some(verdict) = check_echoed_id(&response, &call.request_id) {
        return (None, verdict);
    }
    let answer = match response.json::<BookingAnswer>().await {
        Ok(answer) => answer,
        Err(error) => return (None, CallVerdict::broken(error_text(&error))),
    };
    let verdict = if answer.request_id.as_ref() != Some(&call.request_id) {
        CallVerdict::foreign(format!("the answer names request {:?}", answer.request_id))
    } else if !answer.path.ends_with(&call.path) {
        CallVerdict::foreign(format!("the answer names path `{}`", answer.path))
    } else {
        CallVerdict::Complete
    };
    (Some(answer), verdict)
}
