//! Remote procedure calls between daemons.

use {
    crate::proof::FleetProof,
    jsonrpsee::{proc_macros::rpc, types::ErrorObjectOwned},
    poplargap_core::{
        limit::{LoanReply, LoanRequest},
        shard::ShardId,
    },
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Maximum size in bytes of the values in one page of a catalogue delta.
pub const DELTA_LEN_MAX: usize = 512 * 1024;

/// Estimated size in bytes of the JSON of a call without long arguments, or of a short answer.
pub const RPC_REQUEST_LEN: usize = 160;

/// Size in bytes of the JSON of a bucket without its key and value.
const BUCKET_FRAME_LEN: usize = 40;

/// Error code for a call without a valid proof of the fleet.
pub const CODE_PROOF: i32 = -32001;

/// Error code of a loan request for a class that another daemon lends.
pub const CODE_NOT_LENDER: i32 = -32002;

/// One bucket of the catalogue, as it is stored.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct CatalogueBucket {
    /// The bucket's key in the store.
    pub key: String,
    /// Revision of the bucket's last change.
    pub revision: u64,
    /// The bucket's value.
    pub value: String,
}

/// One page of the buckets that changed after a revision.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct CatalogueDelta {
    /// Changed buckets, sorted by key.
    pub buckets: Vec<CatalogueBucket>,
    /// Key to continue after, or `None` on the last page.
    pub next: Option<String>,
    /// Revision of the catalogue in force at the answering daemon.
    pub revision: u64,
}

impl CatalogueDelta {
    /// Returns the estimated size in bytes of the answer with the delta.
    #[must_use]
    pub fn wire_len(&self) -> usize {
        let escaped = |text: &str| text.bytes().filter(|byte| b"\"\\".contains(byte)).count();
        let len = |bucket: &CatalogueBucket| {
            let value = bucket.value.len() + escaped(&bucket.value);
            BUCKET_FRAME_LEN + bucket.key.len() + value
        };
        RPC_REQUEST_LEN + self.buckets.iter().map(len).sum::<usize>()
    }
}

/// Where the owner of a shard accepts relayed requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct OwnerReply {
    /// The owner's relay listener, or `None` when no daemon of the data centre is ready.
    pub relay: Option<SocketAddr>,
}

/// Calls that every daemon accepts from the daemons of its fleet.
#[rpc(client, server, namespace = "fleet")]
pub trait FleetRpc {
    /// Returns one page of the buckets that changed after `revision`, with keys above `after`.
    #[method(name = "catalogue_since")]
    async fn catalogue_since(
        &self,
        proof: FleetProof,
        revision: u64,
        after: Option<String>,
    ) -> Result<CatalogueDelta, ErrorObjectOwned>;

    /// Returns the owner of a shard in the daemon's own data centre.
    #[method(name = "home_of")]
    async fn owner_of(
        &self,
        proof: FleetProof,
        shard: ShardId,
    ) -> Result<OwnerReply, ErrorObjectOwned>;

    /// Asks the lender of a class for a loan.
    ///
    /// `far` marks a request from another data centre; a daemon that isn't the class's lender
    /// forwards it to the lender.
    #[method(name = "lend")]
    async fn lend(
        &self,
        proof: FleetProof,
        request: LoanRequest,
        far: bool,
    ) -> Result<LoanReply, ErrorObjectOwned>;
}
