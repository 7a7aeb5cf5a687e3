//! Bounds the requests that one daemon holds at once.

use {
    super::{PathProblem, ProblemCode},
    std::sync::Arc,
    tokio::sync::{OwnedSemaphorePermit, Semaphore},
};

/// Lets requests in up to a bound, and none once the daemon closes.
#[derive(Clone, Debug)]
pub struct AdmitGate {
    callers_max: usize,
    semaphore: Arc<Semaphore>,
}

/// Counts one request until it is dropped.
#[derive(Debug)]
pub struct AdmitPass(OwnedSemaphorePermit);

impl AdmitPass {
    /// Ends the request.
    pub fn close(self) {
        drop(self.0);
    }
}

impl AdmitGate {
    /// Creates a gate for `callers_max` requests at once.
    #[must_use]
    pub fn new(callers_max: usize) -> Self {
        let semaphore = Arc::new(Semaphore::new(callers_max));
        Self {
            callers_max,
            semaphore,
        }
    }

    /// Lets one request in.
    ///
    /// # Errors
    ///
    /// Returns a refusal when the daemon holds its most requests or closes.
    pub fn enter(&self) -> Result<AdmitPass, PathProblem> {
        let permit = Arc::clone(&self.semaphore).try_acquire_owned();
        permit.map(AdmitPass).map_err(|error| match error {
            tokio::sync::TryAcquireError::Closed => {
                PathProblem::not_run(ProblemCode::NotReady, "the daemon is closing")
            }
            tokio::sync::TryAcquireError::NoPermits => {
                let detail = format!("the daemon holds {} requests already", self.callers_max);
                PathProblem::not_run(ProblemCode::QueueFull, detail)
            }
        })
    }

    /// Returns the requests that are inside.
    #[must_use]
    pub fn inside(&self) -> usize {
        self.callers_max - self.semaphore.available_permits()
    }

    /// Lets no more requests in.
    pub fn shut(&self) {
        self.semaphore.close();
    }
}
