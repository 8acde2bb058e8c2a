use super::*;
use test_case::test_case;

#[test_case(0.5; "half of what was told")]
#[test_case(1.0; "as told")]
#[test_case(2.0; "twice as much")]
fn an_estimate_that_was_wrong_by_half_is_mended_within_ten_periods(truth: f64) {
    let mut estimate = CapacityEstimate::new(4.0);
    let real = 4.0 * truth;
    for _ in 0..10 {
        let load = 0.6 * estimate.capacity().min(real / 0.7);
        let observation = Observation {
            load,
            utilization: Some(load / real),
            late_or_failed_ratio: 0.0,
            attempts: 60.0,
        };
        estimate.observe(observation);
    }
    assert!(
        (estimate.capacity() / real - 1.0).abs() < 0.1,
        "{} for {real}",
        estimate.capacity()
    );
}

#[test]
fn what_is_overrun_and_tells_nothing_is_believed_to_do_less() {
    let mut estimate = CapacityEstimate::new(4.0);
    for _ in 0..10 {
        estimate.observe(Observation {
            load: 3.4,
            utilization: None,
            late_or_failed_ratio: 0.4,
            attempts: 60.0,
        });
    }
    assert!(
        estimate.capacity() < 2.6 && estimate.capacity() > 1.8,
        "{}",
        estimate.capacity()
    );
}

#[test]
fn little_seen_moves_little_and_nothing_moves_it_beyond_its_bounds() {
    let mut estimate = CapacityEstimate::new(4.0);
    estimate.observe(Observation {
        load: 0.001,
        utilization: Some(0.9),
        late_or_failed_ratio: 0.0,
        attempts: 1.0,
    });
    assert!((estimate.capacity() / 4.0 - 1.0).abs() < 0.1);
    for _ in 0..1000 {
        estimate.observe(Observation {
            load: 0.001,
            utilization: Some(0.9),
            late_or_failed_ratio: 0.0,
            attempts: 1e6,
        });
    }
    assert!(estimate.capacity() > 4.0 * 0.45);
}
