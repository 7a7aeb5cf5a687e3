//! Every kind of control traffic is counted.

use {
    poplargap_testbed::site::{EmbeddedSite, SitePlan},
    std::time::Duration,
    tokio::time,
};

const CHANGES_MAX: u32 = 20;
const CHANGE_PAUSE: Duration = Duration::from_millis(500);

#[tokio::test]
async fn every_kind_of_control_traffic_is_counted() {
    let plan = SitePlan::new(&["holyhead"], 3, 2, 1, 1);
    let site = EmbeddedSite::start(&plan).await.expect("the site starts");
    let total = |kind: &str| -> Vec<u64> {
        site.daemons()
            .iter()
            .map(|daemon| daemon.metrics().control.total(kind))
            .collect()
    };
    // The third daemon watches the store until it has received heartbeats from the others; then it
    // reads the catalogue from them.
    for number in 0..CHANGES_MAX {
        let added = format!("[data-centre added-{number}]\n");
        site.apply(&added).await.expect("the change is accepted");
        time::sleep(CHANGE_PAUSE).await;
        if total("catalogue")[2] > 0 {
            break;
        }
    }
    for kind in ["heartbeat", "store", "vm-list"] {
        let totals = total(kind);
        assert!(totals.iter().all(|bytes| *bytes > 0), "{kind}: {totals:?}");
    }
    assert!(
        total("catalogue")[2] > 0,
        "the third daemon reads from its peers"
    );
    assert!(total("load-probe").iter().sum::<u64>() > 0);
    site.close().await;
}
