use super::*;
use test_case::test_case;
use wheelspread::time::Span;

fn operation(name: &str, retry_class: RetryClass) -> OperationConfig {
    OperationConfig {
        name: name.to_string(),
        latency_objective: Span::from_seconds(1.0),
        integration_timeout: Span::from_seconds(3.0),
        billed_value: 1.0,
        late_share: 0.0,
        retry_class,
        retry_scope: RetryScope::All,
        retry_window: Span::ZERO,
        stays_in_zone: false,
    }
}

/// A deployment with two zones, an idempotent operation `quote` and a side-effecting operation `book`.
pub(crate) fn test_deployment() -> Deployment {
    let seconds = Span::from_seconds;
    Deployment {
        zones: vec!["north".to_string(), "south".to_string()],
        kinds: Vec::new(),
        operations: vec![
            operation("quote", RetryClass::Idempotent),
            operation("book", RetryClass::SideEffecting),
        ],
        controllers: ControllersConfig::default(),
        proxies: ProxiesConfig {
            count: 4,
            usual_rate: 10.0,
            ..ProxiesConfig::default()
        },
        rules: RuleConfig {
            without_node_at_most: seconds(2.0),
            drain_grace: seconds(2.0),
            cold_start_share: 0.2,
            warm_after: seconds(10.0),
            cold_overload_factor: 4.0,
            cold_overload_span: seconds(2.0),
        },
        update_queue: UpdateQueueConfig {
            max_queued_entries: 4000.0,
            message_overhead_entries: 6.0,
            entries_per_second: 10_000.0,
            max_delay: seconds(0.5),
            max_messages: 0,
            messages_window: seconds(10.0),
        },
        table_delivery: TableDeliveryConfig::default(),
        load_reports: LoadReportConfig {
            period: seconds(1.0),
            loads: vec!["utilization".to_string()],
        },
        list: EndpointListConfig::default(),
        admission: AdmissionForm::Share,
        cross_zone_price: 0.02,
        first_wait: 1.0,
        solver: None,
    }
}

#[test_case(|deployment| deployment.zones.clear(), "zones"; "no zones")]
#[test_case(|deployment| deployment.zones[1] = "north".into(), "zones.1"; "a duplicate zone name")]
#[test_case(|deployment| deployment.zones[0] = "../north".into(), "zones.0"; "a zone name with a path to a parent directory")]
#[test_case(|deployment| deployment.operations[1].billed_value = f64::NAN, "operations.1.billed_value"; "a billed value that is NaN")]
#[test_case(|deployment| deployment.operations[0].integration_timeout = Span::from_seconds(0.1),
    "operations.0.integration_timeout"; "a timeout below the latency objective")]
#[test_case(|deployment| deployment.operations[0].retry_class = RetryClass::Fingerprinted, "operations.0.repeat_window"; "a fingerprinted operation without a retry window")]
#[test_case(|deployment| deployment.update_queue.entries_per_second = 0.0, "channel.lines_per_second"; "an update queue that sends nothing")]
#[test_case(|deployment| deployment.load_reports.loads = vec!["mood".into()], "sums.loads"; "an unknown load metric")]
fn an_invalid_value_is_reported_with_its_field(invalidate: fn(&mut Deployment), field: &str) {
    let mut deployment = test_deployment();
    assert_eq!(deployment.validate(), []);
    invalidate(&mut deployment);
    assert_eq!(
        deployment
            .validate()
            .iter()
            .map(|error| error.field.as_str())
            .collect::<Vec<_>>(),
        [field]
    );
}

#[test]
fn errors_name_the_field_the_value_and_the_limit() {
    let mut deployment = test_deployment();
    deployment.kinds = vec!["small".into()];
    deployment.operations[0].billed_value = 2e9;
    deployment.controllers.tick = Span::ZERO;
    deployment.load_reports.loads = vec!["mood".into()];
    deployment.solver = Some(SolverConfig {
        capacities: [("large".to_string(), 1e9)].into(),
        work: [("quote".to_string(), Work(Span::ZERO))].into(),
        every: Span::from_seconds(2.0),
        least_share: 0.05,
        fill_at_most: 0.85,
    });
    let errors: Vec<String> = deployment
        .validate()
        .iter()
        .map(ToString::to_string)
        .collect();
    assert_eq!(
        errors,
        [
            "sums.loads: `mood` is not a load metric that nodes report: utilization, queue are",
            "operations.0.billed_value: 2000000000 should be above 0 and at most 1e9",
            "conductors.tick (seconds): 0 should lie between 0.001 and 1",
            "solver.capacities: kind `small` has no capacity",
            "solver.work: operation `book` has no work per request",
            "solver.capacities.large: 1000000000 should lie between 0.001 and 1000000",
            "solver.work.quote (seconds): 0 should lie between 0.000001 and 3600",
        ]
    );
}
