//! Daemons that are paused for longer than the time after which peers count as lost, and resume.

use {
    poplargap_testbed::{
        caller::{CallVerdict, CallerClient, ChatOutcome, ChatSession, ChatTurn},
        site::{ProcessSite, SitePlan},
    },
    std::{net::SocketAddr, path::Path, time::Duration},
    tokio::time,
};

const CALL_TIMEOUT: Duration = Duration::from_secs(30);
const PROGRAM: &str = env!("CARGO_BIN_EXE_poplargapd");

/// Time after which an upstream that is leaving gets no new work.
const LEAVE_MAX: Duration = Duration::from_secs(4);

async fn send_chat(address: SocketAddr, id: String) -> ChatOutcome {
    let turn = ChatTurn {
        class: Some("w01.notes".to_owned()),
        content: format!("pass or fail for the matched pair {id}"),
        deadline: None,
        max_tokens: 4,
        request_id: id.clone(),
        stream: true,
    };
    let caller = CallerClient::new("key-of-w01", CALL_TIMEOUT).expect("the caller starts");
    let mut session = ChatSession::new(id, "curve");
    caller.chat(address, &mut session, &turn).await
}

/// Returns the ids of the requests that the first engine ran.
async fn runs(site: &mut ProcessSite) -> Vec<String> {
    let engine = site.upstreams().engines[0].as_ref().expect("it runs");
    let ledger = engine.ledger().await.expect("the engine answers");
    ledger.runs.into_iter().map(|run| run.request_id).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn resumed_daemon_sends_nothing_to_an_engine_drained_meanwhile() {
    let plan = SitePlan::new(&["ne1"], 2, 2, 1, 1);
    let mut site = ProcessSite::start(&plan, Path::new(PROGRAM))
        .await
        .expect("the site starts");
    for daemon in 0..site.daemons.len() {
        let address = site.daemons[daemon].callers;
        let outcome = send_chat(address, format!("warm-{daemon}")).await;
        assert_eq!(outcome.verdict, CallVerdict::Complete);
    }
    let engine = site.upstreams().engines[0].as_ref().expect("it runs");
    let name = plan.upstream_name(&plan.engines, 0);
    let text = format!(
        "[upstream {name}]\npool = curve\naddress = {}\ndata-centre = ne1\nfencing = checked\n\
         state = draining\n",
        engine.address()
    );
    for daemon in &site.daemons {
        daemon.signal("STOP").expect("the daemon runs");
    }
    site.apply(&text).await.expect("the edit is accepted");
    time::sleep(LEAVE_MAX).await;
    let before = runs(&mut site).await;
    let callers: Vec<SocketAddr> = site.daemons.iter().map(|daemon| daemon.callers).collect();
    let chats: Vec<_> = (0..24)
        .map(|number| {
            let address = callers[number % callers.len()];
            tokio::spawn(send_chat(address, format!("chat-{number}")))
        })
        .collect();
    time::sleep(Duration::from_millis(200)).await;
    for daemon in &site.daemons {
        daemon.signal("CONT").expect("the daemon runs");
    }
    for chat in chats {
        let outcome = chat.await.expect("the chat's task ends");
        assert_eq!(outcome.verdict, CallVerdict::Complete);
    }
    assert_eq!(runs(&mut site).await, before);
    site.close().await;
}
