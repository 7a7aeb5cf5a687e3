//! Tests of the load tool against engine stand-ins, without a daemon.

use {
    poplargap_testbed::{
        caller::{CallVerdict, CallerClient, ChatSession, ChatTurn},
        desk::{DeskSettings, DeskStandIn},
        engine::{AnswerScript, EngineSettings, EngineStandIn, RunOutcome},
        fault::FaultSettings,
        load::{
            ChatPlan, DeskLoadSettings, DeskWork, EngineFleet, LoadFinding, LoadSchedule,
            LoadSettings, NoChurn, ReferenceSettings, ReuseCount, ReuseReference, SurgeWindow,
            run_load,
        },
    },
    std::{
        collections::BTreeMap,
        net::{Ipv4Addr, SocketAddr},
        num::NonZeroUsize,
        time::Duration,
    },
};

/// Duration of a load that is sent to engines.
const RUN_TIME: Duration = Duration::from_millis(1500);

fn engine_settings() -> EngineSettings {
    EngineSettings {
        decode_base: Duration::from_millis(1),
        decode_slope: Duration::ZERO,
        prefill_per_token: Duration::from_micros(10),
        ..EngineSettings::default()
    }
}

fn settings() -> LoadSettings {
    LoadSettings {
        daemons: vec![SocketAddr::from((Ipv4Addr::LOCALHOST, 9))],
        desk: Some(DeskLoadSettings::default()),
        duration: Duration::from_secs(30),
        seed: 7,
        ..LoadSettings::default()
    }
}

/// Settings of a load that is sent to engines, with short pauses between the turns of a chat.
fn run_settings(fleet: &EngineFleet) -> LoadSettings {
    LoadSettings {
        daemons: fleet.addresses().to_vec(),
        desk: None,
        duration: RUN_TIME,
        engines: fleet.control_addresses().to_vec(),
        pause_long: Duration::from_millis(400),
        pause_short: Duration::from_millis(200),
        rate: 60.0,
        ..settings()
    }
}

fn schedule(settings: &LoadSettings) -> LoadSchedule {
    LoadSchedule::try_from(settings).expect("the settings are right")
}

#[test]
fn the_same_seed_gives_the_same_schedule() {
    let other_seed = LoadSettings {
        seed: 8,
        ..settings()
    };
    assert_eq!(schedule(&settings()), schedule(&settings()));
    assert_ne!(schedule(&settings()), schedule(&other_seed));
}

#[test]
fn a_schedule_follows_its_rate_and_workspace_weights() {
    let settings = LoadSettings {
        duration: Duration::from_mins(5),
        ..settings()
    };
    let schedule = schedule(&settings);
    let turns = schedule.turns();
    let rate = turns.len() as f64 / settings.duration.as_secs_f64();
    assert!((16.0..=22.0).contains(&rate), "{rate} turns a second");
    let turn_count = |workspace| {
        turns
            .iter()
            .filter(|(chat, _)| schedule.chats[*chat].workspace == workspace)
            .count()
    };
    assert!(turn_count(0) > 4 * turn_count(9));
    let later_turns = turns.iter().filter(|(_, turn)| *turn > 0).count();
    assert!(later_turns * 2 > turns.len());
    let bookings = schedule
        .desk_calls
        .iter()
        .filter(|call| call.work == DeskWork::Booking)
        .count();
    assert!(bookings > 0 && bookings < schedule.desk_calls.len());
}

#[test]
fn a_surge_raises_one_workspace_and_leaves_the_others_unchanged() {
    let surge = SurgeWindow {
        factor: 5.0,
        from: Duration::from_secs(10),
        len: Duration::from_secs(10),
        workspace: 1,
    };
    let surged = schedule(&LoadSettings {
        surge: Some(surge),
        ..settings()
    });
    let usual = schedule(&settings());
    let chats = |schedule: &LoadSchedule, of_surge: bool| -> Vec<ChatPlan> {
        let chats = schedule.chats.iter();
        chats
            .filter(|chat| (chat.workspace == 1) == of_surge)
            .cloned()
            .collect()
    };
    assert_eq!(chats(&surged, false), chats(&usual, false));
    let started_in_window = |chats: &[ChatPlan]| {
        chats
            .iter()
            .filter_map(|chat| chat.turns[0].at)
            .filter(|at| surge.contains(at.as_secs_f64()))
            .count()
    };
    let usual = started_in_window(&chats(&usual, true));
    let surged = started_in_window(&chats(&surged, true));
    assert!(surged > 2 * usual, "{surged} chats against {usual}");
}

#[test]
fn all_settings_errors_are_reported_together() {
    let settings = LoadSettings {
        daemons: Vec::new(),
        rate: -1.0,
        workspaces: Vec::new(),
        ..settings()
    };
    let findings = LoadSchedule::try_from(&settings).expect_err("the settings are wrong");
    assert_eq!(
        findings.0,
        [
            LoadFinding::NoDaemon,
            LoadFinding::NoWorkspace,
            LoadFinding::Range {
                setting: "rate",
                value: -1.0
            },
        ]
    );
}

/// A single engine that serves the schedule turn by turn must reach exactly the reference's reuse.
#[tokio::test]
async fn the_reuse_reference_equals_the_reuse_of_an_engine() {
    let settings = LoadSettings {
        duration: Duration::from_secs(4),
        rate: 10.0,
        reference: ReferenceSettings {
            cache_blocks: NonZeroUsize::new(1000).expect("1000 is not zero"),
            engines: NonZeroUsize::MIN,
            ..ReferenceSettings::default()
        },
        ..settings()
    };
    let schedule = schedule(&settings);
    let engine = EngineStandIn::start(EngineSettings {
        cache_blocks: settings.reference.cache_blocks,
        decode_base: Duration::from_micros(10),
        prefill_per_token: Duration::ZERO,
        ..engine_settings()
    })
    .await
    .expect("a free port exists");
    let caller = CallerClient::new("secret", Duration::from_secs(5));
    let caller = caller.expect("the client can be set up");
    let mut measured = ReuseCount::default();
    let mut sessions = BTreeMap::new();
    for (chat, index) in schedule.turns() {
        let plan = &schedule.chats[chat];
        let session = sessions.entry(chat).or_insert_with(|| {
            let mut session = ChatSession::new(plan.chat_id.as_str(), "curve");
            session.messages = plan.first_messages();
            for earlier in 0..index {
                let request = plan.request(earlier, &session.messages, "curve");
                session.messages = ChatPlan::messages_after(request);
            }
            session
        });
        let turn = ChatTurn {
            content: plan.content(index),
            max_tokens: plan.turns[index].max_tokens,
            request_id: plan.request_id(index),
            stream: true,
            ..ChatTurn::default()
        };
        let outcome = caller.chat(engine.address(), session, &turn).await;
        assert_eq!(outcome.verdict, CallVerdict::Complete);
        let usage = outcome.usage.expect("the stream carries usage");
        measured += ReuseCount {
            cached_tokens: usage.prompt_tokens_details.cached_tokens,
            prompt_tokens: usage.prompt_tokens,
        };
    }
    let reference = ReuseReference::of_schedule(&schedule, &settings);
    assert_eq!(measured, reference.total());
    let ratio = measured.ratio().expect("there were prompts");
    assert!((0.1..0.9).contains(&ratio), "reuse {ratio}");
    engine.close().await;
}

#[tokio::test]
async fn a_load_on_healthy_engines_gets_complete_answers() {
    let mut fleet = EngineFleet::start(engine_settings(), 3)
        .await
        .expect("free ports exist");
    let desk = DeskStandIn::start(DeskSettings::default())
        .await
        .expect("a free port exists");
    let mut settings = run_settings(&fleet);
    settings.desk = Some(DeskLoadSettings {
        addresses: vec![desk.address()],
        rate: 20.0,
        ..DeskLoadSettings::default()
    });
    let planned = schedule(&settings);
    let run = run_load(settings, &mut fleet).await;
    let run = run.expect("the settings are right");
    let all = &run.report.all;
    assert_eq!(all.count, planned.len() as u64);
    assert_eq!(all.complete, all.count, "{:?}", run.report.problems);
    assert!(all.reuse.is_some() && all.first_token.is_some() && all.token_gap.is_some());
    let skew = run.report.skew.expect("the engines were asked");
    assert!(skew.samples > 0 && skew.p50 >= 1.0 && skew.max <= 3.0 + f64::EPSILON);
    let ran: usize = fleet
        .close()
        .await
        .iter()
        .map(|ledger| ledger.runs.len())
        .sum();
    let booked = desk.close().await.runs.len();
    assert_eq!(ran, planned.turns().len());
    assert_eq!(booked, planned.desk_calls.len());
    let table = run.report.to_string();
    assert!(table.contains("report") && table.contains("booking") && table.contains("skew"));
}

#[tokio::test]
async fn refusals_and_cut_streams_are_counted() {
    let fleet = EngineFleet::start(engine_settings(), 2)
        .await
        .expect("free ports exist");
    let refuse = FaultSettings {
        refuse: true,
        ..FaultSettings::default()
    };
    let cut = FaultSettings {
        stop_after_events: Some(1),
        ..FaultSettings::default()
    };
    for (index, faults) in [refuse, cut].into_iter().enumerate() {
        let engine = fleet.engine(index).expect("the fleet has two engines");
        engine.set_faults(faults).await;
    }
    let run = run_load(run_settings(&fleet), NoChurn).await;
    let run = run.expect("the settings are right");
    let all = &run.report.all;
    assert!(all.refused_not_run > 0 && all.broken > 0);
    assert_eq!(all.refused_not_run + all.broken, all.count);
    let ledgers = fleet.close().await;
    assert_eq!(ledgers[0].runs.len(), 0);
    assert_eq!(ledgers[1].runs.len() as u64, all.broken);
}

#[tokio::test]
async fn restarted_engines_break_calls_but_never_mix_answers() {
    let mut fleet = EngineFleet::start(engine_settings(), 2)
        .await
        .expect("free ports exist");
    let settings = LoadSettings {
        churn_interval: Some(Duration::from_millis(250)),
        ..run_settings(&fleet)
    };
    let run = run_load(settings, &mut fleet).await;
    let run = run.expect("the settings are right");
    let all = &run.report.all;
    assert_eq!(all.foreign, 0, "{:?}", run.report.problems);
    assert!(all.complete > 0);
    let ledgers = fleet.close().await;
    assert!(ledgers.len() > 2, "no engine was restarted");
    let runs = ledgers.iter().flat_map(|ledger| &ledger.runs);
    let complete = runs
        .filter(|run| run.outcome == RunOutcome::Complete)
        .count();
    assert!(complete as u64 >= all.complete);
}

#[test]
fn the_expected_answer_depends_on_the_whole_prompt() {
    let schedule = schedule(&settings());
    let chat = &schedule.chats[0];
    let first = chat.request(0, &chat.first_messages(), "curve");
    let other = chat.request(0, &[], "curve");
    let (first, other) = (
        AnswerScript::of_request(&first),
        AnswerScript::of_request(&other),
    );
    assert_ne!(first.token(0), other.token(0));
}
