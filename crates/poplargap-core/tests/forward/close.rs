use {
    poplargap_core::forward::{ClosePhase, ClosePlan},
    proptest::prelude::*,
    std::time::Duration,
};

proptest! {
    #[test]
    fn close_goes_forward_and_ends_within_the_grace(
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
fn callers_are_taken_until_the_platform_has_turned_away() {
    let plan = ClosePlan::new(Duration::from_secs(8));
    assert_eq!(
        plan.phase(Duration::from_millis(2_500), 0),
        ClosePhase::Announcing
    );
    assert_eq!(
        plan.phase(Duration::from_millis(3_100), 1),
        ClosePhase::Finishing
    );
    assert_eq!(
        plan.phase(Duration::from_millis(3_400), 0),
        ClosePhase::Ended
    );
}
