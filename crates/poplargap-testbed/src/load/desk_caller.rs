//! Sending of one planned service call.

use {
    super::{
        CallKind, CallRecord, DeskLoadSettings, DeskPlan, DeskWork,
        load_context::{LoadContext, addresses_from},
    },
    crate::caller::{CallVerdict, RanState, ServiceCall, ServiceOutcome},
    std::sync::Arc,
    warp::http::Method,
};

/// Maximum number of times that a booking with an unknown outcome is sent.
const BOOKING_SENDS_MAX: u32 = 2;

/// Sends one service call at its planned time; a booking with an unknown outcome is sent again.
pub(super) async fn send_desk_call(
    context: Arc<LoadContext>,
    desk: Arc<DeskLoadSettings>,
    plan: DeskPlan,
) {
    let call = call(&desk, &plan);
    let late = context.wait_until(plan.at).await;
    let mut outcome = send(&context, &desk, &plan, 0, &call).await;
    let mut sends = 1;
    while plan.work == DeskWork::Booking
        && sends < BOOKING_SENDS_MAX
        && is_outcome_unknown(&outcome.verdict)
    {
        // The retry goes to another daemon, with the same idempotency key.
        outcome = send(&context, &desk, &plan, sends as usize, &call).await;
        sends += 1;
    }
    context.record(CallRecord {
        idempotency_key: call.idempotency_key,
        kind: CallKind::Desk(plan.work),
        late,
        request_id: plan.request_id,
        reuse: None,
        sends,
        time_to_first_token: Some(outcome.time),
        token_gaps: Vec::new(),
        verdict: outcome.verdict,
        workspace: plan.workspace,
    });
}

fn call(desk: &DeskLoadSettings, plan: &DeskPlan) -> ServiceCall {
    let (class, method, path) = match plan.work {
        DeskWork::Booking => (&desk.booking_class, Method::POST, "reservations"),
        DeskWork::Lookup => (&desk.lookup_class, Method::GET, "stock"),
    };
    ServiceCall {
        class: class.clone(),
        idempotency_key: (plan.work == DeskWork::Booking).then(|| plan.request_id.clone()),
        method,
        path: format!("{path}/{}", plan.item),
        request_id: plan.request_id.clone(),
        service: desk.service.clone(),
    }
}

fn is_outcome_unknown(verdict: &CallVerdict) -> bool {
    match verdict {
        CallVerdict::Broken { .. } => true,
        CallVerdict::Refused(refusal) => refusal.ran == RanState::Unknown,
        CallVerdict::Complete | CallVerdict::Foreign { .. } | CallVerdict::Unreachable { .. } => {
            false
        }
    }
}

async fn send(
    context: &LoadContext,
    desk: &DeskLoadSettings,
    plan: &DeskPlan,
    offset: usize,
    call: &ServiceCall,
) -> ServiceOutcome {
    let addresses = if desk.addresses.is_empty() {
        &context.settings.daemons
    } else {
        &desk.addresses
    };
    let client = &context.clients[plan.workspace];
    let mut addresses = addresses_from(addresses, plan.daemon.wrapping_add(offset));
    let first = addresses.next().expect("the settings name a daemon");
    let mut outcome = client.service(first, call).await;
    for address in addresses {
        if !matches!(outcome.verdict, CallVerdict::Unreachable { .. }) {
            break;
        }
        outcome = client.service(address, call).await;
    }
    outcome
}
