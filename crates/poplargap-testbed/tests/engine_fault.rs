//! Tests of the faults of the engine stand-in over HTTP.

mod support;

use {
    poplargap_testbed::{
        caller::{CallVerdict, ChatSession, RanState},
        engine::{CacheEvents, RunOutcome},
        fault::FaultSettings,
    },
    std::time::Duration,
    support::{ask, caller, post, quick_settings, start, turn, wait_for_load},
};

#[tokio::test]
async fn dropped_cache_events_leave_a_gap_in_the_sequence_numbers() {
    let engine = start(quick_settings()).await;
    let ten_words = |word: &str| [word; 10].join(" ");
    ask(&engine, "r1", &ten_words("one")).await;
    let gap = FaultSettings {
        gap: true,
        ..FaultSettings::default()
    };
    engine.set_faults(gap).await;
    ask(&engine, "r2", &ten_words("two")).await;
    engine.set_faults(FaultSettings::default()).await;
    ask(&engine, "r3", &ten_words("three")).await;
    let url = format!(
        "http://{}/cache-events?after=0&wait-ms=1000",
        engine.address()
    );
    let response = reqwest::get(url).await.expect("the engine answers");
    let events: CacheEvents = response.json().await.expect("the events are JSON");
    let numbers: Vec<_> = events.events.iter().map(|event| event.seq).collect();
    assert_eq!(numbers, [1, 2, 5, 6]);
    engine.close().await;
}

#[tokio::test]
async fn a_refusing_or_draining_engine_runs_nothing() {
    let engine = start(quick_settings()).await;
    let refuse = FaultSettings {
        refuse: true,
        ..FaultSettings::default()
    };
    engine.set_faults(refuse).await;
    let refused = ask(&engine, "r1", "short").await;
    engine.set_faults(FaultSettings::default()).await;
    let drain = format!("http://{}/drain", engine.address());
    let drained = reqwest::Client::new().post(drain).send().await;
    assert_eq!(drained.expect("the engine answers").status(), 204);
    let late = ask(&engine, "r2", "short").await;
    for outcome in [refused, late] {
        let CallVerdict::Refused(refusal) = outcome.verdict else {
            panic!("the call was not refused: {:?}", outcome.verdict);
        };
        assert_eq!((refusal.status, refusal.ran), (503, RanState::NotRun));
    }
    assert!(
        engine
            .ledger()
            .await
            .expect("the engine is open")
            .runs
            .is_empty()
    );
    engine.close().await;
}

#[tokio::test]
async fn a_cut_stream_and_a_dropped_answer_are_broken_but_were_run() {
    let engine = start(quick_settings()).await;
    let cut = FaultSettings {
        stop_after_events: Some(3),
        ..FaultSettings::default()
    };
    engine.set_faults(cut).await;
    // The engine runs ahead of the stream, so only a long answer is certain to be cut before its end.
    let mut session = ChatSession::new("chat", "curve");
    let long = turn("r1", "long", 4000);
    let outcome = caller().chat(engine.address(), &mut session, &long).await;
    assert!(
        matches!(outcome.verdict, CallVerdict::Broken { .. }),
        "{:?}",
        outcome.verdict
    );
    assert_eq!(outcome.text.split_whitespace().count(), 3);
    let drop_answer = FaultSettings {
        drop_answer: true,
        ..FaultSettings::default()
    };
    engine.set_faults(drop_answer).await;
    let outcome = ask(&engine, "r2", "short").await;
    assert!(
        matches!(outcome.verdict, CallVerdict::Broken { .. }),
        "{:?}",
        outcome.verdict
    );
    assert_eq!(outcome.text, "");
    wait_for_load(&engine, 0, 0).await;
    let ledger = engine.ledger().await.expect("the engine is open");
    let outcomes: Vec<_> = ledger.runs.iter().map(|run| run.outcome).collect();
    assert_eq!(outcomes, [RunOutcome::Cancelled, RunOutcome::Complete]);
    engine.close().await;
}

#[tokio::test]
async fn a_silenced_stream_gets_no_more_bytes_and_new_connections_work() {
    let engine = start(quick_settings()).await;
    let stream = post(&engine, &[], &turn("r1", "long", 400)).send().await;
    let mut stream = stream.expect("the stream begins");
    let silent = FaultSettings {
        silent: true,
        ..FaultSettings::default()
    };
    engine.set_faults(silent).await;
    let rest = async { while let Ok(Some(_)) = stream.chunk().await {} };
    let rest = tokio::time::timeout(Duration::from_millis(1500), rest).await;
    assert!(rest.is_err(), "the silenced stream ended");
    assert_eq!(
        ask(&engine, "r2", "short").await.verdict,
        CallVerdict::Complete
    );
    engine.close().await;
}
