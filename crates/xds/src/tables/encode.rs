//! Encodes tables as `ClusterLoadAssignment`s and a `RouteConfiguration`.

use super::retry_conditions::conditions;
use super::{LOCAL_RATE_LIMIT, MILLION, WEIGHT_SCALE};
use crate::convert::{duration, host_identifier, locality_groups};
use crate::json::LocalRateLimit;
use prost::{Message, Name};
use std::collections::BTreeMap;
use wheelspread::time::Span;
use wheelspread_controller_core::deployment::{AdmissionForm, Deployment, OperationConfig};
use wheelspread_controller_core::publication::{OperationTable, TableEntry, TableSet};
use xds_api::pb::envoy::config::core::v3 as core;
use xds_api::pb::envoy::config::endpoint::v3 as endpoint;
use xds_api::pb::envoy::config::endpoint::v3::cluster_load_assignment::{
    policy::DropOverload, Policy,
};
use xds_api::pb::envoy::config::route::v3 as route;
use xds_api::pb::envoy::r#type::v3::{
    fractional_percent::DenominatorType, FractionalPercent, TokenBucket,
};
use xds_api::pb::google::protobuf::Any;

/// The name of the route configuration with a route for each operation.
pub const ALL_OPERATIONS: &str = "operations";
/// The category of drops, also used as the prefix of rate limit metrics.
const ADMISSION_CATEGORY: &str = "admission";
/// The retry host predicate that excludes hosts that were tried before.
const PREVIOUS_HOSTS_PREDICATE: &str = "envoy.retry_host_predicates.previous_hosts";
const MAX_WEIGHT: f64 = 1e9;
const MAX_TOKENS: f64 = 4e9;
/// The minimum rate, in requests per second, from which a bucket is filled every second.
const FREQUENT_FILL_MIN_RATE: f64 = 10.0;
const FREQUENT_FILL_SECONDS: f64 = 1.0;
const RARE_FILL_SECONDS: f64 = 10.0;

/// The resources of a table set.
pub(crate) struct TableResources {
    /// One assignment for each operation.
    pub(crate) assignments: Vec<endpoint::ClusterLoadAssignment>,
    /// The route configuration with one route for each operation.
    pub(crate) routes: route::RouteConfiguration,
}

/// Encodes a table set. Operations that the deployment does not have are left out.
pub(crate) fn encode_resources(set: &TableSet, deployment: &Deployment) -> TableResources {
    let tables: Vec<(&OperationConfig, &OperationTable)> = set
        .operations
        .iter()
        .filter_map(|table| {
            let index = usize::from(table.operation.0);
            Some((deployment.operations.get(index)?, table))
        })
        .collect();
    let assignments = tables
        .iter()
        .map(|(operation, table)| encode_assignment(&operation.name, table, deployment));
    let routes = tables
        .iter()
        .map(|(operation, table)| encode_route(operation, table, deployment));
    TableResources {
        assignments: assignments.collect(),
        routes: route::RouteConfiguration {
            name: ALL_OPERATIONS.to_string(),
            virtual_hosts: vec![route::VirtualHost {
                name: ALL_OPERATIONS.to_string(),
                domains: vec!["*".to_string()],
                routes: routes.collect(),
                ..route::VirtualHost::default()
            }],
            ..route::RouteConfiguration::default()
        },
    }
}

fn encode_assignment(
    name: &str,
    table: &OperationTable,
    deployment: &Deployment,
) -> endpoint::ClusterLoadAssignment {
    let mut zones: BTreeMap<&str, Vec<endpoint::LbEndpoint>> = BTreeMap::new();
    for entry in &table.entries {
        let entries = zones.entry(&entry.zone).or_default();
        entries.push(encode_entry(entry));
    }
    let admission_ratio = table
        .admission_limit
        .filter(|ratio| deployment.admission == AdmissionForm::Share && *ratio < 1.0);
    endpoint::ClusterLoadAssignment {
        cluster_name: name.to_string(),
        endpoints: locality_groups(zones),
        policy: admission_ratio.map(encode_drops),
        ..endpoint::ClusterLoadAssignment::default()
    }
}

fn encode_entry(entry: &TableEntry) -> endpoint::LbEndpoint {
    let weight = (entry.weight * WEIGHT_SCALE).round().clamp(1.0, MAX_WEIGHT) as u32;
    endpoint::LbEndpoint {
        health_status: core::HealthStatus::Healthy.into(),
        load_balancing_weight: Some(weight.into()),
        host_identifier: Some(host_identifier(entry.node)),
        ..endpoint::LbEndpoint::default()
    }
}

fn encode_drops(admission_ratio: f64) -> Policy {
    let drops = DropOverload {
        category: ADMISSION_CATEGORY.to_string(),
        drop_percentage: Some(FractionalPercent {
            numerator: ((1.0 - admission_ratio.max(0.0)) * MILLION).round() as u32,
            denominator: DenominatorType::Million.into(),
        }),
    };
    Policy {
        drop_overloads: vec![drops],
        ..Policy::default()
    }
}

fn encode_route(
    operation: &OperationConfig,
    table: &OperationTable,
    deployment: &Deployment,
) -> route::Route {
    let name = &operation.name;
    let rate = table
        .admission_limit
        .filter(|rate| deployment.admission == AdmissionForm::Rate && rate.is_finite());
    let limit = rate.map(|rate| (LOCAL_RATE_LIMIT.to_string(), encode_rate_limit(rate)));
    let action = route::RouteAction {
        timeout: Some(duration(operation.integration_timeout)),
        retry_policy: encode_retries(operation, table, deployment),
        cluster_specifier: Some(route::route_action::ClusterSpecifier::Cluster(name.clone())),
        ..route::RouteAction::default()
    };
    let path = route::route_match::PathSpecifier::PathSeparatedPrefix(format!("/{name}"));
    route::Route {
        name: name.clone(),
        r#match: Some(route::RouteMatch {
            path_specifier: Some(path),
            ..route::RouteMatch::default()
        }),
        typed_per_filter_config: limit.into_iter().collect(),
        action: Some(route::route::Action::Route(action)),
        ..route::Route::default()
    }
}

fn encode_retries(
    operation: &OperationConfig,
    table: &OperationTable,
    deployment: &Deployment,
) -> Option<route::RetryPolicy> {
    let conditions = conditions(table.retry)?;
    let attempt_timeout = operation.latency_objective * deployment.first_wait;
    Some(route::RetryPolicy {
        retry_on: conditions.retry_on.to_string(),
        num_retries: Some(conditions.max_retries.into()),
        per_try_timeout: conditions
            .has_attempt_timeout
            .then(|| duration(attempt_timeout)),
        retry_host_predicate: vec![route::retry_policy::RetryHostPredicate {
            name: PREVIOUS_HOSTS_PREDICATE.to_string(),
            ..Default::default()
        }],
        ..route::RetryPolicy::default()
    })
}

fn encode_rate_limit(rate: f64) -> Any {
    // Token counts are integers, so low rates use a longer fill interval to limit the rounding error.
    let seconds = if rate >= FREQUENT_FILL_MIN_RATE {
        FREQUENT_FILL_SECONDS
    } else {
        RARE_FILL_SECONDS
    };
    let tokens = (rate * seconds).round().clamp(0.0, MAX_TOKENS) as u32;
    let limit = LocalRateLimit {
        stat_prefix: ADMISSION_CATEGORY.to_string(),
        token_bucket: Some(TokenBucket {
            max_tokens: tokens.max(1),
            tokens_per_fill: Some(tokens.max(1).into()),
            fill_interval: Some(duration(Span::from_seconds(seconds))),
        }),
    };
    Any {
        type_url: LocalRateLimit::type_url(),
        value: limit.encode_to_vec(),
    }
}
