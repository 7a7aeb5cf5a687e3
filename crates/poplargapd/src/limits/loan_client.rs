//! Sends loan requests to the lenders of classes.

use {
    crate::{
        feed::PeerClients,
        members::{MemberView, VmView},
    },
    poplargap_core::{
        limit::{LoanReply, LoanRequest},
        name::{ClassName, DaemonName, DataCentre},
    },
    std::{net::SocketAddr, sync::Arc},
    tokio::sync::watch,
};

/// Location of a class's lender.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ClassLender {
    /// The lender is this daemon.
    Local,
    /// There is no lender, since no daemon is ready.
    None,
    /// The lender is the daemon with this RPC listener.
    Remote(SocketAddr),
}

/// Finds lenders of classes and sends them loan requests; cheap to clone.
#[derive(Clone, Debug)]
pub struct LoanClient {
    members: watch::Receiver<Arc<MemberView>>,
    peers: PeerClients,
    vms: watch::Receiver<Arc<VmView>>,
}

impl LoanClient {
    /// Creates a client that follows these views of members and VMs.
    #[must_use]
    pub fn new(
        members: watch::Receiver<Arc<MemberView>>,
        peers: PeerClients,
        vms: watch::Receiver<Arc<VmView>>,
    ) -> Self {
        Self {
            members,
            peers,
            vms,
        }
    }

    /// Returns the ready daemons of the own data centre, by name.
    pub(super) fn ready(&self) -> Vec<DaemonName> {
        let members = self.members.borrow();
        members
            .ready
            .iter()
            .map(|member| member.name.clone())
            .collect()
    }

    /// Finds the lender of a class in the own data centre.
    pub(super) fn lender_of(&self, class: &ClassName) -> ClassLender {
        let members = self.members.borrow();
        match members.member_for_key(class.as_str()) {
            Some(member) if member.name == members.own.name => ClassLender::Local,
            Some(member) => ClassLender::Remote(member.peers),
            None => ClassLender::None,
        }
    }

    /// Sends a request to the lender at another daemon of the own data centre.
    pub(super) async fn request_from_peer(
        &self,
        lender: SocketAddr,
        request: LoanRequest,
    ) -> Option<LoanReply> {
        self.peers.lend(lender, request, false).await
    }

    /// Sends a request to another data centre, whose daemons forward it to the lender there.
    pub(super) async fn request_from_centre(
        &self,
        data_centre: &DataCentre,
        request: LoanRequest,
    ) -> Option<LoanReply> {
        let daemons = self
            .vms
            .borrow()
            .daemons
            .get(data_centre)
            .cloned()
            .unwrap_or_default();
        for daemon in daemons {
            if let Some(reply) = self.peers.lend(daemon, request.clone(), true).await {
                return Some(reply);
            }
        }
        None
    }

    /// Forwards a request from another data centre to the lender of its class at another daemon.
    pub(crate) async fn forward(&self, request: LoanRequest) -> Option<LoanReply> {
        match self.lender_of(&request.class) {
            ClassLender::Remote(lender) => self.request_from_peer(lender, request).await,
            ClassLender::Local | ClassLender::None => None,
        }
    }

    /// Returns whether this daemon is the lender of a class.
    pub(crate) fn is_lender_of(&self, class: &ClassName) -> bool {
        self.lender_of(class) == ClassLender::Local
    }
}
