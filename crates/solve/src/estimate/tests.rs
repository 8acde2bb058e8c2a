use super::*;
use test_case::test_case;

#[test_case(0.5; "half of the nominal capacity")]
#[test_case(1.0; "the nominal capacity")]
#[test_case(2.0; "twice the nominal capacity")]
fn an_estimate_converges_to_the_real_capacity_within_ten_periods(ratio: f64) {
    let mut estimate = CapacityEstimate::new(4.0);
    let real = 4.0 * ratio;
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
fn failures_lower_the_estimate_of_an_overloaded_host_without_utilization() {
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
fn few_attempts_change_the_estimate_little_and_the_correction_is_bounded() {
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
