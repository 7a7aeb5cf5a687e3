//! RPC clients of other daemons, kept by address.

use {
    jsonrpsee::{
        core::ClientError,
        http_client::{HttpClient, HttpClientBuilder},
    },
    poplargap_core::{
        collections::{HashMap, HashMapExt},
        limit::{LoanReply, LoanRequest},
        shard::ShardId,
    },
    poplargap_link::{
        proof::FleetProof,
        rpc::{CatalogueDelta, FleetRpcClient, RPC_REQUEST_LEN},
    },
    poplargap_store::ControlBytes,
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
};

const RPC_TIMEOUT: Duration = Duration::from_secs(1);

/// Clients of other daemons; cheap to clone.
#[derive(Clone, Debug)]
pub struct PeerClients {
    clients: Arc<Mutex<HashMap<SocketAddr, HttpClient>>>,
    control: ControlBytes,
    proof: FleetProof,
}

impl PeerClients {
    /// Creates clients without connections.
    #[must_use]
    pub fn new(proof: FleetProof, control: ControlBytes) -> Self {
        let clients = Arc::new(Mutex::new(HashMap::new()));
        Self {
            clients,
            control,
            proof,
        }
    }

    /// Requests buckets that changed after `revision` from a peer; `None` when it doesn't answer.
    pub async fn catalogue_since(
        &self,
        peer: SocketAddr,
        revision: u64,
        after: Option<String>,
    ) -> Option<CatalogueDelta> {
        let client = self.client(peer)?;
        let sent = RPC_REQUEST_LEN + after.as_ref().map_or(0, String::len);
        let result = client
            .catalogue_since(self.proof.clone(), revision, after)
            .await;
        let received = result.as_ref().map_or(0, CatalogueDelta::wire_len);
        self.control.add_exchange("catalogue", sent, received);
        self.drop_unless(peer, result.is_ok());
        result.ok()
    }

    /// Requests the relay address of a shard's owner from a daemon in the shard's data centre.
    ///
    /// Returns `None` when the daemon doesn't answer or knows no owner.
    pub async fn owner_of(&self, peer: SocketAddr, shard: &ShardId) -> Option<SocketAddr> {
        let client = self.client(peer)?;
        let result = client.owner_of(self.proof.clone(), shard.clone()).await;
        self.control
            .add_exchange("home", RPC_REQUEST_LEN, RPC_REQUEST_LEN);
        self.drop_unless(peer, result.is_ok());
        result.ok()?.relay
    }

    /// Asks the lender of a class for a loan; `None` when it doesn't answer or isn't the lender.
    pub async fn lend(
        &self,
        peer: SocketAddr,
        request: LoanRequest,
        far: bool,
    ) -> Option<LoanReply> {
        let client = self.client(peer)?;
        let result = client.lend(self.proof.clone(), request, far).await;
        self.control
            .add_exchange("limits", RPC_REQUEST_LEN, RPC_REQUEST_LEN);
        self.drop_unless(peer, result.is_ok() || is_answer(&result));
        result.ok()
    }

    fn client(&self, peer: SocketAddr) -> Option<HttpClient> {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(client) = clients.get(&peer) {
            return Some(client.clone());
        }
        let client = HttpClientBuilder::default()
            .request_timeout(RPC_TIMEOUT)
            .build(format!("http://{peer}"))
            .ok()?;
        clients.insert(peer, client.clone());
        Some(client)
    }

    /// Drops a client whose call wasn't answered, since its connections may hang.
    fn drop_unless(&self, peer: SocketAddr, answered: bool) {
        if !answered {
            let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
            clients.remove(&peer);
        }
    }
}

/// Returns whether a failed call got an answer, which shows that its connection works.
fn is_answer<T>(result: &Result<T, ClientError>) -> bool {
    matches!(result, Err(ClientError::Call(_)))
}
