//! A running desk stand-in.

use {
    super::{
        DeskLedger, DeskSettings, DeskTaskError,
        desk_routes::{DeskContext, desk_routes},
        desk_task::{self, DeskMessage},
    },
    crate::fault::{BoundGate, ConnectionGate, FaultSettings, fault_routes},
    std::{io, net::SocketAddr},
    tokio::{sync::mpsc, task::JoinHandle},
    warp::Filter,
};

/// A plain HTTP service that executes every call it receives until it is closed.
#[derive(Debug)]
pub struct DeskStandIn {
    context: DeskContext,
    gate: ConnectionGate,
    task: JoinHandle<()>,
}

impl DeskStandIn {
    /// Binds both addresses and starts a desk.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system when an address can't be bound.
    pub async fn start(settings: DeskSettings) -> io::Result<Self> {
        let gate = BoundGate::bind(settings.listen, settings.control_listen).await?;
        let (messages, message_rx) = mpsc::unbounded_channel();
        let context = DeskContext {
            faults: gate.faults(),
            messages,
            service_time: settings.service_time,
        };
        let task = tokio::spawn(desk_task::run(message_rx));
        let routes = fault_routes(gate.commands())
            .or(desk_routes(context.clone()))
            .unify();
        let gate = gate.serve(routes)?;
        Ok(Self {
            context,
            gate,
            task,
        })
    }

    /// Returns the bound address for calls.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.gate.address()
    }

    /// Closes the desk immediately and returns the calls that it executed.
    ///
    /// # Panics
    ///
    /// Panics when the desk's task has already ended.
    pub async fn close(self) -> DeskLedger {
        self.gate.close().await;
        let ledger = self.context.ask(|reply| DeskMessage::Ledger { reply });
        let ledger = ledger.await.expect("the desk's task is running");
        self.task.abort();
        // The result is the cancellation that `abort` caused.
        let _aborted = self.task.await;
        ledger
    }

    /// Returns the bound address that isn't affected by connection faults.
    #[must_use]
    pub fn control_address(&self) -> SocketAddr {
        self.gate.control_address()
    }

    /// Returns the calls executed so far.
    ///
    /// # Errors
    ///
    /// Returns an error when the desk's task has ended.
    pub async fn ledger(&self) -> Result<DeskLedger, DeskTaskError> {
        self.context
            .ask(|reply| DeskMessage::Ledger { reply })
            .await
    }

    /// Replaces the active faults with `settings`.
    pub async fn set_faults(&self, settings: FaultSettings) {
        self.gate.set_faults(settings).await;
    }
}
