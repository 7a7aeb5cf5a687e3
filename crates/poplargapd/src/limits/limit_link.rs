//! Carries loan requests to the homes of classes.

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

/// Where the home of a class is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ClassHome {
    /// This daemon.
    Local,
    /// No daemon is ready.
    None,
    /// The RPC listener of another daemon.
    Remote(SocketAddr),
}

/// Finds homes of classes and sends them loan requests; cheap to clone.
#[derive(Clone, Debug)]
pub struct LimitLink {
    members: watch::Receiver<Arc<MemberView>>,
    peers: PeerClients,
    vms: watch::Receiver<Arc<VmView>>,
}

impl LimitLink {
    /// Creates a link.
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

    /// Finds the home of a class in the own data centre.
    pub(super) fn home_of(&self, class: &ClassName) -> ClassHome {
        let members = self.members.borrow();
        match members.home_of_key(class.as_str()) {
            Some(member) if member.name == members.own.name => ClassHome::Local,
            Some(member) => ClassHome::Remote(member.peers),
            None => ClassHome::None,
        }
    }

    /// Sends a request to another daemon of the own data centre.
    pub(super) async fn ask_near(
        &self,
        home: SocketAddr,
        request: LoanRequest,
    ) -> Option<LoanReply> {
        self.peers.lend(home, request, false).await
    }

    /// Sends a request to another data centre, whose daemons pass it on to the home there.
    pub(super) async fn ask_far(
        &self,
        lender: &DataCentre,
        request: LoanRequest,
    ) -> Option<LoanReply> {
        let daemons = self
            .vms
            .borrow()
            .daemons
            .get(lender)
            .cloned()
            .unwrap_or_default();
        for daemon in daemons {
            if let Some(reply) = self.peers.lend(daemon, request.clone(), true).await {
                return Some(reply);
            }
        }
        None
    }

    /// Passes a request from another data centre on to the class's home here.
    pub(crate) async fn pass_on(&self, request: LoanRequest) -> Option<LoanReply> {
        match self.home_of(&request.class) {
            ClassHome::Remote(home) => self.ask_near(home, request).await,
            ClassHome::Local | ClassHome::None => None,
        }
    }

    /// Returns whether this daemon is the home of a class.
    pub(crate) fn is_home_of(&self, class: &ClassName) -> bool {
        self.home_of(class) == ClassHome::Local
    }
}
