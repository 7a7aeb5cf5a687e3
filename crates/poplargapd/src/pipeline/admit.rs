//! Admits requests under the daemon's own bound, then under the limits of their classes.

use {
    super::{Identity, ProblemCode, RequestContext, RequestProblem},
    crate::limits::{AdmitRequest, LimitPass, LimitRefusal},
    poplargap_core::catalogue::LimitSet,
    std::sync::Arc,
    tokio::sync::{OwnedSemaphorePermit, Semaphore, oneshot},
};

/// Admits requests up to a bound, and none once it is closed.
#[derive(Clone, Debug)]
pub struct AdmitGate {
    callers_max: usize,
    semaphore: Arc<Semaphore>,
}

/// Counts one admitted request until it is dropped.
#[derive(Debug)]
pub struct AdmitPass(OwnedSemaphorePermit);

impl AdmitPass {
    /// Ends the request.
    pub fn close(self) {
        drop(self.0);
    }
}

impl AdmitGate {
    /// Creates a gate that admits up to `callers_max` requests at once.
    #[must_use]
    pub fn new(callers_max: usize) -> Self {
        let semaphore = Arc::new(Semaphore::new(callers_max));
        Self {
            callers_max,
            semaphore,
        }
    }

    /// Admits one request.
    ///
    /// # Errors
    ///
    /// Returns a problem when the bound is reached or the gate is closed.
    pub fn admit(&self) -> Result<AdmitPass, RequestProblem> {
        let permit = Arc::clone(&self.semaphore).try_acquire_owned();
        permit.map(AdmitPass).map_err(|error| match error {
            tokio::sync::TryAcquireError::Closed => {
                RequestProblem::not_run(ProblemCode::NotReady, "the daemon is closing")
            }
            tokio::sync::TryAcquireError::NoPermits => {
                let detail = format!("the daemon holds {} requests already", self.callers_max);
                RequestProblem::not_run(ProblemCode::QueueFull, detail)
            }
        })
    }

    /// Returns the number of admitted requests that have not ended.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.callers_max - self.semaphore.available_permits()
    }

    /// Admits no more requests.
    pub fn close(&self) {
        self.semaphore.close();
    }
}

impl<S> RequestContext<S> {
    /// Admits a request of at most `tokens` tokens under its class's limits.
    ///
    /// Returns `None` for a class without limits.
    pub(super) async fn admit_class(
        &self,
        identity: &Identity,
        tokens: u64,
    ) -> Result<Option<LimitPass>, RequestProblem> {
        if identity.class.limits == LimitSet::default() {
            return Ok(None);
        }
        let (reply, answer) = oneshot::channel();
        let class = Arc::clone(&identity.class);
        let message = AdmitRequest {
            class,
            deadline: identity.deadline,
            reply,
            tokens,
        };
        let closing = || RequestProblem::not_run(ProblemCode::NotReady, "the daemon is closing");
        self.limits
            .send(message)
            .await
            .map_err(|_closed| closing())?;
        let result = answer.await.map_err(|_closed| closing())?;
        result.map(Some).map_err(|refusal| {
            let mut problem =
                RequestProblem::not_run(ProblemCode::LimitReached, refusal.to_string());
            if let LimitRefusal::Reached { retry_after } = refusal {
                problem.retry_after = Some(retry_after);
            }
            problem
        })
    }
}
