//! Validation of a deployment's settings. All errors are reported, in the order of the checks.

use super::{ConfigError, ConfigErrorKind, Deployment, OperationConfig, RetryClass, SolverConfig};
use std::ops::RangeInclusive;
use wheelspread::time::Span;

/// Load metrics that nodes can report.
const LOAD_METRICS: &[&str] = &["utilization", "queue"];
const MAX_OPERATIONS: usize = 16;
const MAX_ZONES: usize = 250;
const MAX_KINDS: usize = 250;
const MAX_NAME_LENGTH: usize = 100;
const MAX_BILLED_VALUE: f64 = 1e9;
/// Allowed length of a time span of the rules, in seconds.
const RULE_SPAN_SECONDS: RangeInclusive<f64> = 0.05..=3600.0;

/// Collects the errors of all fields.
#[derive(Default)]
struct Errors(Vec<ConfigError>);

impl Errors {
    fn push(&mut self, field: impl Into<String>, kind: ConfigErrorKind) {
        self.0.push(ConfigError {
            field: field.into(),
            kind,
        });
    }

    fn check_range(&mut self, field: &str, value: f64, range: RangeInclusive<f64>) {
        // NaN is outside of every range.
        if !range.contains(&value) {
            let kind = ConfigErrorKind::OutOfRange {
                value,
                min: *range.start(),
                max: *range.end(),
            };
            self.push(field, kind);
        }
    }

    fn check_seconds(&mut self, field: &str, span: Span, range: RangeInclusive<f64>) {
        self.check_range(&format!("{field} (seconds)"), span.seconds(), range);
    }

    fn check_name(&mut self, field: &str, name: &str) {
        if !is_valid_name(name) {
            let name = name.to_string();
            self.push(field, ConfigErrorKind::InvalidName { name });
        }
    }

    fn check_unique<'a>(
        &mut self,
        field: &str,
        name: &str,
        mut others: impl Iterator<Item = &'a String>,
    ) {
        if others.any(|other| other == name) {
            let name = name.to_string();
            self.push(field, ConfigErrorKind::DuplicateName { name });
        }
    }
}

/// Whether a name is safe in file paths and logs: 1 to 100 ASCII letters, digits, `-` or `_`.
pub(crate) fn is_valid_name(name: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    !name.is_empty() && name.len() <= MAX_NAME_LENGTH && name.chars().all(is_allowed)
}

impl Deployment {
    /// Returns an error for every field with an invalid value; an empty list if the deployment is valid.
    pub fn validate(&self) -> Vec<ConfigError> {
        let mut errors = Errors::default();
        check_names(&mut errors, "zones", &self.zones);
        check_names(&mut errors, "kinds", &self.kinds);
        check_names(&mut errors, "sums.loads", &self.load_reports.loads);
        self.check_zone_and_kind_counts(&mut errors);
        self.check_load_metrics(&mut errors);
        self.check_operations(&mut errors);
        self.check_controllers_and_proxies(&mut errors);
        self.check_rules(&mut errors);
        self.check_inputs_and_queue(&mut errors);
        if let Some(solver) = &self.solver {
            self.check_solver_is_complete(&mut errors, solver);
            check_solver_values(&mut errors, solver);
        }
        errors.check_range("cross_zone_price", self.cross_zone_price, 0.0..=1.0);
        errors.0
    }

    fn check_zone_and_kind_counts(&self, errors: &mut Errors) {
        if self.zones.is_empty() || self.zones.len() > MAX_ZONES {
            let kind = ConfigErrorKind::CountOutOfRange {
                items: "zones",
                count: self.zones.len(),
                min: 1,
                max: MAX_ZONES,
            };
            errors.push("zones", kind);
        }
        if self.kinds.len() > MAX_KINDS {
            let kind = ConfigErrorKind::TooMany {
                items: "kinds",
                count: self.kinds.len(),
                max: MAX_KINDS,
            };
            errors.push("kinds", kind);
        }
    }

    fn check_load_metrics(&self, errors: &mut Errors) {
        for name in &self.load_reports.loads {
            if !LOAD_METRICS.contains(&name.as_str()) {
                let kind = ConfigErrorKind::UnknownLoadMetric {
                    name: name.clone(),
                    known: LOAD_METRICS,
                };
                errors.push("sums.loads", kind);
            }
        }
    }

    fn check_operations(&self, errors: &mut Errors) {
        if self.operations.is_empty() || self.operations.len() > MAX_OPERATIONS {
            let kind = ConfigErrorKind::CountOutOfRange {
                items: "operations",
                count: self.operations.len(),
                min: 1,
                max: MAX_OPERATIONS,
            };
            errors.push("operations", kind);
        }
        for (index, operation) in self.operations.iter().enumerate() {
            let field = format!("operations.{index}.name");
            let earlier = self.operations[..index].iter().map(|other| &other.name);
            errors.check_name(&field, &operation.name);
            errors.check_unique(&field, &operation.name, earlier);
            check_operation(errors, index, operation);
        }
    }

    fn check_controllers_and_proxies(&self, errors: &mut Errors) {
        let (controllers, proxies) = (&self.controllers, &self.proxies);
        errors.check_range(
            "conductors.count",
            f64::from(controllers.count),
            1.0..=1000.0,
        );
        errors.check_seconds("conductors.tick", controllers.tick, 0.001..=1.0);
        errors.check_range("proxies.count", f64::from(proxies.count), 1.0..=60000.0);
        errors.check_range("proxies.usual_rate", proxies.usual_rate, 0.0..=1e7);
    }

    fn check_rules(&self, errors: &mut Errors) {
        let rules = &self.rules;
        errors.check_range("rules.cold_start_share", rules.cold_start_share, 0.01..=1.0);
        errors.check_range(
            "rules.cold_overload_factor",
            rules.cold_overload_factor,
            1.0..=100.0,
        );
        let spans = [
            ("rules.without_node_at_most", rules.without_node_at_most),
            ("rules.drain_grace", rules.drain_grace),
            ("rules.cold_overload_span", rules.cold_overload_span),
            ("channel.messages_window", self.update_queue.messages_window),
        ];
        for (field, span) in spans {
            errors.check_seconds(field, span, RULE_SPAN_SECONDS);
        }
    }

    fn check_inputs_and_queue(&self, errors: &mut Errors) {
        if !self.table_delivery.files && !self.table_delivery.streams {
            errors.push("fronts", ConfigErrorKind::NoTableDelivery);
        }
        errors.check_seconds("sums.period", self.load_reports.period, 0.05..=60.0);
        let queue = &self.update_queue;
        errors.check_range(
            "channel.lines_waiting_at_most",
            queue.max_queued_entries,
            10.0..=1e9,
        );
        errors.check_range(
            "channel.head_lines",
            queue.message_overhead_entries,
            0.0..=1e4,
        );
        errors.check_range(
            "channel.lines_per_second",
            queue.entries_per_second,
            10.0..=1e9,
        );
        errors.check_range(
            "list.shrinks_at_most",
            self.list.shrinks_at_most,
            0.05..=1.0,
        );
        errors.check_range("first_wait", self.first_wait, 0.1..=100.0);
    }

    /// Checks that the solver has the capacity of every kind and the work of every operation.
    fn check_solver_is_complete(&self, errors: &mut Errors, solver: &SolverConfig) {
        for kind in &self.kinds {
            if !solver.capacities.contains_key(kind) {
                let kind = kind.clone();
                errors.push(
                    "solver.capacities",
                    ConfigErrorKind::CapacityMissing { kind },
                );
            }
        }
        for operation in &self.operations {
            if !solver.work.contains_key(&operation.name) {
                let operation = operation.name.clone();
                errors.push("solver.work", ConfigErrorKind::WorkMissing { operation });
            }
        }
    }
}

fn check_names(errors: &mut Errors, field: &str, names: &[String]) {
    for (index, name) in names.iter().enumerate() {
        let item = format!("{field}.{index}");
        errors.check_name(&item, name);
        errors.check_unique(&item, name, names[..index].iter());
    }
}

fn check_operation(errors: &mut Errors, index: usize, operation: &OperationConfig) {
    let field = |name: &str| format!("operations.{index}.{name}");
    let objective = operation.latency_objective;
    if objective <= Span::ZERO {
        let kind = ConfigErrorKind::SpanNotPositive { value: objective };
        errors.push(field("latency_objective"), kind);
    }
    let timeout = operation.integration_timeout;
    if timeout < objective {
        let kind = ConfigErrorKind::BelowLatencyObjective { timeout, objective };
        errors.push(field("integration_timeout"), kind);
    }
    let value = operation.billed_value;
    if !(value > 0.0 && value <= MAX_BILLED_VALUE) {
        let max = MAX_BILLED_VALUE;
        let kind = ConfigErrorKind::NotPositive { value, max };
        errors.push(field("billed_value"), kind);
    }
    let value = operation.retry_window;
    if operation.retry_class == RetryClass::Fingerprinted && value <= Span::ZERO {
        let kind = ConfigErrorKind::RetryWindowMissing { value };
        errors.push(field("repeat_window"), kind);
    }
    errors.check_range(&field("late_share"), operation.late_share, 0.0..=1.0);
}

fn check_solver_values(errors: &mut Errors, solver: &SolverConfig) {
    for (kind, capacity) in &solver.capacities {
        let field = format!("solver.capacities.{kind}");
        errors.check_range(&field, *capacity, 1e-3..=1e6);
    }
    for (operation, work) in &solver.work {
        let field = format!("solver.work.{operation}");
        errors.check_seconds(&field, work.0, 1e-6..=3600.0);
    }
    errors.check_seconds("solver.every", solver.every, 0.1..=600.0);
    errors.check_range("solver.least_share", solver.least_share, 0.0..=1.0);
    errors.check_range("solver.fill_at_most", solver.fill_at_most, 0.05..=1.0);
}
