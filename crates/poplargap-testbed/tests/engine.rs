//! Tests of the engine stand-in over HTTP.

mod support;

use {
    poplargap_core::{
        catalogue::FencingCheck,
        order::{EngineOrder, OrderKind},
    },
    poplargap_testbed::{
        caller::{CallVerdict, ChatSession, ChatTurn},
        engine::{AnswerScript, EngineSettings, OrderRecord, PrefixCache, RunOutcome},
    },
    std::{num::NonZeroUsize, time::Duration},
    support::{ask, caller, load, post, quick_settings, start, turn, wait_for_load},
};

/// Token limit of an answer that is still running while a test observes it.
const LONG_ANSWER_TOKENS: usize = 4000;

async fn text(builder: reqwest::RequestBuilder) -> String {
    let response = builder.send().await.expect("the engine answers");
    response.text().await.expect("the answer is whole")
}

#[tokio::test]
async fn a_streamed_answer_equals_the_answer_in_one_body() {
    let engine = start(quick_settings()).await;
    let mut session = ChatSession::new("chat", "curve");
    let streamed = turn("r1", "trace of an el34", 12);
    let whole = ChatTurn {
        request_id: "r2".to_owned(),
        stream: false,
        ..streamed.clone()
    };
    let first = caller()
        .chat(engine.address(), &mut session.clone(), &streamed)
        .await;
    let second = caller().chat(engine.address(), &mut session, &whole).await;
    assert_eq!(first.verdict, CallVerdict::Complete);
    assert_eq!(second.verdict, CallVerdict::Complete);
    assert_eq!(first.text, second.text);
    assert_eq!(session.messages.len(), 2);
    let usage = first.usage.expect("the stream carries usage");
    assert_eq!(usage.prompt_tokens, 5);
    assert_eq!(
        usage.completion_tokens,
        first.text.split_whitespace().count()
    );
    engine.close().await;
}

#[tokio::test]
async fn a_resumed_stream_continues_exactly_on_another_engine() {
    let (first, second) = (start(quick_settings()).await, start(quick_settings()).await);
    let turn = turn("r1", "trace of a kt88", 12);
    let whole = text(post(&first, &[], &turn)).await;
    let rest = text(post(&second, &[("x-resume-from", "4")], &turn)).await;
    let tail_at = whole.find("id: 4\n").expect("the stream has a fifth token");
    let tokens = |text: &str| text.split("\"usage\"").next().map(str::to_owned);
    assert_eq!(tokens(&rest), tokens(&whole[tail_at..]));
    assert!(rest.ends_with("data: [DONE]\n\n"));
    let ledger = second.ledger().await.expect("the engine is open");
    let script = AnswerScript::of_request(&ChatSession::new("chat", "curve").request(&turn));
    assert_eq!(ledger.runs[0].from_index, 4);
    assert_eq!(ledger.runs[0].tokens, script.len() - 4);
    first.close().await;
    second.close().await;
}

#[tokio::test]
async fn cancel_frees_the_slot() {
    let engine = start(EngineSettings {
        slots: 1,
        ..quick_settings()
    })
    .await;
    let stream = post(&engine, &[], &turn("r1", "long", LONG_ANSWER_TOKENS))
        .send()
        .await;
    let stream = stream.expect("the stream begins");
    assert_eq!(stream.headers()["x-engine-load"], "1/0");
    let cancel = format!("http://{}/v1/requests/r1", engine.address());
    let cancelled = reqwest::Client::new().delete(cancel).send().await;
    assert_eq!(cancelled.expect("the engine answers").status(), 204);
    assert_eq!(
        ask(&engine, "r2", "short").await.verdict,
        CallVerdict::Complete
    );
    let ledger = engine.ledger().await.expect("the engine is open");
    let outcomes: Vec<_> = ledger.runs.iter().map(|run| run.outcome).collect();
    assert_eq!(outcomes, [RunOutcome::Cancelled, RunOutcome::Complete]);
    drop(stream);
    engine.close().await;
}

#[tokio::test]
async fn a_caller_that_disconnects_frees_the_slot() {
    let engine = start(quick_settings()).await;
    let stream = post(&engine, &[], &turn("r1", "long", LONG_ANSWER_TOKENS))
        .send()
        .await;
    wait_for_load(&engine, 1, 0).await;
    drop(stream);
    wait_for_load(&engine, 0, 0).await;
    let ledger = engine.ledger().await.expect("the engine is open");
    assert_eq!(ledger.runs[0].outcome, RunOutcome::Cancelled);
    engine.close().await;
}

#[tokio::test]
async fn waiting_requests_start_by_priority_then_arrival() {
    let engine = start(EngineSettings {
        slots: 1,
        ..quick_settings()
    })
    .await;
    let stream = post(&engine, &[], &turn("r0", "long", LONG_ANSWER_TOKENS))
        .send()
        .await;
    let arrivals = [
        ("batch", "r1"),
        ("standard", "r2"),
        ("interactive", "r3"),
        ("interactive", "r4"),
    ];
    let mut waiting = Vec::new();
    for (i, (priority, request_id)) in arrivals.into_iter().enumerate() {
        let builder = post(
            &engine,
            &[("x-priority", priority)],
            &turn(request_id, "short", 2),
        );
        waiting.push(tokio::spawn(text(builder)));
        wait_for_load(&engine, 1, i + 1).await;
    }
    drop(stream);
    for waiting in waiting {
        waiting.await.expect("the request is answered");
    }
    let ledger = engine.ledger().await.expect("the engine is open");
    let order: Vec<_> = ledger
        .runs
        .iter()
        .map(|run| run.request_id.as_str())
        .collect();
    assert_eq!(order, ["r0", "r3", "r4", "r2", "r1"]);
    assert_eq!(ledger.peak, 5);
    engine.close().await;
}

#[tokio::test]
async fn a_request_whose_deadline_passes_in_the_queue_does_not_run() {
    let engine = start(EngineSettings {
        slots: 1,
        ..quick_settings()
    })
    .await;
    let stream = post(&engine, &[], &turn("r1", "long", LONG_ANSWER_TOKENS))
        .send()
        .await;
    let late = post(&engine, &[("x-deadline-ms", "30")], &turn("r2", "short", 2));
    let late = late.send().await.expect("the engine answers");
    assert_eq!(late.status(), 504);
    assert_eq!(late.headers()["x-poplargap-ran"], "not-run");
    let ledger = engine.ledger().await.expect("the engine is open");
    assert_eq!(ledger.runs.len(), 1);
    drop(stream);
    engine.close().await;
}

#[tokio::test]
async fn the_next_turn_of_a_chat_hits_the_prefix_cache() {
    let engine = start(quick_settings()).await;
    let mut session = ChatSession::new("chat", "curve");
    let first = turn("r1", "one two three four five six seven", 12);
    let first = caller().chat(engine.address(), &mut session, &first).await;
    let second = turn("r2", "eight nine ten", 12);
    let second = caller().chat(engine.address(), &mut session, &second).await;
    let first = first.usage.expect("the stream carries usage");
    let second = second.usage.expect("the stream carries usage");
    assert_eq!(first.prompt_tokens_details.cached_tokens, 0);
    let known = first.prompt_tokens + 1 + first.completion_tokens;
    assert_eq!(second.prompt_tokens_details.cached_tokens, known / 4 * 4);
    assert_eq!(second.prompt_tokens, known + 4);
    engine.close().await;
}

#[test]
fn the_cache_evicts_the_least_recently_used_block() {
    let mut cache = PrefixCache::new(NonZeroUsize::new(4).expect("4 is not zero"));
    assert_eq!(cache.insert(&[1, 2]).stored, [2, 1]);
    assert!(cache.insert(&[3, 4]).removed.is_empty());
    assert_eq!(cache.lookup(&[1, 2]), 2);
    assert_eq!(cache.insert(&[5]).removed, [4]);
    assert_eq!(cache.lookup(&[3, 4]), 1);
    assert_eq!(cache.insert(&[6]).removed, [2]);
    assert_eq!(cache.lookup(&[1, 2]), 1);
    assert_eq!(cache.len(), 4);
}

#[tokio::test]
async fn an_outdated_fencing_number_is_refused_only_if_checked() {
    for (fencing, old_status) in [(FencingCheck::Checked, 409), (FencingCheck::Ignored, 200)] {
        let engine = start(EngineSettings {
            fencing,
            ..quick_settings()
        })
        .await;
        let client = reqwest::Client::new();
        for (fence, status) in [(7, 200), (6, old_status), (7, 200)] {
            let order = EngineOrder {
                fence,
                order: OrderKind::LoadModel,
                value: "curve-8".to_owned(),
            };
            let orders = format!("http://{}/orders", engine.address());
            let response = client.post(orders).json(&order).send().await;
            let response = response.expect("the engine answers");
            assert_eq!(response.status(), status);
            let record: OrderRecord = response.json().await.expect("the record is JSON");
            assert_eq!(record.highest_fence, 7);
        }
        let ledger = engine.ledger().await.expect("the engine is open");
        assert_eq!(ledger.orders.len(), 3);
        assert_eq!(ledger.orders[1].accepted, fencing == FencingCheck::Ignored);
        engine.close().await;
    }
}

#[tokio::test]
async fn load_changes_are_reported_with_a_delay() {
    let engine = start(EngineSettings {
        load_lag: Duration::from_millis(400),
        ..quick_settings()
    })
    .await;
    let stream = post(&engine, &[], &turn("r1", "long", LONG_ANSWER_TOKENS))
        .send()
        .await;
    assert_eq!(load(&engine).await.running, 0);
    assert_eq!(
        engine
            .peak(false)
            .await
            .expect("the engine is open")
            .in_flight,
        1
    );
    wait_for_load(&engine, 1, 0).await;
    drop(stream);
    engine.close().await;
}

#[tokio::test]
async fn an_answer_completes_with_zero_length_decode_steps() {
    let engine = start(EngineSettings {
        decode_base: Duration::ZERO,
        decode_slope: Duration::ZERO,
        ..quick_settings()
    })
    .await;
    let outcome = ask(&engine, "r1", "trace of an el34").await;
    assert_eq!(outcome.verdict, CallVerdict::Complete);
    engine.close().await;
}
