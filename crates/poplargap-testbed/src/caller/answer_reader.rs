//! Reads HTTP responses to calls and determines their verdicts.

use {
    super::{
        CallVerdict, ChatOutcome, RanState, RefusalRecord,
        answer_check::{AnswerCheck, CheckStep},
        call_header,
        event_reader::EventReader,
    },
    crate::{
        engine::{AnswerScript, ChatCompletion},
        fault::{NOT_RUN, RAN_HEADER},
    },
    reqwest::Response,
    std::time::{Duration, Instant},
};

/// Code of a refusal by an upstream, which has no problem document.
const UPSTREAM_CODE: &str = "upstream";

/// Reads the answer to one chat request, checks it and records its times.
#[derive(Debug)]
pub(super) struct AnswerReader<'a> {
    check: AnswerCheck<'a>,
    last_token_at: Option<Instant>,
    request_id: &'a str,
    sent_at: Instant,
    time_to_first_token: Option<Duration>,
    token_gaps: Vec<Duration>,
}

impl<'a> AnswerReader<'a> {
    pub(super) fn new(request_id: &'a str, script: AnswerScript) -> Self {
        Self {
            check: AnswerCheck::new(request_id, script),
            last_token_at: None,
            request_id,
            sent_at: Instant::now(),
            time_to_first_token: None,
            token_gaps: Vec::new(),
        }
    }

    pub(super) fn into_outcome(self, request_id: &str, verdict: CallVerdict) -> ChatOutcome {
        ChatOutcome {
            request_id: request_id.to_owned(),
            text: self.check.text,
            time_to_first_token: self.time_to_first_token,
            token_gaps: self.token_gaps,
            usage: self.check.usage,
            verdict,
        }
    }

    fn record_token(&mut self) {
        let now = Instant::now();
        match self.last_token_at.replace(now) {
            Some(last) => self.token_gaps.push(now - last),
            None => self.time_to_first_token = Some(now - self.sent_at),
        }
    }

    /// Reads an answer to its end and checks it; `stream` is whether it is streamed.
    pub(super) async fn read(&mut self, response: Response, stream: bool) -> CallVerdict {
        if !response.status().is_success() {
            return read_refusal(response).await;
        }
        if let Some(verdict) = check_echoed_id(&response, self.request_id) {
            return verdict;
        }
        if stream {
            return self.read_stream(response).await;
        }
        match response.json::<ChatCompletion>().await {
            Ok(completion) => {
                self.record_token();
                self.check.check_completion(&completion)
            }
            Err(error) => CallVerdict::broken(error_text(&error)),
        }
    }

    async fn read_stream(&mut self, mut response: Response) -> CallVerdict {
        let mut reader = EventReader::default();
        loop {
            let bytes = match response.chunk().await {
                Ok(Some(bytes)) => bytes,
                Ok(None) => return CallVerdict::broken("the stream ended without its final event"),
                Err(error) => return CallVerdict::broken(error_text(&error)),
            };
            for event in reader.push(&bytes) {
                match self.check.check_event(&event) {
                    CheckStep::Ended(verdict) => {
                        // The connection can only be reused once the body has been read to its end.
                        while let Ok(Some(_)) = response.chunk().await {}
                        return verdict;
                    }
                    CheckStep::Other => {}
                    CheckStep::Token => self.record_token(),
                }
            }
        }
    }

    /// Returns the text received so far.
    pub(super) fn text(&self) -> &str {
        &self.check.text
    }
}

/// Returns a verdict when the response's `x-request-id` header names another request.
pub(super) fn check_echoed_id(response: &Response, request_id: &str) -> Option<CallVerdict> {
    let echo = response.headers().get(call_header::REQUEST_ID)?;
    (echo != request_id)
        .then(|| CallVerdict::foreign(format!("the answer's header names request {echo:?}")))
}

/// Returns the verdict on a call that failed before a response began.
pub(super) fn verdict_of_error(error: &reqwest::Error) -> CallVerdict {
    let detail = error_text(error);
    if error.is_connect() {
        CallVerdict::Unreachable { detail }
    } else {
        CallVerdict::Broken { detail }
    }
}

/// Formats the HTTP library's error together with its causes.
pub(super) fn error_text(error: &reqwest::Error) -> String {
    let mut text = error.to_string();
    let mut source = std::error::Error::source(error);
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}

/// Reads a response with an error status.
///
/// A response without a problem document is a refusal only if its header says that nothing ran.
pub(super) async fn read_refusal(response: Response) -> CallVerdict {
    let status = response.status().as_u16();
    let not_run = response
        .headers()
        .get(RAN_HEADER)
        .is_some_and(|value| value == NOT_RUN);
    let body = match response.bytes().await {
        Ok(body) => body,
        Err(error) => return CallVerdict::broken(error_text(&error)),
    };
    if let Ok(refusal) = serde_json::from_slice::<RefusalRecord>(&body) {
        return CallVerdict::Refused(refusal);
    }
    if !not_run {
        return CallVerdict::broken(format!("status {status} without a problem document"));
    }
    CallVerdict::Refused(RefusalRecord {
        code: UPSTREAM_CODE.to_owned(),
        detail: String::from_utf8_lossy(&body).into_owned(),
        kind: String::new(),
        ran: RanState::NotRun,
        status,
        title: String::new(),
    })
}
