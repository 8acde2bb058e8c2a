use super::*;
use test_case::test_case;

fn let_in(admission: &mut Admission, seconds: f64, rate: f64) -> f64 {
    let (mut chance, mut count) = (Pcg::new(9), 0);
    let asked = (seconds * rate) as u32;
    for at in 0..asked {
        let now = Moment::from_seconds(f64::from(at) / rate);
        count += u32::from(admission.ask(now, &mut chance).is_ok());
    }
    f64::from(count) / f64::from(asked)
}

#[test_case(0, 1.0; "all")]
#[test_case(250_000, 0.75; "three quarters")]
#[test_case(1_000_000, 0.0; "none")]
fn a_share_is_let_in(dropped: u32, wanted: f64) {
    let mut admission = Admission::default();
    admission.order(Moment::from_seconds(0.0), dropped, None);
    let share = let_in(&mut admission, 100.0, 1000.0);
    assert!((share - wanted).abs() < 0.005, "{share}");
    assert_eq!(admission.shut(), wanted == 0.0);
}

#[test_case(20.0, 0.2; "a rate")]
#[test_case(0.5, 0.005; "less than one a second")]
fn a_rate_is_let_in(rate: f64, wanted: f64) {
    let mut admission = Admission::default();
    admission.order(Moment::from_seconds(0.0), 0, Some(rate));
    let share = let_in(&mut admission, 100.0, 100.0);
    assert!((share / wanted - 1.0).abs() < 0.05, "{share}");
    let (now, mut chance) = (Moment::from_seconds(100.0), Pcg::new(1));
    let wait = (0..100)
        .find_map(|_| admission.ask(now, &mut chance).err())
        .expect("it is used up");
    assert!(
        wait > Span::ZERO && wait <= Span::from_seconds(1.0 / rate),
        "{wait:?}"
    );
}

#[test]
fn orders_that_repeat_a_rate_do_not_fill_the_bucket() {
    let mut admission = Admission::default();
    let (now, mut chance) = (Moment::from_seconds(0.0), Pcg::new(1));
    admission.order(now, 0, Some(10.0));
    assert!((0..10).all(|_| admission.ask(now, &mut chance).is_ok()));
    admission.order(now, 0, Some(10.0));
    assert!(admission.ask(now, &mut chance).is_err());
}
