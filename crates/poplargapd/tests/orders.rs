//! Orders from running daemons to engines, checked against the engines' ledgers.

use {
    poplargap_core::{
        catalogue::FencingCheck,
        order::{OrderKind, WeightLoadRecord},
    },
    poplargap_platform::StoreClient,
    poplargap_store::KeyValueStore,
    poplargap_testbed::{
        caller::{CallVerdict, CallerClient, ChatSession, ChatTurn},
        engine::OrderRecord,
        fault::FaultSettings,
        site::{EmbeddedSite, ProcessSite, SitePlan, SiteUpstreams, StatusClient},
        store::StoreFaults,
    },
    reqwest::Client,
    serde_json::Value,
    socket2::{Domain, Socket, Type},
    std::{
        net::SocketAddr,
        path::Path,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    tokio::{io::AsyncReadExt, net::TcpListener, time},
};

const PROGRAM: &str = env!("CARGO_BIN_EXE_poplargapd");
const POLL: Duration = Duration::from_millis(20);
const STORE_TIMEOUT: Duration = Duration::from_secs(2);
const WAIT_MAX: Duration = Duration::from_secs(30);

/// The store refuses all calls.
const REFUSE: StoreFaults = StoreFaults {
    delay_ms: 0,
    drop_answer: false,
    drop_next_answers: 0,
    lag_ms: 0,
    old_copies: false,
    refuse: true,
    silent: false,
};

/// Settings with a short lease and short orders.
const SHORT_LEASE: &str = "[timeouts]\norder = 1s\norder-lease = 2s\n";

fn plan(data_centres: &[&str], daemons: usize, engines: usize, fencing: FencingCheck) -> SitePlan {
    let mut plan = SitePlan::new(data_centres, daemons, engines, 1, 1);
    plan.engine.fencing = fencing;
    plan.fencing = fencing;
    SHORT_LEASE.clone_into(&mut plan.extra_settings);
    plan
}

/// Returns the declaration of the engine with this number, with the keys `orders`.
fn upstream(upstreams: &SiteUpstreams, plan: &SitePlan, number: usize, orders: &str) -> String {
    let data_centre = plan.data_centre_of(number);
    let address = upstreams.engines[number]
        .as_ref()
        .expect("the engine runs")
        .address();
    format!(
        "[upstream curve-{data_centre}-{number:02}]\npool = curve\naddress = {address}\n\
         data-centre = {data_centre}\nfencing = {}\n{orders}\n",
        plan.fencing
    )
}

async fn ledger(upstreams: &SiteUpstreams, number: usize) -> Vec<OrderRecord> {
    let engine = upstreams.engines[number].as_ref().expect("the engine runs");
    engine.ledger().await.expect("the engine answers").orders
}

/// Returns the kinds and values of the accepted orders.
fn accepted_orders(orders: &[OrderRecord]) -> Vec<String> {
    let accepted = orders.iter().filter(|record| record.accepted);
    let order = accepted.map(|record| &record.order);
    order
        .map(|order| format!("{} {}", order.order, order.value))
        .collect()
}

async fn wait_until<F: Future<Output = bool>>(condition: &str, mut holds: impl FnMut() -> F) {
    let end = Instant::now() + WAIT_MAX;
    while !holds().await {
        assert!(Instant::now() < end, "timed out waiting until {condition}");
        time::sleep(POLL).await;
    }
}

async fn wait_for_orders(upstreams: &SiteUpstreams, number: usize, expected: &[&str]) {
    let end = Instant::now() + WAIT_MAX;
    loop {
        let orders = ledger(upstreams, number).await;
        if accepted_orders(&orders) == expected {
            return;
        }
        assert!(
            Instant::now() < end,
            "timed out waiting for {expected:?}: {orders:?}"
        );
        time::sleep(POLL).await;
    }
}

async fn set_store_faults(store: SocketAddr, faults: StoreFaults) {
    let url = format!("http://{store}/faults");
    let answer = Client::new().post(url).json(&faults).send().await;
    answer
        .and_then(reqwest::Response::error_for_status)
        .expect("the store takes faults");
}

/// Reads a value from the store.
async fn stored(store: SocketAddr, key: &str) -> Option<String> {
    let client = StoreClient::new(store, STORE_TIMEOUT).expect("the client is set up");
    let stored = client.get(key).await.ok()?;
    stored.map(|stored| stored.value)
}

async fn holder(store: SocketAddr, data_centre: &str) -> Option<String> {
    let value = stored(store, &format!("poplargap/orders/{data_centre}/holder")).await?;
    let record: Value = serde_json::from_str(&value).ok()?;
    Some(record.get("holder")?.as_str()?.to_owned())
}

#[tokio::test(flavor = "multi_thread")]
async fn edit_leads_to_orders_and_restart_repeats_them() {
    let plan = plan(&["ne1", "ne2"], 4, 2, FencingCheck::Checked);
    let mut site = EmbeddedSite::start(&plan).await.expect("the site starts");
    assert_eq!(holder(site.store(), "ne1").await, None);
    let text = upstream(
        site.upstreams(),
        &plan,
        0,
        "model-version = 7\nadapters = hide, leather\nrole = prefill",
    );
    site.apply(&text).await.expect("the edit is accepted");
    let all = [
        "load-model curve",
        "version 7",
        "adapter hide",
        "adapter leather",
        "role prefill",
    ];
    wait_for_orders(site.upstreams(), 0, &all).await;
    assert!(ledger(site.upstreams(), 1).await.is_empty());
    assert_eq!(holder(site.store(), "ne2").await, None);

    let text = text.replace("prefill", "decode");
    site.apply(&text).await.expect("the edit is accepted");
    let mut more = all.to_vec();
    more.push("role decode");
    wait_for_orders(site.upstreams(), 0, &more).await;

    let upstreams = site.upstreams();
    let address = upstreams.stop_engine(0).await.expect("the engine runs");
    time::sleep(Duration::from_secs(2)).await;
    let restarted = upstreams.restart_engine(0, address).await;
    restarted.expect("the address is free");
    let mut again = all.to_vec();
    again[4] = "role decode";
    wait_for_orders(site.upstreams(), 0, &again).await;
    site.close().await;
}

/// Waits until an acknowledged order is in the store, since a new holder repeats other orders.
async fn wait_for_record(store: SocketAddr, value: &str) {
    wait_until("the store has what the engine acknowledged", || async {
        let record = stored(store, "poplargap/orders/ne1/acknowledged").await;
        record.is_some_and(|record| record.contains(value))
    })
    .await;
}

fn signal(site: &ProcessSite, name: &str, signal: &str) {
    let daemon = site.daemons.iter().find(|daemon| daemon.name == name);
    let daemon = daemon.expect("the daemon is one of the site's");
    daemon.signal(signal).expect("the daemon runs");
}

/// Pauses the lease holder, lets another daemon acquire the lease, and resumes the first without a
/// store.
///
/// The second order adds to the first, so that giving it needs no call to the store.
async fn check_frozen_holder(fencing: FencingCheck) {
    let plan = plan(&["ne1"], 2, 1, fencing);
    let mut site = ProcessSite::start(&plan, Path::new(PROGRAM))
        .await
        .expect("the site starts");
    let mut text = upstream(site.upstreams(), &plan, 0, "adapters = hide");
    site.apply(&text).await.expect("the edit is accepted");
    wait_for_orders(site.upstreams(), 0, &["adapter hide"]).await;
    let store = site.store();
    wait_for_record(store, "hide").await;
    let first = holder(store, "ne1").await.expect("someone holds the lease");
    signal(&site, &first, "STOP");
    text += "role = decode\n";
    site.apply(&text).await.expect("the edit is accepted");
    wait_for_orders(site.upstreams(), 0, &["adapter hide", "role decode"]).await;
    assert_ne!(holder(store, "ne1").await, Some(first.clone()));
    set_store_faults(store, REFUSE).await;
    signal(&site, &first, "CONT");
    time::sleep(Duration::from_secs(4)).await;
    let orders = ledger(site.upstreams(), 0).await;
    let fences: Vec<u64> = orders.iter().map(|record| record.order.fence).collect();
    assert!(fences.len() == 2 && fences[0] < fences[1], "{orders:?}");
    site.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn frozen_holder_sends_nothing_stale_to_engines_that_ignore_fencing() {
    check_frozen_holder(FencingCheck::Ignored).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn frozen_holder_sends_nothing_stale_to_engines_that_check_fencing() {
    check_frozen_holder(FencingCheck::Checked).await;
}

/// Returns a listener with a full backlog, which keeps further connections waiting.
fn full_listener() -> (TcpListener, std::net::TcpStream) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    let free = SocketAddr::from(([127, 0, 0, 1], 0));
    socket.bind(&free.into()).expect("a free port");
    socket.listen(0).expect("the socket listens");
    socket.set_nonblocking(true).expect("the socket is set");
    let listener = TcpListener::from_std(socket.into()).expect("the listener starts");
    let address = listener.local_addr().expect("the listener has an address");
    let filler = std::net::TcpStream::connect(address).expect("there is room for one");
    (listener, filler)
}

/// Accepts all connections and collects the bytes that they send.
async fn collect(listener: TcpListener, seen: Arc<Mutex<Vec<u8>>>) {
    while let Ok((mut connection, _)) = listener.accept().await {
        let seen = Arc::clone(&seen);
        tokio::spawn(async move {
            let mut bytes = Vec::new();
            while connection
                .read_buf(&mut bytes)
                .await
                .is_ok_and(|len| len > 0)
            {
                seen.lock().expect("no reader panics").append(&mut bytes);
            }
        });
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn order_whose_connection_is_established_after_the_lease_is_never_given() {
    let mut plan = plan(&["ne1"], 1, 1, FencingCheck::Checked);
    plan.extra_settings = "[timeouts]\nconnect = 20s\norder = 30s\norder-lease = 2s\n".to_owned();
    let site = ProcessSite::start(&plan, Path::new(PROGRAM))
        .await
        .expect("the site starts");
    let (listener, filler) = full_listener();
    let address = listener.local_addr().expect("the listener has an address");
    let text = format!(
        "[upstream slow]\npool = curve\naddress = {address}\ndata-centre = ne1\n\
         fencing = checked\nrole = prefill\n"
    );
    site.apply(&text).await.expect("the edit is accepted");
    let operators = site.daemons[0].operators;
    wait_until("an order is outstanding", || async {
        let metrics = StatusClient::default().metrics(operators).await;
        metrics.get("poplargap_orders_outstanding") == Some(&1.0)
    })
    .await;
    time::sleep(Duration::from_millis(300)).await;
    site.daemons[0].signal("STOP").expect("the daemon runs");
    let seen = Arc::new(Mutex::new(Vec::new()));
    let collector = tokio::spawn(collect(listener, Arc::clone(&seen)));
    set_store_faults(site.store(), REFUSE).await;
    time::sleep(Duration::from_secs(4)).await;
    site.daemons[0].signal("CONT").expect("the daemon runs");
    wait_until("the connection is used or dropped", || async {
        let metrics = StatusClient::default().metrics(operators).await;
        metrics.get("poplargap_orders_lease_held") == Some(&0.0)
    })
    .await;
    time::sleep(Duration::from_secs(2)).await;
    let text = String::from_utf8_lossy(&seen.lock().expect("no reader panics")).into_owned();
    assert!(!text.contains("fence"), "{text}");
    drop(filler);
    collector.abort();
    site.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn store_outage_stops_orders_but_not_requests() {
    let plan = plan(&["ne1"], 2, 1, FencingCheck::Checked);
    let mut site = EmbeddedSite::start(&plan).await.expect("the site starts");
    let text = upstream(site.upstreams(), &plan, 0, "role = prefill");
    site.apply(&text).await.expect("the edit is accepted");
    wait_for_orders(site.upstreams(), 0, &["role prefill"]).await;
    wait_for_record(site.store(), "prefill").await;
    set_store_faults(site.store(), REFUSE).await;
    let operators = site.operators();
    wait_until("the lease expires", || async {
        let mut held = 0.0;
        for daemon in &operators {
            let metrics = StatusClient::default().metrics(*daemon).await;
            held += metrics.get("poplargap_orders_lease_held").unwrap_or(&1.0);
        }
        held == 0.0
    })
    .await;
    let address = site.upstreams().stop_engine(0).await;
    let address = address.expect("the engine runs");
    let restarted = site.upstreams().restart_engine(0, address).await;
    restarted.expect("the address is free");
    time::sleep(Duration::from_secs(2)).await;
    assert!(ledger(site.upstreams(), 0).await.is_empty());
    let caller = CallerClient::new("key-of-w01", WAIT_MAX).expect("the caller starts");
    let turn = ChatTurn {
        class: Some("w01.notes".to_owned()),
        content: "pass or fail".to_owned(),
        deadline: None,
        max_tokens: 8,
        request_id: "outage".to_owned(),
        stream: true,
    };
    let mut session = ChatSession::new("outage", "curve");
    let outcome = caller.chat(site.callers()[0], &mut session, &turn).await;
    assert_eq!(outcome.verdict, CallVerdict::Complete);
    set_store_faults(site.store(), StoreFaults::default()).await;
    let text = text.replace("prefill", "decode");
    site.apply(&text).await.expect("the edit is accepted");
    wait_for_orders(site.upstreams(), 0, &["role decode"]).await;
    site.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_answers_of_the_store_lead_to_no_double_order() {
    let plan = plan(&["ne1"], 2, 1, FencingCheck::Checked);
    let mut site = EmbeddedSite::start(&plan).await.expect("the site starts");
    let text = upstream(site.upstreams(), &plan, 0, "role = prefill");
    site.apply(&text).await.expect("the edit is accepted");
    let lost = StoreFaults {
        drop_next_answers: 6,
        ..StoreFaults::default()
    };
    set_store_faults(site.store(), lost).await;
    wait_for_orders(site.upstreams(), 0, &["role prefill"]).await;
    time::sleep(Duration::from_secs(5)).await;
    assert_eq!(ledger(site.upstreams(), 0).await.len(), 1);
    site.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn loads_at_once_holds_over_all_data_centres() {
    let plan = plan(&["ne1", "ne2"], 2, 4, FencingCheck::Checked);
    let mut site = EmbeddedSite::start(&plan).await.expect("the site starts");
    let mut text = "[pool curve]\nkind = model\nmultiple = 1.5\nqueue = 256\nslots = 24\n\
                    loads-at-once = 1\n"
        .to_owned();
    let slow = FaultSettings {
        delay_ms: 300,
        ..FaultSettings::default()
    };
    for number in 0..4 {
        text += &upstream(site.upstreams(), &plan, number, "model-version = 7");
        let engine = site.upstreams().engines[number].as_ref();
        engine.expect("the engine runs").set_faults(slow).await;
    }
    site.apply(&text).await.expect("the edit is accepted");
    let end = Instant::now() + WAIT_MAX;
    let mut seen = 0;
    loop {
        let record = stored(site.store(), "poplargap/orders-loads/curve").await;
        let record = record.and_then(|value| serde_json::from_str::<WeightLoadRecord>(&value).ok());
        let tickets = record.map_or(0, |record| record.tickets.len());
        assert!(tickets <= 1, "{tickets} tickets");
        seen = seen.max(tickets);
        let mut loaded = 0;
        let mut partly = 0;
        for number in 0..4 {
            let orders = ledger(site.upstreams(), number).await;
            let kinds = orders.iter().map(|record| record.order.order);
            match kinds.collect::<Vec<_>>().as_slice() {
                [] => {}
                [OrderKind::LoadModel] => partly += 1,
                _ => loaded += 1,
            }
        }
        assert!(partly <= 1, "{partly} engines load at once");
        if loaded == 4 {
            break;
        }
        assert!(Instant::now() < end, "{loaded} engines loaded");
        time::sleep(POLL).await;
    }
    assert_eq!(seen, 1);
    site.close().await;
}
