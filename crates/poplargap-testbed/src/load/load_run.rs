//! Execution of a load, from its schedule to its report.

use {
    super::{
        CallRecord, EngineChurn, LoadFindings, LoadReport, LoadSchedule, LoadSettings,
        ReuseReference, chat_caller::send_chat, desk_caller::send_desk_call,
        load_context::LoadContext, load_tally::LoadTally, skew_probe::probe,
    },
    std::sync::Arc,
    tokio::{
        sync::{mpsc, oneshot},
        time::{Instant, Interval, interval_at},
    },
};

/// Records and report of a load.
#[derive(Debug)]
pub struct LoadRun {
    /// All calls without their token gaps, in the order in which the calls ended.
    pub records: Vec<CallRecord>,
    /// The report over all calls.
    pub report: LoadReport,
}

/// Sends the load of `settings` and waits for all answers.
///
/// # Errors
///
/// Returns all errors in the settings.
///
/// # Panics
///
/// Panics when the HTTP library can't be set up or a caller's task panics.
pub async fn run_load<C: EngineChurn>(
    settings: LoadSettings,
    mut churn: C,
) -> Result<LoadRun, LoadFindings> {
    let schedule = LoadSchedule::try_from(&settings)?;
    let reference = ReuseReference::of_schedule(&schedule, &settings);
    let (stop_tx, stop_rx) = oneshot::channel();
    let probe = tokio::spawn(probe(settings.engines.clone(), settings.duration, stop_rx));
    let (record_tx, mut record_rx) = mpsc::unbounded_channel();
    let mut churn_ticks = settings
        .churn_interval
        .map(|period| interval_at(Instant::now() + period, period));
    let planned = schedule.len();
    let tally_settings = settings.clone();
    let context = LoadContext::new(settings, record_tx).expect("the HTTP library can be set up");
    spawn_callers(schedule, context);
    let mut tally = LoadTally::new();
    let mut records = Vec::with_capacity(planned);
    let mut restarts = 0;
    loop {
        tokio::select! {
            record = record_rx.recv() => {
                let Some(mut record) = record else { break };
                tally.push(&record, &tally_settings);
                // In a long run the token gaps would fill the memory.
                record.token_gaps = Vec::new();
                records.push(record);
            }
            () = tick(churn_ticks.as_mut()) => {
                churn.restart(restarts).await;
                restarts += 1;
            }
        }
    }
    assert_eq!(records.len(), planned, "each planned call has one record");
    // A stopped probe reports the samples that it has taken so far.
    let _stopped = stop_tx.send(());
    let skew = probe.await.expect("the probe doesn't panic");
    let report = tally.into_report(&tally_settings, &reference, skew);
    Ok(LoadRun { records, report })
}

fn spawn_callers(schedule: LoadSchedule, context: LoadContext) {
    let context = Arc::new(context);
    for plan in schedule.chats {
        tokio::spawn(send_chat(Arc::clone(&context), plan));
    }
    let Some(desk) = context.settings.desk.clone().map(Arc::new) else {
        return;
    };
    for plan in schedule.desk_calls {
        tokio::spawn(send_desk_call(
            Arc::clone(&context),
            Arc::clone(&desk),
            plan,
        ));
    }
}

/// Waits for the next tick, or forever without an interval.
async fn tick(ticks: Option<&mut Interval>) {
    match ticks {
        Some(ticks) => {
            ticks.tick().await;
        }
        None => std::future::pending().await,
    }
}
