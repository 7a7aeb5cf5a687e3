//! Hook through which a load restarts engines.

/// Restarts engines while a load runs.
pub trait EngineChurn: Send {
    /// Restarts one engine; `number` counts the restarts from 0.
    fn restart(&mut self, number: usize) -> impl Future<Output = ()> + Send;
}

/// Implementation that restarts no engine.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoChurn;

impl EngineChurn for NoChurn {
    async fn restart(&mut self, _number: usize) {}
}
