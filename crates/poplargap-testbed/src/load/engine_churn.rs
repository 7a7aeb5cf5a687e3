//! The hook by which a load restarts engines.

/// Restarts engines while a load runs.
pub trait EngineChurn: Send {
    /// Restarts one engine; `number` counts the restarts from 0.
    fn restart(&mut self, number: usize) -> impl Future<Output = ()> + Send;
}

/// Restarts nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoChurn;

impl EngineChurn for NoChurn {
    async fn restart(&mut self, _number: usize) {}
}
