//! Conversion of the deployment to the named settings that the balancer reads.

use super::{Deployment, OperationConfig, RuleConfig};
use wheelspread::settings::{SettingValue, Settings};
use wheelspread::time::Span;

/// Builder of the balancer's settings. Each setting is set once.
#[derive(Default)]
struct SettingsBuilder(Settings);

impl SettingsBuilder {
    fn put(&mut self, name: &str, value: SettingValue) {
        self.0 .0.insert(name.to_string(), value);
    }

    fn number(&mut self, name: &str, value: impl Into<f64>) {
        self.put(name, SettingValue::Number(value.into()));
    }

    fn count(&mut self, name: &str, count: usize) {
        self.put(name, SettingValue::Number(count as f64));
    }

    /// Sets a span, as a number of seconds.
    fn span(&mut self, name: &str, span: Span) {
        self.put(name, SettingValue::Number(span.seconds()));
    }

    fn flag(&mut self, name: &str, value: bool) {
        self.put(name, SettingValue::Flag(value));
    }

    fn text(&mut self, name: &str, text: &str) {
        self.put(name, SettingValue::Text(text.to_string()));
    }
}

impl Deployment {
    /// The settings by the names that the balancer reads. `number` is the controller's number, `zone` its zone
    /// if only proxies of that zone join it.
    pub fn to_settings(&self, number: u32, zone: Option<u16>) -> Settings {
        let mut settings = SettingsBuilder::default();
        self.put_controller(&mut settings, number, zone);
        self.put_fleet(&mut settings);
        self.put_update_queue(&mut settings);
        put_rules(&mut settings, &self.rules);
        self.put_load_reports(&mut settings);
        settings.number("price.cross_zone", self.cross_zone_price);
        settings.text("level.form", self.admission.setting());
        for (index, operation) in self.operations.iter().enumerate() {
            put_operation(&mut settings, index, operation);
        }
        settings.0
    }

    fn put_controller(&self, settings: &mut SettingsBuilder, number: u32, zone: Option<u16>) {
        settings.number("conductor.count", self.controllers.count);
        settings.number("conductor.number", number);
        settings.flag("conductor.joined_by_zone", self.controllers.joined_by_zone);
        settings.span("conductor.tick", self.controllers.tick);
        if let Some(zone) = zone {
            settings.number("conductor.zone", zone);
        }
        settings.flag("peers.may_tell", false);
    }

    fn put_fleet(&self, settings: &mut SettingsBuilder) {
        let proxies = &self.proxies;
        settings.count("zone.count", self.zones.len());
        settings.count("operation.count", self.operations.len());
        settings.number("proxy.count", proxies.count);
        settings.number("proxy.errors_until_avoided", proxies.errors_until_avoided);
        settings.span("proxy.connection_idle", proxies.connection_idle);
    }

    fn put_update_queue(&self, settings: &mut SettingsBuilder) {
        let queue = &self.update_queue;
        settings.number("channel.lines_waiting_at_most", queue.max_queued_entries);
        settings.number("channel.head_lines", queue.message_overhead_entries);
        settings.number("channel.lines_per_second", queue.entries_per_second);
        settings.span("channel.delay_at_most", queue.max_delay);
        settings.number("channel.messages_at_most", queue.max_messages);
        settings.span("channel.messages_window", queue.messages_window);
    }

    fn put_load_reports(&self, settings: &mut SettingsBuilder) {
        settings.span("sums.period", self.load_reports.period);
        settings.count("report.field.count", self.load_reports.loads.len());
        for (index, load) in self.load_reports.loads.iter().enumerate() {
            settings.text(&format!("report.field.{index}"), load);
        }
    }
}

fn put_rules(settings: &mut SettingsBuilder, rules: &RuleConfig) {
    settings.span("rules.without_node_at_most", rules.without_node_at_most);
    settings.span("rules.drain_grace", rules.drain_grace);
    settings.number("rules.cold_start_share", rules.cold_start_share);
    settings.span("rules.warm_after", rules.warm_after);
    settings.number("rules.cold_overload_factor", rules.cold_overload_factor);
    settings.span("rules.cold_overload_span", rules.cold_overload_span);
}

fn put_operation(settings: &mut SettingsBuilder, index: usize, operation: &OperationConfig) {
    let name = |field: &str| format!("operation.{index}.{field}");
    settings.span(&name("latency_objective"), operation.latency_objective);
    settings.span(&name("integration_timeout"), operation.integration_timeout);
    settings.number(&name("billed_value"), operation.billed_value);
    settings.number(&name("late_share"), operation.late_share);
    settings.text(&name("repeat"), operation.retry_class.setting());
    settings.text(&name("repeat_group"), operation.retry_scope.setting());
    settings.span(&name("repeat_window"), operation.retry_window);
    settings.flag(&name("stays_in_zone"), operation.stays_in_zone);
}
