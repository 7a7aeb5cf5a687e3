//! Metrics, trace and passes of one request, accounted for at its end.

use {
    super::{AdmitPass, RequestContext, RequestTrace, TraceStep},
    crate::limits::LimitPass,
    poplargap_core::{answer::TokenUsage, instant::MonotonicInstant},
    std::sync::Arc,
};

/// Holds a request's passes; records its metrics and trace when dropped.
#[derive(Debug)]
pub struct RequestGuard<S> {
    accepted: MonotonicInstant,
    class: String,
    context: Arc<RequestContext<S>>,
    first_token: bool,
    limit: Option<LimitPass>,
    outcome: String,
    pass: Option<AdmitPass>,
    trace: RequestTrace,
    usage: Option<TokenUsage>,
}

impl<S> RequestGuard<S> {
    /// Starts accounting for an admitted request.
    pub fn new(
        context: Arc<RequestContext<S>>,
        accepted: MonotonicInstant,
        pass: AdmitPass,
        trace: RequestTrace,
    ) -> Self {
        context.metrics.requests_in_flight.inc();
        Self {
            accepted,
            class: "unidentified".to_owned(),
            context,
            first_token: false,
            limit: None,
            outcome: "abandoned".to_owned(),
            pass: Some(pass),
            trace,
            usage: None,
        }
    }

    /// Sets the request's class.
    pub fn set_class(&mut self, class: &str) {
        class.clone_into(&mut self.class);
        self.add_step(TraceStep::Identified {
            class: class.to_owned(),
        });
    }

    /// Holds the pass of the request's class until the request ends.
    pub fn hold_pass(&mut self, pass: Option<LimitPass>) {
        self.limit = pass;
    }

    /// Returns the class's pass unused, since nothing ran.
    pub fn release_pass(&mut self) {
        if let Some(pass) = self.limit.take() {
            pass.close(0);
        }
    }

    /// Adds a step to the request's trace.
    pub fn add_step(&mut self, step: TraceStep) {
        self.trace.note(step);
    }

    /// Records the time to the first token; later tokens change nothing.
    pub fn record_token(&mut self) {
        if !self.first_token {
            self.first_token = true;
            let seconds = self.context.clock.now().since(self.accepted).as_secs_f64();
            self.context
                .metrics
                .observe_first_token(&self.class, seconds);
        }
    }

    /// Records the answer's token counts.
    pub fn record_usage(&mut self, usage: Option<TokenUsage>) {
        self.usage = usage;
    }

    /// Ends the request with its outcome.
    pub fn close(mut self, outcome: &str) {
        outcome.clone_into(&mut self.outcome);
    }
}

impl<S> Drop for RequestGuard<S> {
    fn drop(&mut self) {
        let metrics = &self.context.metrics;
        let seconds = self.context.clock.now().since(self.accepted).as_secs_f64();
        metrics.observe_request(&self.class, &self.outcome, seconds);
        metrics.requests_in_flight.dec();
        if let Some(usage) = self.usage {
            metrics.observe_tokens(&self.class, "prompt", usage.prompt_tokens);
            metrics.observe_tokens(
                &self.class,
                "cached",
                usage.prompt_tokens_details.cached_tokens,
            );
            metrics.observe_tokens(&self.class, "completion", usage.completion_tokens);
        }
        if let (Some(pass), Some(usage)) = (self.limit.take(), self.usage) {
            pass.close(usage.prompt_tokens + usage.completion_tokens);
        }
        let outcome = std::mem::take(&mut self.outcome);
        self.trace.note(TraceStep::Settled { outcome });
        let trace = RequestTrace {
            id: self.trace.id.clone(),
            steps: std::mem::take(&mut self.trace.steps),
        };
        self.context.traces.push(trace);
        if let Some(pass) = self.pass.take() {
            pass.close();
        }
    }
}
