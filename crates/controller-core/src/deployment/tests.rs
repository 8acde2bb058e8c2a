use super::*;
use test_case::test_case;
use wheelspread::time::Span;

/// Two zones, a quote that may go anywhere and a booking that has effects.
pub(crate) fn plan() -> Deployment {
    let seconds = Span::from_seconds;
    let operation = |name: &str, repeat| OperationPlan {
        name: name.to_string(),
        latency_objective: seconds(1.0),
        integration_timeout: seconds(3.0),
        billed_value: 1.0,
        late_share: 0.0,
        repeat,
        repeat_group: RetryScope::All,
        repeat_window: seconds(0.0),
        stays_in_zone: false,
    };
    Deployment {
        zones: vec!["north".to_string(), "south".to_string()],
        kinds: Vec::new(),
        operations: vec![
            operation("quote", Repeat::Idempotent),
            operation("book", Repeat::SideEffecting),
        ],
        conductors: ControllerPlan::default(),
        proxies: ProxyPlan {
            count: 4,
            usual_rate: 10.0,
            ..ProxyPlan::default()
        },
        rules: RulePlan {
            without_node_at_most: seconds(2.0),
            drain_grace: seconds(2.0),
            cold_start_share: 0.2,
            warm_after: seconds(10.0),
            cold_overload_factor: 4.0,
            cold_overload_span: seconds(2.0),
        },
        channel: ChannelPlan {
            lines_waiting_at_most: 4000.0,
            head_lines: 6.0,
            lines_per_second: 10_000.0,
            delay_at_most: seconds(0.5),
            messages_at_most: 0,
            messages_window: seconds(10.0),
        },
        fronts: FrontPlan::default(),
        sums: LoadReportPlan {
            period: seconds(1.0),
            loads: vec!["utilization".to_string()],
        },
        list: ListPlan::default(),
        admission: AdmissionForm::Share,
        cross_zone_price: 0.02,
        first_wait: 1.0,
        solver: None,
    }
}

#[test_case(|p| p.zones.clear(), "zones"; "no zone")]
#[test_case(|p| p.zones[1] = "north".into(), "zones.1"; "a zone twice")]
#[test_case(|p| p.zones[0] = "../north".into(), "zones.0"; "a zone that would leave the directory")]
#[test_case(|p| p.operations[1].billed_value = f64::NAN, "operations.1.billed_value"; "no number")]
#[test_case(|p| p.operations[0].integration_timeout = Span::from_seconds(0.1),
    "operations.0.integration_timeout"; "a timeout below the objective")]
#[test_case(|p| p.operations[0].repeat = Repeat::Fingerprinted, "operations.0.repeat_window"; "no window")]
#[test_case(|p| p.channel.lines_per_second = 0.0, "channel.lines_per_second"; "a channel that stands")]
#[test_case(|p| p.sums.loads = vec!["mood".into()], "sums.loads"; "an unknown load")]
fn what_cannot_be_is_named_by_field(spoil: fn(&mut Deployment), field: &str) {
    let mut plan = plan();
    assert_eq!(plan.validate(), []);
    spoil(&mut plan);
    assert_eq!(
        plan.validate()
            .iter()
            .map(|error| error.field.as_str())
            .collect::<Vec<_>>(),
        [field]
    );
}
