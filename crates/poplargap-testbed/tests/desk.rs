//! Tests of the desk stand-in over HTTP.

use {
    poplargap_testbed::{
        caller::{CallVerdict, CallerClient, RanState, ServiceCall},
        desk::{DeskLedger, DeskSettings, DeskStandIn},
        fault::FaultSettings,
    },
    std::{net::SocketAddr, time::Duration},
    warp::http::Method,
};

const CALL_TIMEOUT: Duration = Duration::from_millis(500);

fn booking_call(request_id: &str) -> ServiceCall {
    ServiceCall {
        class: None,
        idempotency_key: Some("key-1".to_owned()),
        method: Method::POST,
        path: "reservations?tube=el34".to_owned(),
        request_id: request_id.to_owned(),
        service: "desk".to_owned(),
    }
}

fn caller() -> CallerClient {
    CallerClient::new("secret", CALL_TIMEOUT).expect("the client can be set up")
}

async fn start_desk() -> DeskStandIn {
    DeskStandIn::start(DeskSettings::default())
        .await
        .expect("the desk can be started")
}

async fn ledger_over_http(address: SocketAddr) -> DeskLedger {
    let response = reqwest::get(format!("http://{address}/ledger")).await;
    let response = response.expect("the desk answers");
    response.json().await.expect("the ledger is JSON")
}

#[tokio::test]
async fn calls_with_the_same_idempotency_key_all_run() {
    let desk = start_desk().await;
    let caller = caller();
    for request_id in ["r1", "r2"] {
        let outcome = caller
            .service(desk.address(), &booking_call(request_id))
            .await;
        assert_eq!(outcome.verdict, CallVerdict::Complete);
    }
    let ledger = ledger_over_http(desk.address()).await;
    let keys: Vec<_> = ledger
        .runs
        .iter()
        .map(|run| {
            (
                run.booking,
                run.request_id.as_deref(),
                run.idempotency_key.as_deref(),
            )
        })
        .collect();
    assert_eq!(
        keys,
        [
            (1, Some("r1"), Some("key-1")),
            (2, Some("r2"), Some("key-1"))
        ]
    );
    assert_eq!(ledger.runs[0].method, "POST");
    assert_eq!(
        ledger.runs[0].path,
        "/v1/services/desk/reservations?tube=el34"
    );
    desk.close().await;
}

#[tokio::test]
async fn a_refused_call_does_not_run() {
    let desk = start_desk().await;
    let faults = FaultSettings {
        refuse: true,
        ..FaultSettings::default()
    };
    desk.set_faults(faults).await;
    let outcome = caller().service(desk.address(), &booking_call("r1")).await;
    let CallVerdict::Refused(refusal) = outcome.verdict else {
        panic!("the call was not refused: {:?}", outcome.verdict);
    };
    assert_eq!((refusal.status, refusal.ran), (503, RanState::NotRun));
    assert!(
        desk.ledger()
            .await
            .expect("the desk is open")
            .runs
            .is_empty()
    );
    desk.close().await;
}

#[tokio::test]
async fn a_call_whose_answer_is_dropped_has_run() {
    let desk = start_desk().await;
    let faults = FaultSettings {
        drop_answer: true,
        ..FaultSettings::default()
    };
    desk.set_faults(faults).await;
    let outcome = caller().service(desk.address(), &booking_call("r1")).await;
    assert!(
        matches!(outcome.verdict, CallVerdict::Broken { .. }),
        "{:?}",
        outcome.verdict
    );
    assert_eq!(desk.ledger().await.expect("the desk is open").runs.len(), 1);
    desk.close().await;
}

#[tokio::test]
async fn silence_affects_open_connections_but_not_new_ones() {
    let desk = start_desk().await;
    let caller = caller();
    let outcome = caller.service(desk.address(), &booking_call("r1")).await;
    assert_eq!(outcome.verdict, CallVerdict::Complete);
    let faults = FaultSettings {
        silent: true,
        ..FaultSettings::default()
    };
    desk.set_faults(faults).await;
    let outcome = caller.service(desk.address(), &booking_call("r2")).await;
    assert!(
        matches!(outcome.verdict, CallVerdict::Broken { .. }),
        "{:?}",
        outcome.verdict
    );
    let outcome = caller.service(desk.address(), &booking_call("r3")).await;
    assert_eq!(outcome.verdict, CallVerdict::Complete);
    let ledger = desk.ledger().await.expect("the desk is open");
    let ran: Vec<_> = ledger
        .runs
        .iter()
        .filter_map(|run| run.request_id.as_deref())
        .collect();
    assert_eq!(ran, ["r1", "r3"]);
    desk.close().await;
}

#[tokio::test]
async fn connections_are_accepted_again_after_the_fault_is_cleared() {
    let desk = start_desk().await;
    let client = reqwest::Client::new();
    let faults = format!("http://{}/faults", desk.control_address());
    let refuse = FaultSettings {
        refuse_connections: true,
        ..FaultSettings::default()
    };
    let set = client.post(&faults).json(&refuse).send().await;
    assert_eq!(set.expect("the control address answers").status(), 204);
    let error = client
        .get(format!("http://{}/anything", desk.address()))
        .send()
        .await
        .expect_err("the connection is refused");
    assert!(error.is_connect(), "{error:?}");
    let cleared = client.delete(&faults).send().await;
    assert_eq!(cleared.expect("the control address answers").status(), 204);
    let outcome = caller().service(desk.address(), &booking_call("r1")).await;
    assert_eq!(outcome.verdict, CallVerdict::Complete);
    desk.close().await;
}

#[tokio::test]
async fn a_draining_desk_refuses_new_calls() {
    let desk = start_desk().await;
    let drain = format!("http://{}/drain", desk.control_address());
    let drained = reqwest::Client::new().post(drain).send().await;
    assert_eq!(drained.expect("the control address answers").status(), 204);
    let outcome = caller().service(desk.address(), &booking_call("r1")).await;
    assert!(
        matches!(outcome.verdict, CallVerdict::Refused(_)),
        "{:?}",
        outcome.verdict
    );
    assert!(
        desk.ledger()
            .await
            .expect("the desk is open")
            .runs
            .is_empty()
    );
    desk.close().await;
}

#[tokio::test]
async fn the_delay_fault_delays_each_call() {
    let desk = start_desk().await;
    let faults = FaultSettings {
        delay_ms: 60,
        ..FaultSettings::default()
    };
    desk.set_faults(faults).await;
    let outcome = caller().service(desk.address(), &booking_call("r1")).await;
    assert_eq!(outcome.verdict, CallVerdict::Complete);
    assert!(outcome.time >= Duration::from_millis(60));
    desk.close().await;
}
