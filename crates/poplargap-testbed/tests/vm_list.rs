//! Tests of the stand-in's answers to queries for a part of the VM list.

use {
    poplargap_store::{HttpVmList, VmAnswer, VmEntry, VmList, VmQuery, VmRole, VmState},
    poplargap_testbed::store::StoreStandIn,
    reqwest::Client,
    std::{
        net::{Ipv4Addr, SocketAddr},
        time::Duration,
    },
};

fn entry(role: VmRole, name: &str, data_centre: &str, state: VmState) -> VmEntry {
    VmEntry {
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        data_centre: data_centre.parse().expect("the name is right"),
        name: name.to_owned(),
        role,
        state,
    }
}

async fn put(store: &StoreStandIn, vms: &[VmEntry]) {
    let url = format!("http://{}/v1/vms", store.address());
    let response = Client::new().put(url).json(vms).send().await;
    assert!(
        response
            .expect("the stand-in answers")
            .status()
            .is_success()
    );
}

#[tokio::test]
async fn selected_part_is_sent_again_only_after_it_changes() {
    let store = StoreStandIn::start(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).await;
    let store = store.expect("the stand-in starts");
    let near = [
        entry(VmRole::Entry, "near-1", "holyhead", VmState::Live),
        entry(VmRole::Upstream, "engine-1", "holyhead", VmState::Leaving),
    ];
    let far = [
        entry(VmRole::Entry, "far-3", "nefyn", VmState::Live),
        entry(VmRole::Entry, "far-1", "nefyn", VmState::Leaving),
        entry(VmRole::Entry, "far-2", "nefyn", VmState::Live),
        entry(VmRole::Upstream, "engine-2", "nefyn", VmState::Live),
    ];
    put(&store, &[near.as_slice(), &far].concat()).await;
    let list = HttpVmList::new(store.address(), Duration::from_secs(5)).expect("it starts");
    let query = VmQuery {
        data_centre: "holyhead".parse().expect("the name is right"),
        far_entries_max: 1,
    };

    let answer = list.query_vms(&query, None).await.expect("it answers");
    let VmAnswer::Listed { entries, tag } = answer else {
        panic!("the first answer lists");
    };
    assert_eq!(entries, [near.as_slice(), &far[2..3]].concat());

    // A change of an upstream in another data centre doesn't change the selected part.
    put(&store, &[near.as_slice(), &far[..3]].concat()).await;
    let answer = list.query_vms(&query, tag.as_ref()).await;
    assert_eq!(answer, Ok(VmAnswer::Unchanged));

    put(&store, &near[..1]).await;
    let answer = list.query_vms(&query, tag.as_ref()).await;
    let Ok(VmAnswer::Listed { entries, .. }) = answer else {
        panic!("the changed part is listed");
    };
    assert_eq!(entries, near[..1]);
    store.close().await;
}
