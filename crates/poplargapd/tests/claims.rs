//! Bookings whose outcome can't be written to the store at once.

use {
    poplargap_testbed::{
        caller::{CallVerdict, CallerClient, ServiceCall, ServiceOutcome},
        relay::LinkFaults,
        site::{EmbeddedSite, SitePlan},
    },
    std::{net::SocketAddr, time::Duration},
    tokio::time,
    warp::http::Method,
};

const CALL_TIMEOUT: Duration = Duration::from_secs(20);
const SERVICE_TIME: Duration = Duration::from_secs(1);

async fn start() -> EmbeddedSite {
    let mut plan = SitePlan::new(&["ne1"], 2, 1, 1, 1);
    plan.desk.service_time = SERVICE_TIME;
    plan.relays = true;
    EmbeddedSite::start(&plan).await.expect("the site starts")
}

async fn send_booking(address: SocketAddr, id: &str) -> ServiceOutcome {
    let call = ServiceCall {
        class: Some("w01.bookings".to_owned()),
        idempotency_key: Some("one".to_owned()),
        method: Method::POST,
        path: "reservations/7".to_owned(),
        request_id: id.to_owned(),
        service: "desk".to_owned(),
    };
    let caller = CallerClient::new("key-of-w01", CALL_TIMEOUT).expect("the caller starts");
    caller.service(address, &call).await
}

async fn set_cut(site: &EmbeddedSite, cut: bool) {
    let faults = LinkFaults {
        cut,
        ..LinkFaults::default()
    };
    let relays = site.relays().expect("the plan asks for relays");
    relays.stores[0].set_faults(faults).await;
}

/// Sends a booking through the first daemon, which loses its link to the store before the answer.
async fn book_while_store_is_cut_off(site: &EmbeddedSite) -> ServiceOutcome {
    let address = site.callers()[0];
    let first = tokio::spawn(async move { send_booking(address, "first").await });
    time::sleep(SERVICE_TIME / 2).await;
    set_cut(site, true).await;
    first.await.expect("the booking's task ends")
}

#[tokio::test(flavor = "multi_thread")]
async fn outcome_is_written_once_the_store_can_be_reached_again() {
    let site = start().await;
    let first = book_while_store_is_cut_off(&site).await;
    assert_eq!(first.verdict, CallVerdict::Complete);
    time::sleep(SERVICE_TIME).await;
    set_cut(&site, false).await;
    let second = send_booking(site.callers()[1], "second").await;
    assert_eq!(
        first.answer.map(|answer| answer.booking),
        second.answer.map(|answer| answer.booking)
    );
    site.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn closing_daemon_writes_outcomes_first() {
    let mut site = start().await;
    let first = book_while_store_is_cut_off(&site).await;
    assert_eq!(first.verdict, CallVerdict::Complete);
    let relays = site.relays().expect("the plan asks for relays");
    let link = relays.stores[0].control();
    let reopen = async {
        time::sleep(SERVICE_TIME).await;
        link.set_faults(LinkFaults::default()).await;
    };
    let (cut, ()) = tokio::join!(site.close_daemon(0), reopen);
    assert_eq!(cut, 0);
    let second = send_booking(site.callers()[1], "second").await;
    assert_eq!(
        first.answer.map(|answer| answer.booking),
        second.answer.map(|answer| answer.booking)
    );
    site.close().await;
}
