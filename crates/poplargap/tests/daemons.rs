//! Commands against a site of running daemons.

mod support;

use {
    poplargap_testbed::{
        caller::{CallVerdict, CallerClient, ChatSession, ChatTurn},
        site::{EmbeddedSite, SitePlan},
    },
    std::time::Duration,
    support::console::Console,
    tokio::time::{Instant, sleep},
};

const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(5);
const POLL: Duration = Duration::from_millis(50);
const TOKEN: &str = "operator-token-of-a-test-site";

/// Returns a console on a site's store, and the arguments that name the site's daemons.
async fn open(site: &EmbeddedSite) -> (Console, String) {
    let console = Console::open().await;
    let console = console.with_store(Some(site.store())).with_token(TOKEN);
    let daemons = site.operators();
    let daemons = daemons.iter().map(|daemon| format!("--daemon {daemon} "));
    (console, daemons.collect())
}

#[tokio::test(flavor = "multi_thread")]
async fn accepted_edit_comes_into_force_on_every_daemon() {
    let site = EmbeddedSite::start(&SitePlan::new(&["ne1", "ne2"], 4, 2, 1, 1))
        .await
        .expect("the site starts");
    let (console, daemons) = open(&site).await;
    console.file("a.ini", "[data-centre ne3]\n");
    let accepted = console.run("apply a.ini").await.status(0).text();
    let revision = accepted.trim_end().rsplit(' ').next();
    let revision: u64 = revision
        .and_then(|revision| revision.parse().ok())
        .expect("the receipt names the revision");
    let deadline = Instant::now() + IN_FORCE_TIMEOUT;
    loop {
        let status = console
            .run(&format!("status {daemons}"))
            .await
            .status(0)
            .text();
        assert_eq!(status.lines().count(), 4, "{status}");
        let oldest = status
            .split([' ', ','])
            .nth(1)
            .and_then(|oldest| oldest.parse().ok());
        if oldest.is_some_and(|oldest: u64| oldest >= revision) {
            break;
        }
        assert!(
            Instant::now() < deadline,
            "revision {revision} isn't in force: {status}"
        );
        sleep(POLL).await;
    }
    console.close().await;
    site.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn explain_names_the_class_and_the_upstream() {
    let site = EmbeddedSite::start(&SitePlan::new(&["ne1"], 2, 2, 1, 1))
        .await
        .expect("the site starts");
    let (console, daemons) = open(&site).await;
    let caller = CallerClient::new("key-of-w01", IN_FORCE_TIMEOUT).expect("the caller starts");
    let turn = ChatTurn {
        class: Some("w01.notes".to_owned()),
        content: "pass or fail for this matched pair".to_owned(),
        deadline: None,
        max_tokens: 5,
        request_id: "r1".to_owned(),
        stream: false,
    };
    let mut session = ChatSession::new("chat-1".to_owned(), "curve");
    let outcome = caller.chat(site.callers()[0], &mut session, &turn).await;
    assert_eq!(outcome.verdict, CallVerdict::Complete);
    let text = console
        .run(&format!("explain {daemons} r1"))
        .await
        .status(0)
        .text();
    for expected in [
        "r1 at ",
        "identified as class `w01.notes`",
        "placed on upstream",
        "settled: ",
    ] {
        assert!(text.contains(expected), "{text}");
    }
    let console = console.with_token("another-token-of-16-characters");
    let text = console
        .run(&format!("status {daemons}"))
        .await
        .status(1)
        .text();
    assert_eq!(
        text.matches("refuses the operators' token").count(),
        2,
        "{text}"
    );
    console.close().await;
    site.close().await;
}
