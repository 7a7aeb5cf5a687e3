//! The served listeners of a daemon.

use {
    super::{
        StartError,
        daemon_base::{DaemonBase, DaemonStore},
        daemon_listeners::{ServedListeners, bind_error},
    },
    crate::{
        feed::CatalogueReader,
        limits::LoanClient,
        operators::OperatorServer,
        pipeline::{CallerServer, RequestContext},
        relay::{RelayServer, RelaySettings},
        rpc_server::{RpcServer, RpcSources},
    },
    poplargap_core::settings::DaemonSettings,
    std::{sync::Arc, time::Duration},
};

/// Time for idle connections to end after the last request.
const IDLE_GRACE: Duration = Duration::from_millis(200);

/// The servers for callers, operators, requests between daemons and RPC.
#[derive(Debug)]
pub(super) struct DaemonServers {
    callers: CallerServer,
    operators: OperatorServer,
    relay: RelayServer,
    rpc: RpcServer,
}

impl DaemonServers {
    /// Starts serving all listeners, that for callers last.
    pub(super) fn start(
        settings: &DaemonSettings,
        base: &DaemonBase,
        listeners: ServedListeners,
        context: &Arc<RequestContext<DaemonStore>>,
        catalogue: CatalogueReader,
        loan_client: LoanClient,
    ) -> Result<Self, StartError> {
        let proof = base.key.rpc_proof();
        let sources = RpcSources {
            catalogue,
            loan_client,
            limits: context.limits.clone(),
            members: context.members.clone(),
            metrics: Arc::clone(&base.metrics),
            proof: proof.clone(),
        };
        let rpc = RpcServer::start(sources, listeners.rpc)
            .map_err(|source| bind_error("peers", settings.daemon.peers, source))?;
        let relay_settings = RelaySettings {
            body_max: settings.limits.body_max.bytes(),
            metrics: Arc::clone(&base.metrics),
            proof,
            task: context.task.clone(),
        };
        let relay = RelayServer::start(relay_settings, listeners.relay);
        let token = settings.operators.token.clone();
        let operators = OperatorServer::start(Arc::clone(context), token, listeners.operators);
        let callers = CallerServer::start(Arc::clone(context), listeners.callers);
        Ok(Self {
            callers,
            operators,
            relay,
            rpc,
        })
    }

    /// Ends all servers; idle connections are dropped after a short time.
    pub(super) async fn close(self) {
        self.callers.close(IDLE_GRACE).await;
        self.relay.close(IDLE_GRACE).await;
        self.rpc.close();
        self.operators.close(IDLE_GRACE).await;
    }
}
