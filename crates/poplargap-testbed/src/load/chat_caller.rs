//! Sending of one planned chat.

use {
    super::{
        CallKind, CallRecord, ChatPlan, ReuseCount,
        load_context::{LoadContext, addresses_from},
    },
    crate::caller::{CallVerdict, ChatOutcome, ChatSession, ChatTurn},
    std::{sync::Arc, time::Duration},
};

/// Sends the turns of one chat at their planned times, each only after the previous turn has ended.
pub(super) async fn send_chat(context: Arc<LoadContext>, plan: ChatPlan) {
    let model = context.settings.model.as_str();
    let mut session = ChatSession::new(plan.chat_id.as_str(), model);
    session.messages = plan.first_messages();
    for (i, turn) in plan.turns.iter().enumerate() {
        let request = plan.request(i, &session.messages, model);
        if let Some(at) = turn.at {
            let late = context.wait_until(at).await;
            let outcome = send_turn(&context, &plan, i, &mut session).await;
            context.record(record(&plan, i, late, outcome));
        }
        // Later turns follow the planned answer, whatever the outcome of this turn.
        session.messages = ChatPlan::messages_after(request);
    }
}

fn record(plan: &ChatPlan, turn: usize, late: Duration, outcome: ChatOutcome) -> CallRecord {
    CallRecord {
        idempotency_key: None,
        kind: CallKind::Chat(plan.profile),
        late,
        request_id: plan.request_id(turn),
        reuse: outcome.usage.map(|usage| ReuseCount {
            cached_tokens: usage.prompt_tokens_details.cached_tokens,
            prompt_tokens: usage.prompt_tokens,
        }),
        sends: 1,
        time_to_first_token: outcome.time_to_first_token,
        token_gaps: outcome.token_gaps,
        verdict: outcome.verdict,
        workspace: plan.workspace,
    }
}

/// Sends one turn to the chosen daemon, or to the next one that accepts the connection.
async fn send_turn(
    context: &LoadContext,
    plan: &ChatPlan,
    index: usize,
    session: &mut ChatSession,
) -> ChatOutcome {
    let class = &context.settings.workspaces[plan.workspace].classes[plan.class];
    let turn = ChatTurn {
        class: Some(class.name.clone()),
        content: plan.content(index),
        deadline: class.deadline_ms.map(Duration::from_millis),
        max_tokens: plan.turns[index].max_tokens,
        request_id: plan.request_id(index),
        stream: true,
    };
    let client = &context.clients[plan.workspace];
    let mut addresses = addresses_from(&context.settings.daemons, plan.turns[index].daemon);
    let first = addresses.next().expect("the settings name a daemon");
    let mut outcome = client.chat(first, session, &turn).await;
    for address in addresses {
        if !matches!(outcome.verdict, CallVerdict::Unreachable { .. }) {
            break;
        }
        outcome = client.chat(address, session, &turn).await;
    }
    outcome
}
