//! Messages to the limit actor.

use {
    super::{LimitPass, LimitRefusal},
    poplargap_core::{
        catalogue::ClassEntry,
        instant::MonotonicInstant,
        limit::{LoanReply, LoanRequest, Permit},
        name::{ClassName, DataCentre},
    },
    std::sync::Arc,
    tokio::sync::oneshot,
};

/// Requests admission of a request under its class's limits.
#[derive(Debug)]
pub struct AdmitRequest {
    /// The class.
    pub class: Arc<ClassEntry>,
    /// The latest time until which the request may wait.
    pub deadline: MonotonicInstant,
    /// Receives the decision.
    pub reply: oneshot::Sender<Result<LimitPass, LimitRefusal>>,
    /// Most prompt and answer tokens of the request.
    pub tokens: u64,
}

/// Reports the end of an admitted request and the tokens that it used.
#[derive(Debug)]
pub(super) struct ReleasePermit {
    pub(super) class: ClassName,
    pub(super) permit: Permit,
    pub(super) tokens: u64,
}

/// Asks for a loan; answered with `None` unless this daemon is the class's lender.
#[derive(Clone, Debug)]
pub struct AnswerLoan(pub LoanRequest);

/// Delivers the reply of the class's lender, or `None` when it was lost.
#[derive(Debug)]
pub(super) struct LoanAnswered {
    pub(super) class: ClassName,
    pub(super) reply: Option<LoanReply>,
    pub(super) sequence: u64,
}

/// Delivers the reply of the class's lender in another data centre, or `None` when it was lost.
#[derive(Debug)]
pub(super) struct RemoteLenderAnswered {
    pub(super) class: ClassName,
    pub(super) data_centre: DataCentre,
    pub(super) reply: Option<LoanReply>,
    pub(super) sequence: u64,
}

/// Makes the actor apply changes of the catalogue and the members, and serve loans that are due.
#[derive(Clone, Copy, Debug)]
pub struct RefreshLimits;
