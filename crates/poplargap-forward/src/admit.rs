//! Filter: admits a request by its route and its API key.

use {
    crate::{
        LocalAnswer, WireDialect,
        call_stage::{AdmittedCall, ReceivedCall},
        front_state::FrontState,
        local_answer::{NOT_READY_RETRY_AFTER, OVERLOADED_RETRY_AFTER},
    },
    poplargap_core::forward::{
        AccessRefusal, ClosePhase, RequestContent, RequestIdentity, placement_key,
    },
    slog::info,
    std::sync::Arc,
    tokio::time::Instant,
    xxhash_rust::xxh3::xxh3_64,
};

/// A request that isn't admitted, with the daemon's answer.
#[derive(Debug)]
pub(crate) struct RefusedCall {
    pub(crate) answer: LocalAnswer,
    pub(crate) call: Box<ReceivedCall>,
    pub(crate) reason: &'static str,
}

/// Admits a request under the routes in force and selects its service.
pub(crate) fn admit<D: WireDialect>(
    state: &FrontState<D>,
    received: ReceivedCall,
) -> Result<AdmittedCall, RefusedCall> {
    let refuse = |call, answer, reason| {
        Err(RefusedCall {
            answer,
            call: Box::new(call),
            reason,
        })
    };
    let retry_later = LocalAnswer::Refused {
        retry_after: NOT_READY_RETRY_AFTER,
    };
    let busy = LocalAnswer::Refused {
        retry_after: OVERLOADED_RETRY_AFTER,
    };
    if state.close.phase() >= Some(ClosePhase::Finishing) {
        return refuse(received, retry_later, "closing");
    }
    let Some(routes) = state.routes() else {
        return refuse(received, retry_later, "not-ready");
    };
    let head = &received.head;
    let grant = match routes.grant(&head.host, received.target.path(), head.key.as_deref()) {
        Ok(grant) => grant,
        Err(refusal) => {
            let reason: &'static str = refusal.into();
            info!(state.log, "request not admitted";
                "request" => &head.id, "reason" => reason, "routes-version" => routes.version());
            let answer = match refusal {
                AccessRefusal::NoRoute => LocalAnswer::NoRoute,
                AccessRefusal::UnknownKey => LocalAnswer::UnknownKey,
            };
            return refuse(received, answer, reason);
        }
    };
    let placement_key = if grant.route.caches_prompts {
        placement_key(&head.prompt)
    } else {
        None
    };
    let point = placement_key.unwrap_or_else(|| xxh3_64(head.id.as_bytes()));
    let Some(service) = grant.route.service_at(point).map(Arc::clone) else {
        return refuse(received, LocalAnswer::NoRoute, "no-service");
    };
    let wait = head.deadline.map_or(grant.route.timeout, |deadline| {
        deadline.min(grant.route.timeout)
    });
    let lag = state.lag();
    let deadline = received.started_at + lag.time_left(wait, state.clock.now());
    let time_left = deadline.saturating_duration_since(Instant::now());
    let workspace = grant.workspace.as_ref();
    let priority = workspace.and_then(|workspace| workspace.priority);
    let priority = priority.unwrap_or(grant.route.priority);
    if lag.is_too_late(time_left, priority, state.clock.now()) {
        return refuse(received, busy, "behind");
    }
    let content = RequestContent {
        body: &received.body,
        method: received.method.as_str(),
        target: received
            .target
            .path_and_query()
            .map_or("", |target| target.as_str()),
    };
    let identity = RequestIdentity::new(&head.prompt, content);
    let cold = routes.service(&service);
    Ok(AdmittedCall {
        cold_per_second: cold.map_or(0.0, |entry| entry.cold_per_second),
        deadline,
        received,
        grant,
        identity,
        placement_key,
        routes_version: routes.version(),
        service,
    })
}
