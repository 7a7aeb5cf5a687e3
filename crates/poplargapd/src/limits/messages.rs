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

/// Asks for a request to be admitted under its class's limits.
#[derive(Debug)]
pub struct AdmitRequest {
    /// The class.
    pub class: Arc<ClassEntry>,
    /// Until when the request may wait.
    pub deadline: MonotonicInstant,
    /// Where the decision goes.
    pub reply: oneshot::Sender<Result<LimitPass, LimitRefusal>>,
    /// Most prompt and answer tokens of the request.
    pub tokens: u64,
}

/// Tells that an admitted request has ended.
#[derive(Debug)]
pub(super) struct ReleasePermit {
    pub(super) class: ClassName,
    pub(super) permit: Permit,
    pub(super) tokens: u64,
}

/// Asks the lender of a class for a loan; answered only by the lender.
#[derive(Clone, Debug)]
pub struct AnswerLoan(pub LoanRequest);

/// Brings the reply of the class's lender, or `None` when none came.
#[derive(Debug)]
pub(super) struct LoanAnswered {
    pub(super) class: ClassName,
    pub(super) reply: Option<LoanReply>,
    pub(super) sequence: u64,
}

/// Brings the reply of the class's lender in another data centre, or `None` when none came.
#[derive(Debug)]
pub(super) struct RemoteLenderAnswered {
    pub(super) class: ClassName,
    pub(super) data_centre: DataCentre,
    pub(super) reply: Option<LoanReply>,
    pub(super) sequence: u64,
}

/// Makes the actor look at catalogue, members and time.
#[derive(Clone, Copy, Debug)]
pub struct RefreshLimits;
