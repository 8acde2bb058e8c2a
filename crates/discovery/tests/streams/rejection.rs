//! The reaction of the controller to versions that clients reject.

use super::support::*;
use wheelspread::ids::ProxyId;
use wheelspread::time::Span;
use wheelspread_controller_core::publication::{BundleId, Version};
use wheelspread_discovery::{RejectionResponse, RejectionTracker};

#[test]
fn a_client_that_rejects_alone_causes_no_pause_and_is_restarted_after_five_versions() {
    let mut rejections = RejectionTracker::new(Span::from_seconds(1.0));
    for version in 1..=5 {
        for proxy in 2..10 {
            rejections.on_ack(at(0.0), BundleId(0), Version(version), ProxyId(proxy));
        }
        let response = rejections.on_nack(at(0.0), BundleId(0), Version(version), ProxyId(1));
        assert_eq!(
            response,
            if version < 5 {
                RejectionResponse::Continue
            } else {
                RejectionResponse::RestartStream(ProxyId(1))
            }
        );
        assert_eq!(rejections.changes_paused_until(BundleId(0)), None);
    }
}

#[test]
fn majority_rejections_pause_then_roll_back_and_a_majority_acknowledgement_ends_the_pause() {
    let mut rejections = RejectionTracker::new(Span::from_seconds(1.0));
    let mut all_answer = |version: u64, acknowledged: bool, now: f64| {
        let mut last = RejectionResponse::Continue;
        for proxy in 0..6 {
            let response = match acknowledged {
                true => rejections.on_ack(at(now), BundleId(0), Version(version), ProxyId(proxy)),
                false => rejections.on_nack(at(now), BundleId(0), Version(version), ProxyId(proxy)),
            };
            last = if matches!(last, RejectionResponse::RollBack(_)) {
                last
            } else {
                response
            };
        }
        (last, rejections.changes_paused_until(BundleId(0)))
    };
    assert_eq!(
        all_answer(1, true, 0.0),
        (RejectionResponse::Continue, None)
    );
    assert_eq!(
        all_answer(2, false, 1.0),
        (RejectionResponse::PauseChanges, Some(at(2.0)))
    );
    assert_eq!(
        all_answer(3, false, 2.0),
        (RejectionResponse::PauseChanges, Some(at(4.0))),
        "the second pause is twice as long"
    );
    assert_eq!(
        all_answer(4, false, 4.0).0,
        RejectionResponse::RollBack(Version(1))
    );
    // Further rejected versions lengthen the pause up to a limit, and cause no second rollback.
    for version in 5..40 {
        let (response, until) = all_answer(version, false, 100.0);
        assert!(response == RejectionResponse::PauseChanges && until <= Some(at(164.0)));
    }
    assert_eq!(
        all_answer(40, true, 200.0),
        (RejectionResponse::Continue, None)
    );
}
