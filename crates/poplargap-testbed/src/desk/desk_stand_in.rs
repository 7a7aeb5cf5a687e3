//! A running desk stand-in.

use {
    super::{
        DeskGone, DeskLedger, DeskSettings,
        desk_routes::{DeskContext, desk_routes},
        desk_task::{self, DeskMessage},
    },
    crate::fault::{BoundGate, ConnectionGate, FaultSettings, fault_routes},
    std::{io, net::SocketAddr},
    tokio::{sync::mpsc, task::JoinHandle},
    warp::Filter,
};

/// A plain service that serves over HTTP until it is closed; it runs each call it gets.
#[derive(Debug)]
pub struct DeskStandIn {
    context: DeskContext,
    gate: ConnectionGate,
    task: JoinHandle<()>,
}

impl DeskStandIn {
    /// Starts a desk.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system when the address can't be bound.
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

    /// Returns the address for work.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.gate.address()
    }

    /// Closes the desk at once and returns all that ran.
    ///
    /// # Panics
    ///
    /// Panics when a task of the desk ended before its time.
    pub async fn close(self) -> DeskLedger {
        self.gate.close().await;
        let ledger = self.context.ask(|reply| DeskMessage::Ledger { reply });
        let ledger = ledger.await.expect("the desk's task runs until now");
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
    /// Returns an error when the desk's task is gone.
    pub async fn ledger(&self) -> Result<DeskLedger, DeskGone> {
        self.context
            .ask(|reply| DeskMessage::Ledger { reply })
            .await
    }

    /// Switches faults on and off.
    pub async fn set_faults(&self, settings: FaultSettings) {
        self.gate.set_faults(settings).await;
    }
}
