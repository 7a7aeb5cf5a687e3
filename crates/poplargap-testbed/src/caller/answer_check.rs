//! Comparison of a chat's answer with the expected one.

use {
    super::{CallVerdict, event_reader::StreamEvent},
    crate::engine::{AnswerScript, ChatChunk, ChatCompletion, UsageRecord},
};

/// Name of the event that ends a stream with an error.
const ERROR_EVENT: &str = "error";

/// Data of the event that ends a complete stream.
const DONE: &str = "[DONE]";

/// Result of the check of one event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum CheckStep {
    /// The stream has ended, or the check has failed.
    Ended(CallVerdict),
    /// The event was valid and carried no token.
    Other,
    /// The event carried the next token.
    Token,
}

/// Compares an answer with the expected one, event by event or as a whole.
#[derive(Debug)]
pub(super) struct AnswerCheck<'a> {
    next_index: usize,
    pub(super) text: String,
    pub(super) usage: Option<UsageRecord>,
    request_id: &'a str,
    script: AnswerScript,
}

impl<'a> AnswerCheck<'a> {
    pub(super) fn new(request_id: &'a str, script: AnswerScript) -> Self {
        Self {
            next_index: 0,
            request_id,
            script,
            text: String::new(),
            usage: None,
        }
    }

    /// Checks the next event of a stream.
    pub(super) fn check_event(&mut self, event: &StreamEvent) -> CheckStep {
        if event.name == ERROR_EVENT {
            return CheckStep::Ended(match serde_json::from_str(&event.data) {
                Ok(refusal) => CallVerdict::Refused(refusal),
                Err(error) => CallVerdict::broken(format!("unreadable error event: {error}")),
            });
        }
        if event.data == DONE {
            return CheckStep::Ended(self.final_verdict());
        }
        match serde_json::from_str::<ChatChunk>(&event.data) {
            Ok(chunk) => self.check_chunk(&chunk),
            Err(error) => {
                CheckStep::Ended(CallVerdict::broken(format!("unreadable event: {error}")))
            }
        }
    }

    /// Checks an answer that wasn't streamed.
    pub(super) fn check_completion(&mut self, completion: &ChatCompletion) -> CallVerdict {
        if completion.id != self.request_id {
            return CallVerdict::foreign(format!("the answer names request `{}`", completion.id));
        }
        let expected = self.script.text();
        let text = completion
            .choices
            .first()
            .map(|choice| choice.message.content.as_str())
            .unwrap_or_default();
        text.clone_into(&mut self.text);
        self.usage = Some(completion.usage);
        if text == expected {
            CallVerdict::Complete
        } else if expected.starts_with(text) {
            CallVerdict::broken("the answer is incomplete")
        } else {
            CallVerdict::foreign("the answer's text is not the expected one")
        }
    }

    fn check_chunk(&mut self, chunk: &ChatChunk) -> CheckStep {
        if chunk.id != self.request_id {
            let detail = format!("an event names request `{}`", chunk.id);
            return CheckStep::Ended(CallVerdict::foreign(detail));
        }
        if let Some(usage) = chunk.usage {
            self.usage = Some(usage);
        }
        let Some(choice) = chunk.choices.first() else {
            return CheckStep::Other;
        };
        let expected_index = self.next_index;
        if chunk.index.is_some_and(|index| index != expected_index) {
            let detail = format!(
                "received event {:?} instead of {expected_index}",
                chunk.index
            );
            return CheckStep::Ended(CallVerdict::broken(detail));
        }
        if expected_index >= self.script.len() {
            return CheckStep::Ended(CallVerdict::foreign("the answer is longer than expected"));
        }
        if choice.delta.content != self.script.token(expected_index) {
            let detail = format!("the text of token {expected_index} is not the expected one");
            return CheckStep::Ended(CallVerdict::foreign(detail));
        }
        self.text.push_str(&choice.delta.content);
        self.next_index += 1;
        CheckStep::Token
    }

    fn final_verdict(&self) -> CallVerdict {
        if self.next_index == self.script.len() {
            CallVerdict::Complete
        } else {
            let (received, expected) = (self.next_index, self.script.len());
            CallVerdict::broken(format!("received {received} of {expected} tokens"))
        }
    }
}
