//! Tests of the token bucket that limits the calls to a store.

use {
    poplargap_store::{CallBucket, CallRate},
    std::{num::NonZeroU32, time::Duration},
    tokio::{
        task::JoinSet,
        time::{Instant, timeout},
    },
};

fn bucket(burst: u32, per_second: u32) -> CallBucket {
    CallBucket::new(CallRate {
        burst: NonZeroU32::new(burst).unwrap(),
        per_second: NonZeroU32::new(per_second).unwrap(),
    })
}

#[tokio::test(start_paused = true)]
async fn burst_starts_at_once_and_the_rest_is_rate_limited() {
    let bucket = bucket(5, 10);
    let started_at = Instant::now();
    let mut calls = JoinSet::new();
    for _ in 0..25 {
        let bucket = bucket.clone();
        calls.spawn(async move {
            bucket.take().await;
            started_at.elapsed()
        });
    }
    let mut waits = calls.join_all().await;
    waits.sort();
    assert_eq!(waits[4], Duration::ZERO);
    assert_eq!(waits[5], Duration::from_millis(100));
    assert_eq!(waits[24], Duration::from_secs(2));
}

#[tokio::test(start_paused = true)]
async fn abandoned_call_takes_no_token() {
    let bucket = bucket(1, 10);
    bucket.take().await;
    let started_at = Instant::now();
    for _ in 0..9 {
        let abandoned = timeout(Duration::from_millis(10), bucket.take()).await;
        abandoned.unwrap_err();
    }
    bucket.take().await;
    assert_eq!(started_at.elapsed(), Duration::from_millis(100));
}

#[tokio::test(start_paused = true)]
async fn idle_period_refills_no_more_than_the_burst() {
    let bucket = bucket(3, 10);
    bucket.take().await;
    tokio::time::sleep(Duration::from_mins(1)).await;
    let started_at = Instant::now();
    for _ in 0..4 {
        bucket.take().await;
    }
    assert_eq!(started_at.elapsed(), Duration::from_millis(100));
}
