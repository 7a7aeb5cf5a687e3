//! Filter: finds the route and the workspace.

use {
    crate::{
        OwnAnswer, WireDialect,
        arrival::{AdmittedCall, ArrivedCall},
        front_state::FrontState,
        own_answer::NOT_READY_WAIT,
    },
    poplargap_core::forward::{AccessRefusal, ClosePhase, placement_key},
    slog::info,
    std::sync::Arc,
    xxhash_rust::xxh3::xxh3_64,
};

/// A request that isn't let in.
#[derive(Debug)]
pub(crate) struct Unadmitted {
    pub(crate) answer: OwnAnswer,
    pub(crate) call: Box<ArrivedCall>,
    pub(crate) reason: &'static str,
}

/// Lets a request in under the routes in force.
pub(crate) fn admit<D: WireDialect>(
    state: &FrontState<D>,
    call: ArrivedCall,
) -> Result<AdmittedCall, Unadmitted> {
    let refuse = |call, answer, reason| {
        Err(Unadmitted {
            answer,
            call: Box::new(call),
            reason,
        })
    };
    let retry_later = OwnAnswer::Refused {
        retry_after: NOT_READY_WAIT,
    };
    if state.close.phase() >= Some(ClosePhase::Finishing) {
        return refuse(call, retry_later, "closing");
    }
    let Some(routes) = state.routes() else {
        return refuse(call, retry_later, "not-ready");
    };
    let head = &call.head;
    let grant = match routes.grant(&head.host, call.target.path(), head.key.as_deref()) {
        Ok(grant) => grant,
        Err(refusal) => {
            let reason: &'static str = refusal.into();
            info!(state.log, "request isn't let in";
                "request" => &head.id, "reason" => reason, "routes-version" => routes.version());
            let answer = match refusal {
                AccessRefusal::NoRoute => OwnAnswer::NoRoute,
                AccessRefusal::UnknownKey => OwnAnswer::UnknownKey,
            };
            return refuse(call, answer, reason);
        }
    };
    let placement = if grant.route.caches_prompts {
        placement_key(&head.prompt)
    } else {
        None
    };
    let point = placement.unwrap_or_else(|| xxh3_64(head.id.as_bytes()));
    let Some(service) = grant.route.service_at(point).map(Arc::clone) else {
        return refuse(call, OwnAnswer::NoRoute, "no-service");
    };
    let wait = head.deadline.map_or(grant.route.timeout, |deadline| {
        deadline.min(grant.route.timeout)
    });
    Ok(AdmittedCall {
        give_up: call.arrived + wait,
        call,
        grant,
        placement,
        routes_version: routes.version(),
        service,
    })
}
