//! A running engine stand-in.

use {
    super::{
        EngineSettings, LedgerRecord, PeakRecord,
        engine_context::EngineContext,
        engine_routes::engine_routes,
        engine_task::{self, EngineGone, EngineMessage},
    },
    crate::fault::{BoundGate, ConnectionGate, FaultSettings, fault_routes},
    std::{io, net::SocketAddr},
    tokio::{sync::mpsc, task::JoinHandle},
    warp::Filter,
};

/// A model engine that serves over HTTP until it is closed.
#[derive(Debug)]
pub struct EngineStandIn {
    context: EngineContext,
    gate: ConnectionGate,
    task: JoinHandle<()>,
}

impl EngineStandIn {
    /// Starts an engine.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system when the address can't be bound.
    pub async fn start(settings: EngineSettings) -> io::Result<Self> {
        let gate = BoundGate::bind(settings.listen, settings.control_listen).await?;
        let (message_tx, message_rx) = mpsc::unbounded_channel();
        let context = EngineContext::new(settings.block_tokens, gate.faults(), message_tx);
        let task = tokio::spawn(engine_task::run(settings, gate.faults(), message_rx));
        let routes = fault_routes(gate.commands())
            .or(engine_routes(context.clone()))
            .unify();
        let gate = gate.serve(routes)?;
        Ok(Self {
            context,
            gate,
            task,
        })
    }

    /// Returns the address for work.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.gate.address()
    }

    /// Closes the engine at once: connections are cut and what runs is cancelled.
    ///
    /// Returns all that ran.
    ///
    /// # Panics
    ///
    /// Panics when a task of the engine ended before its time.
    pub async fn close(self) -> LedgerRecord {
        self.gate.close().await;
        let ledger = self.context.ask(|reply| EngineMessage::Ledger { reply });
        let ledger = ledger.await.expect("the engine's task runs until now");
        self.task.abort();
        // The task was aborted: its end holds nothing of interest.
        let _aborted = self.task.await;
        ledger
    }

    /// Returns the address that serves the same paths and knows no connection faults.
    #[must_use]
    pub fn control_address(&self) -> SocketAddr {
        self.gate.control_address()
    }

    /// Returns all that ran.
    ///
    /// # Errors
    ///
    /// Returns an error when the engine's task is gone.
    pub async fn ledger(&self) -> Result<LedgerRecord, EngineGone> {
        self.context
            .ask(|reply| EngineMessage::Ledger { reply })
            .await
    }

    /// Returns the requests in flight, exactly and at once.
    ///
    /// # Errors
    ///
    /// Returns an error when the engine's task is gone.
    pub async fn peak(&self, reset: bool) -> Result<PeakRecord, EngineGone> {
        self.context
            .ask(|reply| EngineMessage::Peak { reply, reset })
            .await
    }

    /// Switches faults on and off.
    pub async fn set_faults(&self, settings: FaultSettings) {
        self.gate.set_faults(settings).await;
    }
}
