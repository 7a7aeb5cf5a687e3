//! The actor that admits requests under their classes' limits and lends the data centre's shares.

use {
    super::{
        class_gate::ClassGate,
        loan_client::{ClassLender, LoanClient},
        messages::{
            AdmitRequest, AnswerLoan, LoanAnswered, RefreshLimits, ReleasePermit,
            RemoteLenderAnswered,
        },
    },
    crate::clock::ProcessClock,
    poplargap_core::{
        catalogue::{CatalogueSnapshot, ClassEntry, LimitSet},
        collections::{HashMap, HashMapExt},
        instant::MonotonicInstant,
        limit::{
            Allowance, LenderTenure, LimitLender, LoanHolder, LoanReply, LoanRequest, base_share,
        },
        name::{ClassName, DaemonName, DataCentre},
    },
    std::{
        fmt::{self, Formatter},
        sync::Arc,
        time::Duration,
    },
    tokio::sync::watch,
    xtra::{
        WeakAddress,
        prelude::{Actor, Context, Handler},
    },
};

/// Inputs of the limit actor.
#[derive(Debug)]
pub struct LimitInputs {
    /// The catalogue in force.
    pub catalogue: watch::Receiver<Arc<CatalogueSnapshot>>,
    /// The daemon's clock.
    pub(crate) clock: ProcessClock,
    /// The daemon's name.
    pub daemon: DaemonName,
    /// The own data centre.
    pub data_centre: DataCentre,
    /// Start of the process, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Sends loan requests to lenders.
    pub loan_client: LoanClient,
    /// Time without heartbeats after which a peer counts as dead.
    pub suspect: Duration,
}

/// Owns the borrowers of all classes, and the lenders of the classes that this daemon lends.
pub struct LimitActor {
    gates: HashMap<ClassName, ClassGate>,
    lenders: HashMap<ClassName, LimitLender>,
    inputs: LimitInputs,
    remote_lenders_asked: MonotonicInstant,
    ready: Vec<DaemonName>,
    refreshed: MonotonicInstant,
    lending_from: MonotonicInstant,
}

impl LimitActor {
    /// Creates an actor without loans.
    #[must_use]
    pub fn new(inputs: LimitInputs) -> Self {
        let now = inputs.clock.now();
        Self {
            gates: HashMap::new(),
            lenders: HashMap::new(),
            inputs,
            remote_lenders_asked: now,
            ready: Vec::new(),
            refreshed: now,
            lending_from: now,
        }
    }

    fn holder(&self, centre: Option<DataCentre>) -> LoanHolder {
        LoanHolder {
            centre,
            daemon: self.inputs.daemon.clone(),
            incarnation: self.inputs.incarnation,
        }
    }

    /// Returns the tenure for which this daemon may act as lender.
    ///
    /// It ends half of the suspect time after the last refresh, so that a paused daemon lends nothing
    /// until it has read the members again.
    fn tenure(&self) -> LenderTenure {
        LenderTenure::new(self.refreshed + self.inputs.suspect / 2)
    }

    fn refresh(&mut self, address: &WeakAddress<Self>) {
        let now = self.inputs.clock.now();
        let paused = now.since(self.refreshed) > self.inputs.suspect;
        self.refreshed = now;
        self.update_ready(paused, now);
        let catalogue = Arc::clone(&self.inputs.catalogue.borrow_and_update());
        let loan_client = self.inputs.loan_client.clone();
        self.lenders
            .retain(|class, _| loan_client.is_lender_of(class) && is_limited(&catalogue, class));
        for (class, lender) in &mut self.lenders {
            set_share(lender, &catalogue, class, &self.inputs.data_centre);
        }
        for (class, gate) in &mut self.gates {
            let limits = catalogue.classes.get(class).map(|class| class.limits);
            gate.borrower.set_limits(limits.unwrap_or_default());
        }
        self.renew(address, now);
        if now.since(self.remote_lenders_asked) >= REMOTE_LENDERS_INTERVAL {
            self.remote_lenders_asked = now;
            let classes: Vec<ClassName> = self.lenders.keys().cloned().collect();
            for class in classes {
                self.ask_remote_lenders(&class, address, now);
            }
        }
    }

    /// Updates the ready daemons and the time from which this daemon may lend.
    fn update_ready(&mut self, paused: bool, now: MonotonicInstant) {
        let ready = self.inputs.loan_client.ready();
        if paused {
            self.lenders.clear();
        }
        if paused || ready != self.ready {
            // A former lender may have lent until its tenure ended.
            self.lending_from = now + self.inputs.suspect;
            self.ready = ready;
        }
    }

    /// Admits waiting requests, and sends loan requests that renew, lower or return loans when due.
    fn renew(&mut self, address: &WeakAddress<Self>, now: MonotonicInstant) {
        let mut requests = Vec::new();
        for gate in self.gates.values_mut() {
            let request = gate
                .serve(address, now)
                .or_else(|| gate.borrower.due_request(now));
            requests.extend(request);
        }
        for request in requests {
            self.send(request, address);
        }
    }

    /// Requests the unused shares of a class from its lenders in other data centres.
    fn ask_remote_lenders(
        &mut self,
        class: &ClassName,
        address: &WeakAddress<Self>,
        now: MonotonicInstant,
    ) {
        let Some(lender) = self.lenders.get_mut(class) else {
            return;
        };
        while let Some((data_centre, request)) = lender.ask_remote_lender(now) {
            let (loan_client, address, class) = (
                self.inputs.loan_client.clone(),
                address.clone(),
                class.clone(),
            );
            let sequence = request.sequence;
            tokio::spawn(async move {
                let reply = loan_client.request_from_centre(&data_centre, request).await;
                let message = RemoteLenderAnswered {
                    class,
                    data_centre,
                    reply,
                    sequence,
                };
                drop(address.send(message).await);
            });
        }
    }

    /// Sends a loan request to the class's lender, which may be this daemon.
    fn send(&mut self, request: LoanRequest, address: &WeakAddress<Self>) {
        match self.inputs.loan_client.lender_of(&request.class) {
            ClassLender::Local => {
                let reply = self.answer(&request);
                self.ask_remote_lenders(&request.class, address, self.inputs.clock.now());
                self.apply_reply(&request.class, reply.as_ref(), request.sequence, address);
            }
            ClassLender::None => self.apply_reply(&request.class, None, request.sequence, address),
            ClassLender::Remote(lender) => {
                let (loan_client, address) = (self.inputs.loan_client.clone(), address.clone());
                tokio::spawn(async move {
                    let (class, sequence) = (request.class.clone(), request.sequence);
                    let reply = loan_client.request_from_peer(lender, request).await;
                    let message = LoanAnswered {
                        class,
                        reply,
                        sequence,
                    };
                    drop(address.send(message).await);
                });
            }
        }
    }

    /// Answers a loan request as the class's lender, or returns `None` when this daemon isn't it.
    fn answer(&mut self, request: &LoanRequest) -> Option<LoanReply> {
        let now = self.inputs.clock.now();
        if !self.inputs.loan_client.is_lender_of(&request.class) {
            return None;
        }
        let catalogue = Arc::clone(&self.inputs.catalogue.borrow());
        let (lending_from, tenure) = (self.lending_from, self.tenure());
        let holder = self.holder(Some(self.inputs.data_centre.clone()));
        let lender = self
            .lenders
            .entry(request.class.clone())
            .or_insert_with(|| LimitLender::open(request.class.clone(), holder, lending_from));
        set_share(lender, &catalogue, &request.class, &self.inputs.data_centre);
        Some(lender.answer(request, tenure, now))
    }

    /// Applies the reply to a loan request, `None` when it was lost, and admits waiting requests.
    fn apply_reply(
        &mut self,
        class: &ClassName,
        reply: Option<&LoanReply>,
        sequence: u64,
        address: &WeakAddress<Self>,
    ) {
        let now = self.inputs.clock.now();
        let Some(gate) = self.gates.get_mut(class) else {
            return;
        };
        match reply {
            Some(reply) => gate.borrower.accept_loan_reply(reply, now),
            None => gate.borrower.loan_reply_lost(sequence, now),
        }
        // The next loan request is delayed, so that refusals don't lead to a busy loop.
        let next = gate.serve(address, now);
        if let Some(request) = next {
            let address = address.clone();
            tokio::spawn(async move {
                tokio::time::sleep(RESEND_PAUSE).await;
                drop(address.send(SendLoan(request)).await);
            });
        }
    }
}

/// Time between two rounds of requests to lenders in other data centres.
const REMOTE_LENDERS_INTERVAL: Duration = Duration::from_secs(1);

/// Delay of a loan request that follows the reply to another.
const RESEND_PAUSE: Duration = Duration::from_millis(5);

/// Asks the actor to send a loan request.
struct SendLoan(LoanRequest);

fn is_limited(catalogue: &CatalogueSnapshot, class: &ClassName) -> bool {
    catalogue
        .classes
        .get(class)
        .is_some_and(|class| class.limits != LimitSet::default())
}

fn set_share(
    lender: &mut LimitLender,
    catalogue: &CatalogueSnapshot,
    name: &ClassName,
    own: &DataCentre,
) {
    let limits = catalogue
        .classes
        .get(name)
        .map(|class| class.limits)
        .unwrap_or_default();
    let centres: Vec<&DataCentre> = catalogue.data_centres.keys().collect();
    let share = |centre: &DataCentre| base_share(&limits, name, centre, centres.iter().copied());
    let remote_lenders = centres
        .iter()
        .filter(|centre| **centre != own && share(centre) != Allowance::ZERO);
    let remote_lenders = remote_lenders.map(|centre| (*centre).clone()).collect();
    lender.set_share(limits, share(own), remote_lenders);
}

impl Actor for LimitActor {
    type Stop = ();

    async fn stopped(self) {}
}

impl Handler<AdmitRequest> for LimitActor {
    type Return = ();

    async fn handle(&mut self, message: AdmitRequest, ctx: &mut Context<Self>) {
        let now = self.inputs.clock.now();
        let holder = self.holder(None);
        let class: &Arc<ClassEntry> = &message.class;
        let (name, limits) = (class.name.clone(), class.limits);
        let gate = self
            .gates
            .entry(name.clone())
            .or_insert_with(|| ClassGate::new(name, holder, limits));
        gate.push(message, now);
        let address = ctx.mailbox().address();
        if let Some(request) = gate.serve(&address, now) {
            self.send(request, &address);
        }
    }
}

impl Handler<ReleasePermit> for LimitActor {
    type Return = ();

    async fn handle(&mut self, message: ReleasePermit, ctx: &mut Context<Self>) {
        let now = self.inputs.clock.now();
        let Some(gate) = self.gates.get_mut(&message.class) else {
            return;
        };
        gate.borrower.release(message.permit, message.tokens, now);
        let address = ctx.mailbox().address();
        if let Some(request) = gate.serve(&address, now) {
            self.send(request, &address);
        }
    }
}

impl Handler<AnswerLoan> for LimitActor {
    type Return = Option<LoanReply>;

    async fn handle(&mut self, message: AnswerLoan, ctx: &mut Context<Self>) -> Option<LoanReply> {
        let reply = self.answer(&message.0);
        let now = self.inputs.clock.now();
        self.ask_remote_lenders(&message.0.class, &ctx.mailbox().address(), now);
        reply
    }
}

impl Handler<LoanAnswered> for LimitActor {
    type Return = ();

    async fn handle(&mut self, message: LoanAnswered, ctx: &mut Context<Self>) {
        let address = ctx.mailbox().address();
        self.apply_reply(
            &message.class,
            message.reply.as_ref(),
            message.sequence,
            &address,
        );
    }
}

impl Handler<SendLoan> for LimitActor {
    type Return = ();

    async fn handle(&mut self, message: SendLoan, ctx: &mut Context<Self>) {
        self.send(message.0, &ctx.mailbox().address());
    }
}

impl Handler<RemoteLenderAnswered> for LimitActor {
    type Return = ();

    async fn handle(&mut self, message: RemoteLenderAnswered, _ctx: &mut Context<Self>) {
        let Some(lender) = self.lenders.get_mut(&message.class) else {
            return;
        };
        match &message.reply {
            Some(reply) => lender.accept_remote_reply(&message.data_centre, reply),
            None => lender.remote_reply_lost(&message.data_centre, message.sequence),
        }
    }
}

impl Handler<RefreshLimits> for LimitActor {
    type Return = ();

    async fn handle(&mut self, _message: RefreshLimits, ctx: &mut Context<Self>) {
        self.refresh(&ctx.mailbox().address());
    }
}

impl fmt::Debug for LimitActor {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("LimitActor")
            .field("gates", &self.gates.len())
            .field("homes", &self.lenders.len())
            .finish_non_exhaustive()
    }
}
