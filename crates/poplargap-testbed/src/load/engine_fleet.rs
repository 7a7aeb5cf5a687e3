//! Restartable engines inside this process.

use {
    super::EngineChurn,
    crate::engine::{EngineSettings, EngineStandIn, LedgerRecord},
    std::{io, net::SocketAddr},
};

/// Engines of one pool; a restarted engine keeps its addresses and loses its cache.
#[derive(Debug)]
pub struct EngineFleet {
    addresses: Vec<SocketAddr>,
    control_addresses: Vec<SocketAddr>,
    engines: Vec<Option<EngineStandIn>>,
    past_ledgers: Vec<LedgerRecord>,
    settings: EngineSettings,
}

impl EngineFleet {
    /// Starts `count` engines on free ports.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system when an address can't be bound.
    pub async fn start(settings: EngineSettings, count: usize) -> io::Result<Self> {
        let mut fleet = Self {
            addresses: Vec::new(),
            control_addresses: Vec::new(),
            engines: Vec::new(),
            past_ledgers: Vec::new(),
            settings,
        };
        for _ in 0..count {
            let engine = EngineStandIn::start(fleet.settings.clone()).await?;
            fleet.addresses.push(engine.address());
            fleet.control_addresses.push(engine.control_address());
            fleet.engines.push(Some(engine));
        }
        Ok(fleet)
    }

    /// Returns the addresses at which the engines serve requests.
    #[must_use]
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Closes all engines and returns their ledgers; those from before a restart come first.
    pub async fn close(self) -> Vec<LedgerRecord> {
        let mut ledgers = self.past_ledgers;
        for engine in self.engines.into_iter().flatten() {
            ledgers.push(engine.close().await);
        }
        ledgers
    }

    /// Returns the control addresses, which connection faults don't affect.
    #[must_use]
    pub fn control_addresses(&self) -> &[SocketAddr] {
        &self.control_addresses
    }

    /// Returns the engine with `index`, unless a restart of it failed.
    #[must_use]
    pub fn engine(&self, index: usize) -> Option<&EngineStandIn> {
        self.engines.get(index)?.as_ref()
    }

    /// Restarts the engine with `index` on the same addresses.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system when an address can't be bound again.
    ///
    /// # Panics
    ///
    /// Panics when there is no engine with `index`.
    pub async fn restart_engine(&mut self, index: usize) -> io::Result<()> {
        if let Some(engine) = self.engines[index].take() {
            self.past_ledgers.push(engine.close().await);
        }
        let settings = EngineSettings {
            control_listen: self.control_addresses[index],
            listen: self.addresses[index],
            ..self.settings.clone()
        };
        self.engines[index] = Some(EngineStandIn::start(settings).await?);
        Ok(())
    }
}

impl EngineChurn for &mut EngineFleet {
    async fn restart(&mut self, number: usize) {
        let count = self.engines.len();
        if count == 0 {
            return;
        }
        // An engine whose port is already in use stays down, like one on a lost VM.
        let _restarted = self.restart_engine(number % count).await;
    }
}
