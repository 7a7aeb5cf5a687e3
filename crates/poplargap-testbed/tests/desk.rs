//! Tests of the desk stand-in through HTTP.

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

fn booking(request_id: &str) -> ServiceCall {
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

async fn start() -> DeskStandIn {
    DeskStandIn::start(DeskSettings::default())
        .await
        .expect("a free port exists")
}

async fn ledger_over_http(address: SocketAddr) -> DeskLedger {
    let response = reqwest::get(format!("http://{address}/ledger")).await;
    let response = response.expect("the desk answers");
    response.json().await.expect("the ledger is JSON")
}

#[tokio::test]
async fn each_call_runs_also_with_the_same_key() {
    let desk = start().await;
    let caller = caller();
    for request_id in ["r1", "r2"] {
        let outcome = caller.service(desk.address(), &booking(request_id)).await;
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
    let desk = start().await;
    let faults = FaultSettings {
        refuse: true,
        ..FaultSettings::default()
    };
    desk.set_faults(faults).await;
    let outcome = caller().service(desk.address(), &booking("r1")).await;
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
async fn a_dropped_answer_belongs_to_a_call_that_ran() {
    let desk = start().await;
    let faults = FaultSettings {
        drop_answer: true,
        ..FaultSettings::default()
    };
    desk.set_faults(faults).await;
    let outcome = caller().service(desk.address(), &booking("r1")).await;
    assert!(
        matches!(outcome.verdict, CallVerdict::Broken { .. }),
        "{:?}",
        outcome.verdict
    );
    assert_eq!(desk.ledger().await.expect("the desk is open").runs.len(), 1);
    desk.close().await;
}

#[tokio::test]
async fn a_silent_connection_stays_silent_and_a_new_one_works() {
    let desk = start().await;
    let caller = caller();
    let outcome = caller.service(desk.address(), &booking("r1")).await;
    assert_eq!(outcome.verdict, CallVerdict::Complete);
    let faults = FaultSettings {
        silent: true,
        ..FaultSettings::default()
    };
    desk.set_faults(faults).await;
    let outcome = caller.service(desk.address(), &booking("r2")).await;
    assert!(
        matches!(outcome.verdict, CallVerdict::Broken { .. }),
        "{:?}",
        outcome.verdict
    );
    let outcome = caller.service(desk.address(), &booking("r3")).await;
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
async fn refused_connections_work_again_once_the_fault_is_cleared() {
    let desk = start().await;
    let client = reqwest::Client::new();
    let faults = format!("http://{}/faults", desk.control_address());
    let refuse = FaultSettings {
        refuse_connections: true,
        ..FaultSettings::default()
    };
    let set = client.post(&faults).json(&refuse).send().await;
    assert_eq!(set.expect("control answers").status(), 204);
    let error = client
        .get(format!("http://{}/anything", desk.address()))
        .send()
        .await
        .expect_err("the connection is refused");
    assert!(error.is_connect(), "{error:?}");
    let cleared = client.delete(&faults).send().await;
    assert_eq!(cleared.expect("control answers").status(), 204);
    let outcome = caller().service(desk.address(), &booking("r1")).await;
    assert_eq!(outcome.verdict, CallVerdict::Complete);
    desk.close().await;
}

#[tokio::test]
async fn a_draining_desk_takes_no_new_call() {
    let desk = start().await;
    let drain = format!("http://{}/drain", desk.control_address());
    let drained = reqwest::Client::new().post(drain).send().await;
    assert_eq!(drained.expect("control answers").status(), 204);
    let outcome = caller().service(desk.address(), &booking("r1")).await;
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
async fn a_delay_holds_up_each_call() {
    let desk = start().await;
    let faults = FaultSettings {
        delay_ms: 60,
        ..FaultSettings::default()
    };
    desk.set_faults(faults).await;
    let outcome = caller().service(desk.address(), &booking("r1")).await;
    assert_eq!(outcome.verdict, CallVerdict::Complete);
    assert!(outcome.time >= Duration::from_millis(60));
    desk.close().await;
}
