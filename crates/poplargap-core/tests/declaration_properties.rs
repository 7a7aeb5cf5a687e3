//! Property tests of declarations with random entries and texts.

use {
    poplargap_core::{
        catalogue::{
            CatalogueEntry, ClassEntry, DataCentreEntry, EngineRole, EntryRecord, EntryRef,
            EntrySet, FencingCheck, KeyDigest, LimitSet, LoadMultiple, PoolEntry, PoolKind,
            PriorityClass, UpstreamEntry, UpstreamState, WorkspaceEntry,
            declaration::{CatalogueDeclaration, EntryChange, SourceText, diff, render},
        },
        finding::InputFindings,
        name::{
            AdapterName, ClassName, DataCentre, ModelVersion, PoolName, UpstreamName, WorkspaceName,
        },
    },
    proptest::{
        prelude::*,
        test_runner::{Config, RngSeed},
    },
    std::{
        fmt::Debug,
        net::{IpAddr, SocketAddr},
    },
};

const COMPLETE_CATALOGUE: &str = "\
[data-centre bangor]

[pool curves]
kind = model
multiple = 1.25
queue = 64
slots = 20

[upstream curves-1]
pool = curves
address = 10.0.0.9:9000
data-centre = bangor
fencing = checked

[workspace ty-bach]
key-sha256 = 9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08

[class bench-notes]
owner = ty-bach
pool = curves
priority = interactive
deadline = 20s
repeatable = yes
concurrency = 1
";

fn config_with_seed(seed: u64) -> Config {
    Config {
        cases: 512,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(seed),
        ..Config::default()
    }
}

fn name<T>() -> impl Strategy<Value = T>
where
    T: Debug + TryFrom<String, Error: Debug>,
{
    "[A-Za-z0-9_.:-]{1,20}".prop_map(|name| T::try_from(name).expect("the name is valid"))
}

fn class() -> impl Strategy<Value = CatalogueEntry> {
    let priority = prop_oneof![
        Just(PriorityClass::Interactive),
        Just(PriorityClass::Standard),
        Just(PriorityClass::Batch),
    ];
    let limits = (
        prop::option::of(1..=1_000_000_u32),
        prop::option::of(1..=1_000_000_u32),
        prop::option::of(1..=1_000_000_000_000_u64),
    );
    let names = (
        name::<ClassName>(),
        name::<WorkspaceName>(),
        name::<PoolName>(),
    );
    let fields = (1..=86_400_000_u64, limits, names, priority, any::<bool>());
    fields.prop_map(
        |(deadline_ms, limits, (name, owner, pool), priority, repeatable)| {
            CatalogueEntry::Class(ClassEntry {
                deadline_ms,
                limits: LimitSet {
                    concurrency: limits.0,
                    requests_per_second: limits.1,
                    tokens_per_minute: limits.2,
                },
                name,
                owner,
                pool,
                priority,
                repeatable,
            })
        },
    )
}

fn pool() -> impl Strategy<Value = CatalogueEntry> {
    let kind = prop_oneof![Just(PoolKind::Model), Just(PoolKind::Service)];
    let numbers = (
        1.0..=100.0_f64,
        0..=1_000_000_u32,
        1..=4096_u32,
        1..=65_536_u32,
    );
    let loads = prop::option::of(1..=4096_u32);
    let fields = (kind, loads, name(), numbers);
    fields.prop_map(
        |(kind, loads_at_once, name, (multiple, queue, shard_size, slots))| {
            CatalogueEntry::Pool(PoolEntry {
                kind,
                loads_at_once,
                multiple: LoadMultiple::try_from(multiple).expect("the multiple is in range"),
                name,
                queue,
                shard_size,
                slots,
            })
        },
    )
}

fn upstream() -> impl Strategy<Value = CatalogueEntry> {
    let fencing = prop_oneof![Just(FencingCheck::Checked), Just(FencingCheck::Ignored)];
    let state = prop_oneof![Just(UpstreamState::Draining), Just(UpstreamState::Serving)];
    let address = (any::<IpAddr>(), 1..=u16::MAX).prop_map(SocketAddr::from);
    let names = (
        name::<DataCentre>(),
        name::<UpstreamName>(),
        name::<PoolName>(),
    );
    let adapters = prop::collection::vec(name::<AdapterName>(), 0..4);
    let role = prop_oneof![
        Just(EngineRole::Decode),
        Just(EngineRole::Prefill),
        Just(EngineRole::Serve),
        Just(EngineRole::Standby),
    ];
    let version = prop::option::of(name::<ModelVersion>());
    let orders = (adapters, prop::option::of(role), version);
    let fields = (address, fencing, names, orders, state);
    fields.prop_map(|(address, fencing, names, orders, state)| {
        let (mut adapters, role, model_version) = orders;
        adapters.sort();
        adapters.dedup();
        CatalogueEntry::Upstream(UpstreamEntry {
            adapters,
            address,
            data_centre: names.0,
            fencing,
            model_version,
            name: names.1,
            pool: names.2,
            role,
            state,
        })
    })
}

fn entry() -> impl Strategy<Value = CatalogueEntry> {
    let data_centre = name().prop_map(|name| CatalogueEntry::DataCentre(DataCentreEntry { name }));
    let workspace = (any::<String>(), name()).prop_map(|(key, name)| {
        let key_sha256 = KeyDigest::of_key(&key);
        CatalogueEntry::Workspace(WorkspaceEntry { key_sha256, name })
    });
    prop_oneof![class(), data_centre, pool(), upstream(), workspace]
}

fn parse_text(text: &str) -> (CatalogueDeclaration, InputFindings) {
    let mut findings = InputFindings::default();
    let source = SourceText {
        file: "a.ini",
        text,
    };
    let declaration = CatalogueDeclaration::read(&[source], &mut findings);
    (declaration, findings)
}

proptest! {
    #![proptest_config(config_with_seed(72))]

    #[test]
    fn rendered_entries_parse_to_the_same_entries(entries in prop::collection::vec(entry(), 0..8)) {
        let entries: EntrySet = entries.into_iter().collect();
        let text: String = entries.iter().map(|(_, entry)| render(entry)).collect();
        let (declaration, findings) = parse_text(&text);
        prop_assert!(findings.is_empty(), "{findings}");
        prop_assert_eq!(declaration.merge(&EntrySet::default()), entries);
    }

    #[test]
    fn records_round_trip_through_json(entry in entry(), version in any::<u64>(), removed: bool) {
        let record = EntryRecord {
            entry: (!removed).then_some(entry),
            version,
            write_id: "0123".to_owned(),
        };
        let json = serde_json::to_string(&record).expect("a record is serializable");
        prop_assert_eq!(serde_json::from_str::<EntryRecord>(&json).expect("a record is parsed"), record);
    }

    #[test]
    fn changes_list_exactly_the_entries_that_differ(
        before in prop::collection::vec(entry(), 0..6),
        after in prop::collection::vec(entry(), 0..6),
        shared in prop::collection::vec(entry(), 0..3),
    ) {
        let before: EntrySet = before.into_iter().chain(shared.clone()).collect();
        let after: EntrySet = after.into_iter().chain(shared).collect();
        let changes = diff(&before, &after);
        let changed: Vec<EntryRef> = changes.iter().map(EntryChange::entry_ref).collect();
        for (entry, content) in &before {
            prop_assert_eq!(changed.contains(entry), after.get(entry) != Some(content));
        }
        for (entry, content) in &after {
            prop_assert_eq!(changed.contains(entry), before.get(entry) != Some(content));
        }
    }

    #[test]
    fn random_text_is_parsed_without_panic(text in ".*") {
        let (declaration, _) = parse_text(&text);
        let _findings = declaration.check_references(&EntrySet::default());
    }

    #[test]
    fn random_line_changes_are_parsed_or_reported(
        line in 0..24_usize,
        replacement in "\\[?(class|pool|upstream|remove|pool =|owner =|deadline =)[\\] a-z0-9=.,-]{0,16}",
    ) {
        let mut text: Vec<&str> = COMPLETE_CATALOGUE.lines().collect();
        text[line] = &replacement;
        let (declaration, findings) = parse_text(&text.join("\n"));
        let _references = declaration.check_references(&EntrySet::default());
        prop_assert!(declaration.entries().len() >= 4 || !findings.is_empty());
        let entries = declaration.merge(&EntrySet::default());
        let rendered: String = entries.iter().map(|(_, entry)| render(entry)).collect();
        prop_assert_eq!(parse_text(&rendered).0.merge(&EntrySet::default()), entries);
    }
}
