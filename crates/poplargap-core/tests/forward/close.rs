use {
    poplargap_core::forward::{ClosePhase, ClosePlan},
    proptest::prelude::*,
    std::time::Duration,
};

proptest! {
    #[test]
    fn shutdown_phases_only_advance_and_end_within_the_grace_period(
        grace_ms in 1_000_u64..20_000,
        open in 0_usize..100,
    ) {
        let plan = ClosePlan::new(Duration::from_millis(grace_ms));
        let mut last = ClosePhase::Announcing;
        for ms in (0..=grace_ms).step_by(50) {
            let phase = plan.phase(Duration::from_millis(ms), open);
            prop_assert!(phase >= last);
            last = phase;
        }
        prop_assert_eq!(last, ClosePhase::Ended);
    }
}

#[test]
fn requests_are_accepted_until_the_platform_has_deregistered_the_daemon() {
    let plan = ClosePlan::new(Duration::from_secs(8));
    assert_eq!(
        plan.phase(Duration::from_millis(2_500), 0),
        ClosePhase::Announcing
    );
    assert_eq!(
        plan.phase(Duration::from_millis(3_100), 1),
        ClosePhase::Finishing
    );
    assert_eq!(plan.phase(Duration::from_secs(3), 1), ClosePhase::Finishing);
    assert_eq!(
        plan.phase(Duration::from_millis(3_400), 0),
        ClosePhase::Ended
    );
    assert_eq!(
        plan.phase(Duration::from_millis(7_550), 1),
        ClosePhase::Expiring
    );
}
