//! Tests of the messages between daemons: round trips, damaged messages and other input.

use {
    poplargap_core::{
        catalogue::PriorityClass,
        membership::{MemberReport, MemberState},
        name::UpstreamName,
        owner::PlaceRequest,
        retry::RunOutcome,
        shard::{ShardDigest, ShardId},
    },
    poplargap_link::{
        envelope::{RefusalReason, RelayEnvelope, RelayRefusal, RelayWork},
        heartbeat::{
            CentreSummary, DATAGRAM_LEN_MAX, DatagramError, FleetDatagram, HeartbeatMessage,
            PoolSummary, ResidualLoad, ShardReport,
        },
        proof::{CODE_LEN, FleetKey, ProofError},
    },
    proptest::{collection::vec, option, prelude::*, sample::Index, test_runner::RngSeed},
    std::{
        fmt::Debug,
        net::{Ipv4Addr, SocketAddr},
        str::FromStr,
    },
};

const SECRET: &str = "a-secret-that-no-log-shows";

fn config(seed: u64) -> ProptestConfig {
    ProptestConfig {
        cases: 128,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(seed),
        ..ProptestConfig::default()
    }
}

fn name<T>() -> impl Strategy<Value = T>
where
    T: Debug + FromStr,
    T::Err: Debug,
{
    "[a-zA-Z0-9._:-]{1,20}".prop_map(|text| text.parse().expect("a checked name"))
}

fn address() -> impl Strategy<Value = SocketAddr> {
    any::<(u32, u16)>().prop_map(|(ip, port)| SocketAddr::from((Ipv4Addr::from(ip), port)))
}

fn report() -> impl Strategy<Value = MemberReport> {
    let state = prop_oneof![
        Just(MemberState::Joining),
        Just(MemberState::Leaving),
        Just(MemberState::Ready),
    ];
    (any::<[u64; 3]>(), name(), address(), address(), state).prop_map(
        |([incarnation, revision, sequence], name, peers, relay, state)| MemberReport {
            incarnation,
            name,
            peers,
            relay,
            revision,
            sequence,
            state,
        },
    )
}

fn shard_report() -> impl Strategy<Value = ShardReport> {
    let residuals = vec(
        any::<(u32, u64)>().prop_map(|(in_flight, upstream)| ResidualLoad {
            in_flight,
            upstream,
        }),
        0..4,
    );
    (any::<(u64, u64, bool, u32, u32)>(), residuals).prop_map(
        |((digest, epoch, is_owner, in_flight, upstreams), residuals)| ShardReport {
            digest: ShardDigest(digest),
            epoch,
            is_owner,
            in_flight,
            residuals,
            upstreams,
        },
    )
}

fn summary() -> impl Strategy<Value = CentreSummary> {
    let pool = any::<(u32, u64, u32)>().prop_map(|(in_flight, pool, upstreams)| PoolSummary {
        in_flight,
        pool,
        upstreams,
    });
    (name(), vec(pool, 0..6)).prop_map(|(data_centre, pools)| CentreSummary { data_centre, pools })
}

fn datagram() -> impl Strategy<Value = FleetDatagram> {
    let heartbeat = (vec(summary(), 0..4), report(), vec(shard_report(), 0..6)).prop_map(
        |(centres, report, shards)| {
            FleetDatagram::Heartbeat(HeartbeatMessage {
                centres,
                report,
                shards,
            })
        },
    );
    prop_oneof![heartbeat, summary().prop_map(FleetDatagram::Summary)]
}

fn work() -> impl Strategy<Value = RelayWork> {
    let chat = (option::of(name()), any::<u64>())
        .prop_map(|(chat, resume_from)| RelayWork::Chat { chat, resume_from });
    let service = (
        option::of(".{0,20}"),
        option::of(name()),
        ".{0,8}",
        ".{0,20}",
    )
        .prop_map(
            |(content_type, idempotency_key, method, path)| RelayWork::Service {
                content_type,
                idempotency_key,
                method,
                path,
            },
        );
    prop_oneof![chat, service]
}

fn envelope() -> impl Strategy<Value = RelayEnvelope> {
    let place = (
        vec(name::<UpstreamName>(), 0..3),
        option::of(name()),
        ".{0,20}",
    )
        .prop_map(|(avoid, hint, key)| PlaceRequest { avoid, hint, key });
    let shard = (name(), any::<u32>(), name()).prop_map(|(data_centre, number, pool)| ShardId {
        data_centre,
        number,
        pool,
    });
    let priority = prop_oneof![
        Just(PriorityClass::Interactive),
        Just(PriorityClass::Standard),
        Just(PriorityClass::Batch),
    ];
    let scalars = any::<(u64, u8, bool, bool)>();
    (scalars, place, priority, name(), shard, work(), name()).prop_map(
        |(
            (deadline_ms, hops, repeatable, wait),
            place,
            priority,
            request_id,
            shard,
            work,
            workspace,
        )| {
            RelayEnvelope {
                deadline_ms,
                hops,
                place,
                priority,
                repeatable,
                request_id,
                shard,
                wait,
                work,
                workspace,
            }
        },
    )
}

fn refusal() -> impl Strategy<Value = RelayRefusal> {
    let reason = prop_oneof![
        Just(RefusalReason::Broken),
        Just(RefusalReason::Expired),
        Just(RefusalReason::Full),
        Just(RefusalReason::Moved),
        Just(RefusalReason::NoUpstream),
        Just(RefusalReason::QueueFull),
        Just(RefusalReason::Unreadable),
        Just(RefusalReason::Unreachable),
    ];
    let ran = prop_oneof![
        Just(RunOutcome::NotRun),
        Just(RunOutcome::Ran),
        Just(RunOutcome::Unknown),
    ];
    let wait = option::of(any::<u64>());
    (option::of(address()), ran, reason, wait, option::of(name())).prop_map(
        |(owner, ran, reason, retry_after_ms, upstream)| RelayRefusal {
            owner,
            ran,
            reason,
            retry_after_ms,
            upstream,
        },
    )
}

proptest! {
    #![proptest_config(config(1))]

    #[test]
    fn datagram_is_decoded_as_encoded(datagram in datagram()) {
        let key = FleetKey::new(SECRET);
        let sent = datagram.encode(&key).expect("the datagram is short");
        prop_assert!(sent.len() <= DATAGRAM_LEN_MAX);
        prop_assert_eq!(FleetDatagram::decode(&sent, &key), Ok(datagram));
    }

    #[test]
    fn flipped_bit_fails_authentication(datagram in datagram(), at in any::<Index>(), bit in 0_u8..8) {
        let key = FleetKey::new(SECRET);
        let mut sent = datagram.encode(&key).expect("the datagram is short");
        let at = at.index(sent.len());
        sent[at] ^= 1 << bit;
        let mismatch = DatagramError::Proof(ProofError::Mismatch);
        prop_assert_eq!(FleetDatagram::decode(&sent, &key), Err(mismatch));
    }

    #[test]
    fn truncated_datagram_fails_authentication(datagram in datagram(), len in any::<Index>()) {
        let key = FleetKey::new(SECRET);
        let sent = datagram.encode(&key).expect("the datagram is short");
        let len = len.index(sent.len());
        let error = if len < CODE_LEN { ProofError::Short } else { ProofError::Mismatch };
        let decoded = FleetDatagram::decode(&sent[..len], &key);
        prop_assert_eq!(decoded, Err(DatagramError::Proof(error)));
    }

    #[test]
    fn another_secret_fails_authentication(datagram in datagram(), secret in ".{0,40}") {
        prop_assume!(secret != SECRET);
        let sent = datagram.encode(&FleetKey::new(&secret)).expect("the datagram is short");
        let decoded = FleetDatagram::decode(&sent, &FleetKey::new(SECRET));
        prop_assert_eq!(decoded, Err(DatagramError::Proof(ProofError::Mismatch)));
    }

    #[test]
    fn any_bytes_are_refused(bytes in vec(any::<u8>(), 0..600)) {
        let error = if bytes.len() < CODE_LEN { ProofError::Short } else { ProofError::Mismatch };
        let decoded = FleetDatagram::decode(&bytes, &FleetKey::new(SECRET));
        prop_assert_eq!(decoded, Err(DatagramError::Proof(error)));
    }

    #[test]
    fn any_signed_bytes_give_a_datagram_or_an_error(mut bytes in vec(any::<u8>(), 0..600)) {
        let key = FleetKey::new(SECRET);
        key.sign(&mut bytes);
        if let Err(error) = FleetDatagram::decode(&bytes, &key) {
            prop_assert!(matches!(error, DatagramError::Malformed(_)), "{error}");
        }
    }

    #[test]
    fn damaged_but_signed_datagram_gives_a_datagram_or_an_error(
        datagram in datagram(),
        at in any::<Index>(),
        byte in any::<u8>(),
    ) {
        let key = FleetKey::new(SECRET);
        let mut bytes = datagram.encode(&key).expect("the datagram is short");
        bytes.truncate(bytes.len() - CODE_LEN);
        let at = at.index(bytes.len());
        bytes[at] = byte;
        key.sign(&mut bytes);
        if let Err(error) = FleetDatagram::decode(&bytes, &key) {
            prop_assert!(matches!(error, DatagramError::Malformed(_)), "{error}");
        }
    }

    #[test]
    fn envelope_is_decoded_as_encoded(envelope in envelope()) {
        let text = serde_json::to_string(&envelope).expect("an envelope is JSON");
        let read: RelayEnvelope = serde_json::from_str(&text).expect("the envelope is read");
        prop_assert_eq!(read, envelope);
    }

    #[test]
    fn refusal_is_decoded_as_encoded(refusal in refusal()) {
        let text = serde_json::to_string(&refusal).expect("a refusal is JSON");
        let read: RelayRefusal = serde_json::from_str(&text).expect("the refusal is read");
        prop_assert_eq!(read, refusal);
    }

    #[test]
    fn any_text_is_refused(text in ".{0,200}") {
        prop_assert!(serde_json::from_str::<RelayEnvelope>(&text).is_err());
        prop_assert!(serde_json::from_str::<RelayRefusal>(&text).is_err());
    }

    #[test]
    fn truncated_envelope_is_refused(envelope in envelope(), len in any::<Index>()) {
        let text = serde_json::to_vec(&envelope).expect("an envelope is JSON");
        let cut = &text[..len.index(text.len())];
        prop_assert!(serde_json::from_slice::<RelayEnvelope>(cut).is_err());
    }

    #[test]
    fn envelope_without_one_member_or_with_one_more_is_refused(
        envelope in envelope(),
        field in any::<Index>(),
    ) {
        let value = serde_json::to_value(&envelope).expect("an envelope is JSON");
        let fields = value.as_object().expect("an envelope is an object");
        let key = fields.keys().nth(field.index(fields.len())).expect("the field is there");
        let mut without_field = fields.clone();
        without_field.remove(key);
        prop_assert!(serde_json::from_value::<RelayEnvelope>(without_field.into()).is_err());
        let mut with_unknown = fields.clone();
        with_unknown.insert("unknown".to_owned(), true.into());
        prop_assert!(serde_json::from_value::<RelayEnvelope>(with_unknown.into()).is_err());
    }
}

#[test]
fn too_long_datagram_is_refused() {
    let pool = PoolSummary {
        in_flight: u32::MAX,
        pool: u64::MAX,
        upstreams: u32::MAX,
    };
    let datagram = FleetDatagram::Summary(CentreSummary {
        data_centre: "ne1".parse().expect("a checked name"),
        pools: vec![pool; 1_000],
    });
    let error = datagram.encode(&FleetKey::new(SECRET));
    assert!(matches!(error, Err(DatagramError::TooLong { len }) if len > DATAGRAM_LEN_MAX));
}

#[test]
fn secrets_are_not_printed() {
    let key = FleetKey::new(SECRET);
    let proof = key.rpc_proof();
    let printed = format!("{key:?} {proof:?} {key:#?} {proof:#?}");
    assert!(!printed.contains(SECRET));
    assert!(!printed.contains(proof.as_str()));
    assert_eq!(format!("{proof:?}"), "FleetProof(…)");
}

#[test]
fn only_proof_of_the_same_secret_matches() {
    let proof = FleetKey::new(SECRET).rpc_proof();
    let other = FleetKey::new("another").rpc_proof();
    assert!(proof.matches(proof.as_str()));
    assert!(!proof.matches(other.as_str()));
    assert!(!proof.matches(""));
    assert!(!proof.matches(&proof.as_str()[1..]));
}
