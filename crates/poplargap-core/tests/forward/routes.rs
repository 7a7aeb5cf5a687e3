use {
    poplargap_core::forward::{
        AccessRefusal, ClientLimits, PromptPart, RepeatRule, RouteEntry, RouteTable, ServiceShare,
        WorkspaceEntry, placement_key, shared_tokens,
    },
    std::time::Duration,
};

pub(crate) fn route(name: &str, prefix: &str, is_public: bool) -> RouteEntry {
    RouteEntry {
        caches_prompts: false,
        gap_target: Duration::ZERO,
        homes: Vec::new(),
        host: "shop.example".to_owned(),
        is_public,
        is_stream: false,
        latency_target: Duration::from_millis(100),
        max_attempts: 2,
        name: name.into(),
        prefix: prefix.to_owned(),
        priority: 0,
        repeat: RepeatRule::Idempotent,
        shares: vec![
            ServiceShare {
                service: "old".into(),
                weight: 90,
            },
            ServiceShare {
                service: "new".into(),
                weight: 10,
            },
        ],
        timeout: Duration::from_secs(1),
    }
}

fn table() -> RouteTable {
    let routes = vec![
        route("short", "/a/", false),
        route("long", "/a/b/", false),
        route("open", "/open/", true),
    ];
    let workspace = WorkspaceEntry {
        homes: Vec::new(),
        keys: vec!["key-1".to_owned()],
        name: "ty-bach".into(),
        priority: None,
    };
    RouteTable::new(
        7,
        routes,
        Vec::new(),
        Some(vec![workspace]),
        ClientLimits::default(),
    )
}

#[test]
fn longest_prefix_matches_whatever_the_case_and_port_of_the_host() {
    let table = table();
    let name = |host, path| {
        let grant = table
            .grant(host, path, Some("key-1"))
            .expect("the request is admitted");
        grant.route.name.to_string()
    };
    assert_eq!(name("shop.example", "/a/b/c"), "long");
    assert_eq!(name("SHOP.example:8080", "/a/c"), "short");
}

#[test]
fn unknown_paths_and_unknown_keys_are_distinguished() {
    let table = table();
    let refusal = |path, key| table.grant("shop.example", path, key).err();
    assert_eq!(refusal("/c/", Some("key-1")), Some(AccessRefusal::NoRoute));
    assert_eq!(refusal("/a", Some("key-1")), Some(AccessRefusal::NoRoute));
    assert_eq!(
        refusal("/a/x", Some("key-2")),
        Some(AccessRefusal::UnknownKey)
    );
    assert_eq!(refusal("/a/x", None), Some(AccessRefusal::UnknownKey));
    assert_eq!(refusal("/open/x", None), None);
}

#[test]
fn weights_are_respected_and_equal_points_select_equal_services() {
    let route = route("short", "/a/", false);
    let new = (0..1_000)
        .filter(|point| {
            route
                .service_at(*point)
                .is_some_and(|name| name.as_ref() == "new")
        })
        .count();
    assert_eq!(new, 100);
    assert_eq!(route.service_at(12_345), route.service_at(12_345));
}

#[test]
fn prompts_with_the_same_shared_parts_have_the_same_key() {
    let part = |hash, tokens| PromptPart { hash, tokens };
    let first = [part(1, 100), part(2, 900), part(3, 50)];
    let second = [part(1, 100), part(2, 900), part(4, 60)];
    let other = [part(5, 100), part(2, 900), part(3, 50)];
    assert_eq!(placement_key(&first), placement_key(&second));
    assert_ne!(placement_key(&first), placement_key(&other));
    assert_eq!(shared_tokens(&first), 1_000);
    assert_eq!(placement_key(&[]), None);
    assert_eq!(shared_tokens(&[part(1, 7)]), 7);
}

#[test]
fn keys_do_not_show_in_debug_output() {
    let workspace = WorkspaceEntry {
        homes: Vec::new(),
        keys: vec!["secret-key".to_owned()],
        name: "ty-bach".into(),
        priority: None,
    };
    assert!(!format!("{workspace:?} {:?}", table()).contains("key-1"));
    assert!(!format!("{workspace:?}").contains("secret"));
}
