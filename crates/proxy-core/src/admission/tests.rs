use super::*;
use test_case::test_case;

fn admitted_ratio(admission: &mut Admission, seconds: f64, rate: f64) -> f64 {
    let (mut random, mut admitted) = (Pcg::new(9), 0);
    let requests = (seconds * rate) as u32;
    for index in 0..requests {
        let now = Moment::from_seconds(f64::from(index) / rate);
        admitted += u32::from(admission.try_admit(now, &mut random).is_ok());
    }
    f64::from(admitted) / f64::from(requests)
}

#[test_case(0, 1.0; "all admitted")]
#[test_case(250_000, 0.75; "three quarters admitted")]
#[test_case(1_000_000, 0.0; "none admitted")]
fn requests_are_admitted_by_the_admission_ratio(dropped: u32, expected: f64) {
    let mut admission = Admission::default();
    admission.configure(Moment::from_seconds(0.0), dropped, None);
    let ratio = admitted_ratio(&mut admission, 100.0, 1000.0);
    assert!((ratio - expected).abs() < 0.005, "{ratio}");
    assert_eq!(admission.rejects_all(), expected == 0.0);
}

#[test_case(20.0, 0.2; "several requests per second")]
#[test_case(0.5, 0.005; "less than one request per second")]
fn requests_are_admitted_up_to_the_rate_limit(rate: f64, expected: f64) {
    let mut admission = Admission::default();
    admission.configure(Moment::from_seconds(0.0), 0, Some(rate));
    let ratio = admitted_ratio(&mut admission, 100.0, 100.0);
    assert!((ratio / expected - 1.0).abs() < 0.05, "{ratio}");
    let (now, mut random) = (Moment::from_seconds(100.0), Pcg::new(1));
    let retry_after = (0..100)
        .find_map(|_| admission.try_admit(now, &mut random).err())
        .expect("the bucket is empty")
        .retry_after;
    assert!(
        retry_after > Span::ZERO && retry_after <= Span::from_seconds(1.0 / rate),
        "{retry_after:?}"
    );
}

#[test]
fn a_table_with_an_unchanged_rate_does_not_refill_the_bucket() {
    let mut admission = Admission::default();
    let (now, mut random) = (Moment::from_seconds(0.0), Pcg::new(1));
    admission.configure(now, 0, Some(10.0));
    assert!((0..10).all(|_| admission.try_admit(now, &mut random).is_ok()));
    admission.configure(now, 0, Some(10.0));
    assert!(admission.try_admit(now, &mut random).is_err());
}
