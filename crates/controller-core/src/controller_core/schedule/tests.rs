use super::*;

const TICK_SECONDS: f64 = 0.01;

fn at(seconds: f64) -> Moment {
    Moment::from_seconds(seconds)
}

fn second() -> Span {
    Span::from_seconds(1.0)
}

fn started() -> RoundSchedule {
    let mut schedule = RoundSchedule::new(at(0.0), second());
    assert!(schedule.start(), "first call");
    schedule
}

fn run_round(schedule: &mut RoundSchedule, now: Moment) {
    assert!(schedule.is_round_due(now, None));
    schedule.start_round(now, second(), Span::from_seconds(TICK_SECONDS));
}

#[test]
fn no_round_is_due_before_the_first_endpoint_list() {
    let mut schedule = RoundSchedule::new(at(0.0), second());
    schedule.request_round();
    assert!(!schedule.is_round_due(at(5.0), Some(at(1.0))));
    assert!(schedule.start());
    assert!(!schedule.start(), "second call");
    assert!(schedule.is_round_due(at(5.0), None));
}

#[test]
fn rounds_keep_the_min_interval_and_a_second_round_follows_observations() {
    let mut schedule = started();
    run_round(&mut schedule, at(0.0));
    schedule.request_round();
    assert!(!schedule.is_round_due(at(0.009), None));
    run_round(&mut schedule, at(0.01));
    assert!(
        !schedule.is_round_due(at(0.05), None),
        "nothing was observed"
    );
    assert_eq!(schedule.wake_at(at(0.05), second(), []), at(0.07));
    run_round(&mut schedule, at(0.07));
    assert_eq!(
        schedule.wake_at(at(0.07), second(), []),
        at(1.0),
        "a second round is not followed by a third"
    );
}

#[test]
fn a_timer_fires_once_and_an_acknowledgement_makes_a_round_due() {
    let mut schedule = started();
    run_round(&mut schedule, at(0.0));
    run_round(&mut schedule, at(0.06));
    schedule.set_timer(at(0.3), TimerId(7));
    assert!(!schedule.is_round_due(at(0.2), Some(at(0.21))));
    assert!(schedule.is_round_due(at(0.21), Some(at(0.21))));
    assert!(schedule.is_round_due(at(0.3), None));
    assert_eq!(schedule.take_expired_timer(at(0.29)), None);
    assert_eq!(schedule.take_expired_timer(at(0.3)), Some(TimerId(7)));
    assert_eq!(schedule.take_expired_timer(at(0.3)), None);
}

#[test]
fn a_stalled_loop_skips_missed_periods() {
    let mut schedule = started();
    assert!(!schedule.start_period_if_due(at(0.9), second()));
    assert!(schedule.start_period_if_due(at(30.0), second()));
    assert!(!schedule.start_period_if_due(at(30.4), second()));
    assert!(schedule.start_period_if_due(at(30.5), second()));
    assert!(!schedule.start_period_if_due(at(31.4), second()));
}
