//! RPC server for other daemons.

use {
    crate::{
        feed::CatalogueReader,
        limits::{AnswerLoan, LimitActor, LoanClient},
        members::MemberView,
        metrics::DaemonMetrics,
    },
    jsonrpsee::{
        core::async_trait,
        server::{ServerBuilder, ServerConfig, ServerHandle},
        types::ErrorObjectOwned,
    },
    poplargap_core::{
        limit::{LoanReply, LoanRequest},
        shard::ShardId,
    },
    poplargap_link::{
        proof::FleetProof,
        rpc::{
            CODE_NOT_LENDER, CODE_PROOF, CatalogueDelta, FleetRpcServer, OwnerReply,
            RPC_REQUEST_LEN,
        },
    },
    std::{io, net::TcpListener as StdListener, sync::Arc},
    tokio::{net::TcpListener, sync::watch},
    xtra::Address,
};

const CONNECTIONS_MAX: u32 = 1_024;
const REQUEST_BYTES_MAX: u32 = 64 * 1024;

/// Sources of the answers to RPC calls.
#[derive(Clone, Debug)]
pub struct RpcSources {
    /// The catalogue in force.
    pub catalogue: CatalogueReader,
    /// Finds lenders of classes and forwards loan requests.
    pub loan_client: LoanClient,
    /// Lends shares of limits.
    pub limits: Address<LimitActor>,
    /// The members of the own data centre.
    pub members: watch::Receiver<Arc<MemberView>>,
    /// The daemon's metrics.
    pub metrics: Arc<DaemonMetrics>,
    /// The proof that calls must carry.
    pub proof: FleetProof,
}

/// The running RPC listener.
#[derive(Debug)]
pub struct RpcServer(ServerHandle);

impl RpcServer {
    /// Starts answering on `listener`.
    ///
    /// # Errors
    ///
    /// Returns an error when the listener can't be used.
    pub fn start(sources: RpcSources, listener: TcpListener) -> io::Result<Self> {
        let config = ServerConfig::builder()
            .http_only()
            .max_connections(CONNECTIONS_MAX)
            .max_request_body_size(REQUEST_BYTES_MAX)
            .build();
        let listener: StdListener = listener.into_std()?;
        let server = ServerBuilder::with_config(config).build_from_tcp(listener)?;
        Ok(Self(server.start(sources.into_rpc())))
    }

    /// Stops answering.
    pub fn close(self) {
        // The only error is that the server has stopped already.
        let stopped = self.0.stop();
        debug_assert!(stopped.is_ok(), "the server is stopped once");
    }
}

impl RpcSources {
    fn check(&self, proof: &FleetProof) -> Result<(), ErrorObjectOwned> {
        if self.proof.matches(proof.as_str()) {
            return Ok(());
        }
        self.metrics.peers_refused.with_label_values(&["rpc"]).inc();
        Err(ErrorObjectOwned::owned(
            CODE_PROOF,
            "the call carries no proof of the fleet",
            None::<()>,
        ))
    }
}

#[async_trait]
impl FleetRpcServer for RpcSources {
    async fn catalogue_since(
        &self,
        proof: FleetProof,
        revision: u64,
        after: Option<String>,
    ) -> Result<CatalogueDelta, ErrorObjectOwned> {
        self.check(&proof)?;
        let delta = self.catalogue.since(revision, after.as_deref());
        let received = RPC_REQUEST_LEN + after.as_ref().map_or(0, String::len);
        self.metrics
            .control
            .add_exchange("catalogue", delta.wire_len(), received);
        Ok(delta)
    }

    async fn lend(
        &self,
        proof: FleetProof,
        request: LoanRequest,
        far: bool,
    ) -> Result<LoanReply, ErrorObjectOwned> {
        self.check(&proof)?;
        self.metrics
            .control
            .add_exchange("limits", RPC_REQUEST_LEN, RPC_REQUEST_LEN);
        let reply = if far && !self.loan_client.is_lender_of(&request.class) {
            self.loan_client.forward(request).await
        } else {
            self.limits.send(AnswerLoan(request)).await.ok().flatten()
        };
        reply.ok_or_else(|| {
            ErrorObjectOwned::owned(
                CODE_NOT_LENDER,
                "the daemon isn't the class's home",
                None::<()>,
            )
        })
    }

    async fn owner_of(
        &self,
        proof: FleetProof,
        shard: ShardId,
    ) -> Result<OwnerReply, ErrorObjectOwned> {
        self.check(&proof)?;
        let members = self.members.borrow();
        let relay = members.owner_of(&shard).map(|member| member.relay);
        self.metrics
            .control
            .add_exchange("home", RPC_REQUEST_LEN, RPC_REQUEST_LEN);
        Ok(OwnerReply { relay })
    }
}
