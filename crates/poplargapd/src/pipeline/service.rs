//! Serves calls of plain services.

use {
    super::{
        CallTarget, CallerRequest, ClaimOutcome, Identity, Placement, ProblemCode, RequestContext,
        RequestGuard, RequestProblem, RouteHint,
        chat::refuse,
        claim::{ClaimAttempt, ClaimTicket},
        owner_search::OwnerSearch,
        place::{self, OwnerLocation},
        problem::REQUEST_ID_HEADER,
    },
    crate::{
        invariant::Invariant,
        shards::{ServiceAnswer, ServiceRequest, ServiceTask},
    },
    bytes::Bytes,
    poplargap_core::{
        catalogue::PoolKind,
        name::{IdempotencyKey, RequestId},
        retry::RunOutcome,
    },
    poplargap_link::envelope::{RefusalReason, RelayEnvelope, RelayRefusal, RelayWork},
    poplargap_store::KeyValueStore,
    std::sync::Arc,
    tokio::time::Instant,
    warp::{
        Reply,
        http::{HeaderValue, StatusCode, header::CONTENT_TYPE},
        reply::Response,
    },
    xxhash_rust::xxh3::Xxh3,
};

/// Header that marks the stored outcome of an earlier send.
const REPLAYED_HEADER: &str = "poplargap-replayed";

/// One call to be answered by the fleet.
#[derive(Debug)]
struct ServiceWork {
    body: Bytes,
    content_type: Option<String>,
    id: RequestId,
    idempotency_key: Option<IdempotencyKey>,
    identity: Identity,
    method: String,
    path: String,
}

/// Relays one call over all its attempts.
#[derive(Debug)]
struct ServiceRelay<S> {
    search: OwnerSearch<S>,
    work: ServiceWork,
}

/// Serves one call.
pub(super) async fn serve<S: KeyValueStore>(
    context: Arc<RequestContext<S>>,
    request: CallerRequest,
    body: Bytes,
    mut guard: RequestGuard<S>,
) -> Response {
    let id = request.id.clone();
    let work = match prepare(&context, request, body, &mut guard) {
        Ok(work) => work,
        Err(problem) => return refuse(problem, &id, guard),
    };
    // A separate task, so that a caller's disconnect doesn't interrupt a call in progress.
    let handle = tokio::spawn(run(context, work, guard));
    handle
        .await
        .unwrap_or_else(|_panicked| StatusCode::INTERNAL_SERVER_ERROR.into_response())
}

fn prepare<S>(
    context: &Arc<RequestContext<S>>,
    request: CallerRequest,
    body: Bytes,
    guard: &mut RequestGuard<S>,
) -> Result<ServiceWork, RequestProblem> {
    let CallTarget::Service {
        content_type,
        method,
        path,
        pool,
    } = request.target.clone()
    else {
        return Err(RequestProblem::not_run(
            ProblemCode::MalformedRequest,
            "the request calls no service",
        ));
    };
    let catalogue = Arc::clone(&context.catalogue.borrow());
    let identity = Identity::find(&request, &catalogue, pool.as_str(), PoolKind::Service)?;
    guard.set_class(identity.class.name.as_str());
    let CallerRequest {
        id,
        idempotency_key,
        ..
    } = request;
    Ok(ServiceWork {
        body,
        content_type,
        id,
        idempotency_key,
        identity,
        method,
        path,
    })
}

async fn run<S: KeyValueStore>(
    context: Arc<RequestContext<S>>,
    work: ServiceWork,
    mut guard: RequestGuard<S>,
) -> Response {
    let id = work.id.clone();
    match context.admit_class(&work.identity, 0).await {
        Ok(pass) => guard.hold_pass(pass),
        Err(problem) => return refuse(problem, &id, guard),
    }
    let ticket = match claim(&context, &work).await {
        Ok(Claim::Held(ticket)) => Some(ticket),
        Ok(Claim::NotNeeded) => None,
        Ok(Claim::Earlier(outcome)) => return replay(outcome, &id, guard),
        Err(problem) => return refuse(problem, &id, guard),
    };
    let search = OwnerSearch::new(Arc::clone(&context), id.clone(), work.identity.clone());
    let mut relay = ServiceRelay { search, work };
    let result = relay.run(&mut guard).await;
    if let Some(ticket) = ticket {
        context.claims.record_outcome(ticket, outcome_of(&result));
    }
    match result {
        Ok((answer, route)) => {
            guard.close("complete");
            respond(answer, Some(&route), &id)
        }
        Err(problem) => refuse(problem, &id, guard),
    }
}

enum Claim {
    Earlier(ClaimOutcome),
    Held(ClaimTicket),
    NotNeeded,
}

async fn claim<S: KeyValueStore>(
    context: &RequestContext<S>,
    work: &ServiceWork,
) -> Result<Claim, RequestProblem> {
    let class = &work.identity.class;
    let Some(key) = work.idempotency_key.as_ref().filter(|_| !class.repeatable) else {
        return Ok(Claim::NotNeeded);
    };
    let left = work.identity.deadline.since(context.clock.now());
    let deadline = Instant::now() + left;
    let attempt = context
        .claims
        .claim(&class.owner, key, &work.id, call_digest(work), deadline)
        .await?;
    Ok(match attempt {
        ClaimAttempt::Claimed(ticket) => Claim::Held(ticket),
        ClaimAttempt::Earlier(outcome) => Claim::Earlier(outcome),
    })
}

/// Hashes the parts of a call that must be equal in all sends with one idempotency key.
fn call_digest(work: &ServiceWork) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(work.method.as_bytes());
    hasher.update(b"\n");
    hasher.update(work.path.as_bytes());
    hasher.update(b"\n");
    hasher.update(work.identity.pool.name.as_str().as_bytes());
    hasher.update(b"\n");
    hasher.update(&work.body);
    hasher.digest()
}

fn outcome_of(result: &Result<(ServiceAnswer, RouteHint), RequestProblem>) -> ClaimOutcome {
    match result {
        Ok((answer, _)) => {
            ClaimOutcome::answered(answer.status, answer.content_type.clone(), &answer.body)
        }
        Err(problem) if problem.ran == RunOutcome::NotRun => ClaimOutcome::NotRun,
        Err(_) => ClaimOutcome::Unknown,
    }
}

fn replay<S>(outcome: ClaimOutcome, id: &RequestId, guard: RequestGuard<S>) -> Response {
    match outcome {
        ClaimOutcome::Answered {
            body: Some(body),
            content_type,
            status,
        } => {
            guard.close("replayed");
            let mut response = body.into_response();
            *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
            set_headers(&mut response, content_type.as_deref(), None, id);
            response
                .headers_mut()
                .insert(REPLAYED_HEADER, HeaderValue::from_static("yes"));
            response
        }
        ClaimOutcome::Answered { body: None, .. } => {
            let mut problem = RequestProblem::unknown(
                ProblemCode::OutcomeUnknown,
                "the call ran; its answer was too long to be kept",
            );
            problem.ran = RunOutcome::Ran;
            refuse(problem, id, guard)
        }
        ClaimOutcome::NotRun | ClaimOutcome::Pending | ClaimOutcome::Unknown => {
            let detail = "an earlier send of the call may have run; it isn't run again";
            refuse(
                RequestProblem::unknown(ProblemCode::OutcomeUnknown, detail),
                id,
                guard,
            )
        }
    }
}

fn respond(answer: ServiceAnswer, route: Option<&RouteHint>, id: &RequestId) -> Response {
    let mut response = Response::new(answer.body.into());
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    set_headers(&mut response, answer.content_type.as_deref(), route, id);
    response
}

fn set_headers(
    response: &mut Response,
    content_type: Option<&str>,
    route: Option<&RouteHint>,
    id: &RequestId,
) {
    let headers = response.headers_mut();
    headers.remove(CONTENT_TYPE);
    if let Some(content_type) = content_type.and_then(|text| HeaderValue::from_str(text).ok()) {
        headers.insert(CONTENT_TYPE, content_type);
    }
    if let Ok(id) = HeaderValue::from_str(id.as_str()) {
        headers.insert(REQUEST_ID_HEADER, id);
    }
    if let Some(route) = route.and_then(|route| HeaderValue::from_str(&route.to_string()).ok()) {
        headers.insert(super::request::ROUTE_HEADER, route);
    }
}

impl<S: KeyValueStore> ServiceRelay<S> {
    /// Tries owners until one answers or a retry is ruled out.
    ///
    /// It is ruled out once the deadline has passed, and once a call that may not be repeated may
    /// have run.
    async fn run(
        &mut self,
        guard: &mut RequestGuard<S>,
    ) -> Result<(ServiceAnswer, RouteHint), RequestProblem> {
        loop {
            match self.run_round(guard).await? {
                RoundEnd::Answered(answer, route) => return Ok((answer, route)),
                RoundEnd::Refused(refusal) => self.search.next_round(&refusal).await?,
            }
        }
    }

    async fn run_round(&mut self, guard: &mut RequestGuard<S>) -> Result<RoundEnd, RequestProblem> {
        let catalogue = Arc::clone(&self.search.context.catalogue.borrow());
        let pool = &self.work.identity.pool.name;
        let key = self.work.id.as_str();
        let placements = place::candidates(
            &catalogue,
            &self.search.context.data_centre,
            pool,
            key,
            None,
        );
        let mut full: Option<Placement> = None;
        let mut last = RelayRefusal::not_run(RefusalReason::NoUpstream);
        for placement in placements {
            match self.try_owner(&placement, false, guard).await? {
                RoundEnd::Refused(refusal) => {
                    if refusal.reason == RefusalReason::Full {
                        full.get_or_insert(placement);
                    }
                    last = refusal;
                }
                answered @ RoundEnd::Answered(..) => return Ok(answered),
            }
        }
        match full {
            Some(placement) => self.try_owner(&placement, true, guard).await,
            None => Ok(RoundEnd::Refused(last)),
        }
    }

    async fn try_owner(
        &mut self,
        placement: &Placement,
        wait: bool,
        guard: &mut RequestGuard<S>,
    ) -> Result<RoundEnd, RequestProblem> {
        let (repeatable, sent) = (self.work.identity.class.repeatable, self.search.sent());
        let context = &self.search.context;
        context
            .invariants
            .check(Invariant::AtMostOnce, repeatable || sent == 0, || {
                format!("request {} was sent {sent} times", self.work.id)
            });
        let shard = &placement.shard;
        let call = ServiceRequest {
            body: self.work.body.clone(),
            envelope: self.envelope(placement, wait),
        };
        let result = match context.locate_owner(shard).await {
            OwnerLocation::Local => ServiceTask::new(context.task.clone()).run(&call).await,
            OwnerLocation::Remote(owner) => context.relays.call(owner, &call).await,
            OwnerLocation::Unknown => Err(RelayRefusal::not_run(RefusalReason::Unreachable)),
        };
        match result {
            Ok(answer) => {
                let upstream = answer.upstream.clone();
                self.search.record_answer(shard, &upstream, guard);
                let data_centre = shard.data_centre.clone();
                let route = RouteHint {
                    data_centre,
                    upstream,
                };
                Ok(RoundEnd::Answered(answer, route))
            }
            Err(refusal) => {
                self.search.record_refusal(shard, &refusal, guard)?;
                Ok(RoundEnd::Refused(refusal))
            }
        }
    }

    fn envelope(&self, placement: &Placement, wait: bool) -> RelayEnvelope {
        let work = RelayWork::Service {
            content_type: self.work.content_type.clone(),
            idempotency_key: self.work.idempotency_key.clone(),
            method: self.work.method.clone(),
            path: self.work.path.clone(),
        };
        let key = self.work.id.as_str();
        self.search
            .envelope(&placement.shard, wait, key, None, work)
    }
}

/// How one round over the owners ended.
enum RoundEnd {
    Answered(ServiceAnswer, RouteHint),
    Refused(RelayRefusal),
}
