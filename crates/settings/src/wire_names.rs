//! Tables that map names on the wire of the simulator and the platform to internal names.

/// The path of a setting on the wire and its internal name. In a pattern, `*` stands for an index in a list.
pub(crate) struct SettingName {
    pub(crate) wire: &'static str,
    pub(crate) internal: &'static str,
}

const fn named(wire: &'static str, internal: &'static str) -> SettingName {
    SettingName { wire, internal }
}

/// Settings outside of lists.
pub(crate) const SETTING_NAMES: &[SettingName] = &[
    named("az", "conductor.zone"),
    named("me", "conductor.number"),
    named("peers_total", "conductor.count"),
    named("discovery", "list.delivery"),
    named("tick", "conductor.tick"),
    named("weights", "list.weights"),
    named("extra.admit", "level.form"),
    named("extra.backlog", "channel.lines_waiting_at_most"),
    named("extra.bare", "rules.without_node_at_most"),
    named("extra.base_mode", "retry.usual"),
    named("extra.buffer_for", "slice.wait"),
    named("extra.exclusive", "slice.single_owner"),
    named("extra.fails_to_eject", "proxy.errors_until_avoided"),
    named("extra.first_wait", "retry.wait_in_objectives"),
    named("extra.head", "channel.head_lines"),
    named("extra.hears_per_s", "sums.lines_per_second"),
    named("extra.homed_by_zone", "conductor.joined_by_zone"),
    named("extra.min_conn_cap", "node.connections"),
    named("extra.order_price", "price.orders"),
    named("extra.period", "sums.period"),
    named("extra.pick", "proxy.pick"),
    named("extra.proxy_count", "proxy.count"),
    named("extra.push_delay", "channel.delay"),
    named("extra.push_delay_max", "channel.delay_at_most"),
    named("extra.push_rate", "channel.lines_per_second"),
    named("extra.pushes_allowed", "channel.messages_at_most"),
    named("extra.update_window", "channel.messages_window"),
    named("extra.reassign_price", "price.moves"),
    named("extra.settle", "slice.settle"),
    named("extra.shards", "slice.count"),
    named("extra.standing", "proxy.standing_lines"),
    named("extra.tenure", "slice.lease"),
    named("extra.warm_keys", "node.remembers_keys"),
    named("feedback.via", "report.way"),
    named("goal.whole", "goal.whole"),
    named("goal.worst_class", "goal.worst_operation"),
    named("goal.worst_window", "goal.worst_window"),
    named("limits.conn_idle", "proxy.connection_idle"),
    named("limits.connect_timeout", "proxy.connect_timeout"),
    named("limits.max_streams", "proxy.invocations_on_connection"),
    named("limits.peer_messages", "peers.may_tell"),
    named("limits.probes", "probes.allowed"),
    named("prices.cross_zone", "price.cross_zone"),
    named("prices.waste", "price.waste"),
    named("prices.late_fail", "price.late"),
    named("prices.probe", "price.probe"),
    named("prices.handshake", "price.handshake"),
    named("rules.ask_within", "rules.ask_within"),
    named("rules.overload_factor", "rules.cold_overload_factor"),
    named("rules.start_capacity", "rules.cold_start_share"),
    named("rules.stop_sending_within", "rules.drain_grace"),
    named("rules.tip_after", "rules.cold_overload_span"),
    named("rules.warm_after", "rules.warm_after"),
    named("rules.gone_is_advice", "rules.gone_is_advice"),
];

/// Settings of every operation, and of every item of other lists.
pub(crate) const LIST_ITEM_NAMES: &[SettingName] = &[
    named("classes.*.aim", "operation.*.latency_objective"),
    named("classes.*.aim_stretch", "operation.*.objective_stretch"),
    named("classes.*.deadline", "operation.*.integration_timeout"),
    named("classes.*.worth", "operation.*.billed_value"),
    named("classes.*.late_value", "operation.*.late_share"),
    named("classes.*.idempotency", "operation.*.repeat"),
    named("classes.*.group", "operation.*.repeat_group"),
    named("classes.*.key_ttl", "operation.*.repeat_window"),
    named("extra.stays_local.*", "operation.*.stays_in_zone"),
    named("extra.write_classes.*", "operation.*.writes"),
    named("feedback.fields.*", "report.field.*"),
];

/// Lists whose length is an internal setting.
pub(crate) const LIST_LENGTH_NAMES: &[SettingName] = &[
    named("classes", "operation.count"),
    named("feedback.fields", "report.field.count"),
    named("zones", "zone.count"),
];

/// The name of a value on the wire and its different internal name.
pub(crate) struct ValueName {
    /// A part of the internal names of the settings that can have the value.
    pub(crate) setting: &'static str,
    pub(crate) wire: &'static str,
    pub(crate) internal: &'static str,
}

const fn value(setting: &'static str, wire: &'static str, internal: &'static str) -> ValueName {
    ValueName {
        setting,
        wire,
        internal,
    }
}

/// Values with a different internal name.
pub(crate) const VALUE_NAMES: &[ValueName] = &[
    value("repeat", "read_like", "idempotent"),
    value("repeat", "idempotency_key", "fingerprinted"),
    value("repeat", "non_idempotent", "side-effecting"),
    value("form", "ratio", "share"),
    value("form", "rps", "rate"),
    value("form", "silent", "none"),
    value("field", "busy", "utilization"),
    value("field", "q", "queue"),
    value("field", "lat_ms", "service-ms"),
    value("field", "rif", "in-flight"),
    // Messages of a platform use the original metric names of the simulator.
    value("field", "util", "utilization"),
    value("field", "latency_ms", "service-ms"),
    value("field", "inflight", "in-flight"),
];
