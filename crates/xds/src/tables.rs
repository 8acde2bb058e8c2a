//! A proxy's tables at one version: endpoints with weights and drop shares (EDS), routes with time-outs,
//! retries and local rate limits (RDS). One cluster and one route for each operation, named after it; an
//! invocation's operation is the first part of its path.

use crate::json::{self, LocalRateLimit};
use crate::{address, content, node_id, Unreadable};
use prost::{Message, Name};
use std::collections::BTreeMap;
use wheelspread::ids::{OperationId, TableId};
use wheelspread::time::Span;
use wheelspread::RetryPolicy;
use wheelspread_controller_core::deployment::{AdmissionForm, Deployment};
use wheelspread_controller_core::publication::{
    BundleId, OperationTable, TableEntry, TableSet, Version,
};
use xds_api::pb::envoy::config::core::v3 as core;
use xds_api::pb::envoy::config::endpoint::v3 as endpoint;
use xds_api::pb::envoy::config::endpoint::v3::cluster_load_assignment::{
    policy::DropOverload, Policy,
};
use xds_api::pb::envoy::config::route::v3 as route;
use xds_api::pb::envoy::r#type::v3::{
    fractional_percent::DenominatorType, FractionalPercent, TokenBucket,
};
use xds_api::pb::envoy::service::discovery::v3::DiscoveryResponse;
use xds_api::pb::google::protobuf::{Any, Duration};

/// Weights are whole numbers in the published form: these are as many to one of ours.
const WEIGHT_UNIT: f64 = 1000.0;
const MILLION: f64 = 1e6;
const DROPPED: &str = "admission";
const LOCAL_RATE_LIMIT: &str = "envoy.filters.http.local_ratelimit";
const OTHER_HOST: &str = "envoy.retry_host_predicates.previous_hosts";

/// How each retry order is said: conditions, number of tries more, whether a try is given up early.
const RETRIES: &[(RetryPolicy, &str, u32, bool)] = &[
    (
        RetryPolicy::IfUnprocessed,
        "connect-failure,refused-stream,reset-before-request",
        1,
        false,
    ),
    (
        RetryPolicy::OnceOnAnyFailure,
        "5xx,reset,connect-failure,refused-stream,retriable-4xx",
        1,
        true,
    ),
    (
        RetryPolicy::TwiceOnAnyFailure,
        "5xx,reset,connect-failure,refused-stream,retriable-4xx",
        2,
        true,
    ),
];

/// The two documents of a version.
#[derive(Clone, Debug, PartialEq)]
pub struct Documents {
    pub eds: String,
    pub rds: String,
}

/// What a proxy reads out of the documents: for each operation its nodes, and the orders that go with it.
#[derive(Clone, Debug, PartialEq)]
pub struct OperationOrders {
    pub operation: String,
    pub lines: Vec<TableEntry>,
    /// Of a million invocations, so many are turned away.
    pub dropped_of_million: u32,
    /// Invocations a second.
    pub rate: Option<f64>,
    pub retry: RetryPolicy,
    pub per_try_timeout: Option<Span>,
    pub timeout: Option<Span>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Orders {
    pub version: Version,
    pub operations: Vec<OperationOrders>,
}

fn duration(span: Span) -> Duration {
    let us = span.micros();
    Duration {
        seconds: us.div_euclid(1_000_000),
        nanos: us.rem_euclid(1_000_000) as i32 * 1000,
    }
}

fn span(duration: &Duration) -> Span {
    Span::from_seconds(duration.seconds as f64 + f64::from(duration.nanos) / 1e9)
}

/// The resources that say what a set of tables holds.
pub fn resources(
    set: &TableSet,
    plan: &Deployment,
) -> (
    Vec<endpoint::ClusterLoadAssignment>,
    route::RouteConfiguration,
) {
    let name = |id: OperationId| {
        plan.operations
            .get(usize::from(id.0))
            .map(|operation| operation.name.clone())
    };
    let named: Vec<(String, &OperationTable)> = set
        .operations
        .iter()
        .filter_map(|table| Some((name(table.operation)?, table)))
        .collect();
    let assignments = named
        .iter()
        .map(|(name, table)| assignment(name, table, plan))
        .collect();
    let routes = named
        .iter()
        .map(|(name, table)| route_of(name, table, plan))
        .collect();
    let configuration = route::RouteConfiguration {
        name: "operations".to_string(),
        virtual_hosts: vec![route::VirtualHost {
            name: "operations".to_string(),
            domains: vec!["*".to_string()],
            routes,
            ..route::VirtualHost::default()
        }],
        ..route::RouteConfiguration::default()
    };
    (assignments, configuration)
}

pub fn write(set: &TableSet, plan: &Deployment) -> Result<Documents, Unreadable> {
    let (assignments, configuration) = resources(set, plan);
    let version = set.version.0.to_string();
    Ok(Documents {
        eds: json::write(&json::response(&version, &assignments))?,
        rds: json::write(&json::response(&version, &[configuration]))?,
    })
}

fn assignment(
    name: &str,
    table: &OperationTable,
    plan: &Deployment,
) -> endpoint::ClusterLoadAssignment {
    let mut zones: BTreeMap<&str, Vec<endpoint::LbEndpoint>> = BTreeMap::new();
    for line in &table.entries {
        let weight = (line.weight * WEIGHT_UNIT).round().clamp(1.0, 1e9) as u32;
        zones
            .entry(&line.zone)
            .or_default()
            .push(endpoint::LbEndpoint {
                health_status: core::HealthStatus::Healthy.into(),
                load_balancing_weight: Some(weight.into()),
                host_identifier: Some(endpoint::lb_endpoint::HostIdentifier::Endpoint(
                    endpoint::Endpoint {
                        address: Some(address(line.node)),
                        ..endpoint::Endpoint::default()
                    },
                )),
                ..endpoint::LbEndpoint::default()
            });
    }
    let endpoints = zones
        .into_iter()
        .map(|(zone, lb_endpoints)| endpoint::LocalityLbEndpoints {
            locality: Some(core::Locality {
                zone: zone.to_string(),
                ..core::Locality::default()
            }),
            lb_endpoints,
            ..endpoint::LocalityLbEndpoints::default()
        });
    let share = table
        .admission_limit
        .filter(|quota| plan.admission == AdmissionForm::Share && *quota < 1.0);
    let drop_overloads = share.map(|share| DropOverload {
        category: DROPPED.to_string(),
        drop_percentage: Some(FractionalPercent {
            numerator: ((1.0 - share.max(0.0)) * MILLION).round() as u32,
            denominator: DenominatorType::Million.into(),
        }),
    });
    let policy = drop_overloads.map(|overload| Policy {
        drop_overloads: vec![overload],
        ..Policy::default()
    });
    endpoint::ClusterLoadAssignment {
        cluster_name: name.to_string(),
        endpoints: endpoints.collect(),
        policy,
        ..endpoint::ClusterLoadAssignment::default()
    }
}

fn route_of(name: &str, table: &OperationTable, plan: &Deployment) -> route::Route {
    let operation = &plan.operations[usize::from(table.operation.0)];
    let said = RETRIES.iter().find(|row| row.0 == table.retry);
    let retry_policy = said.map(|(_, retry_on, tries, early)| route::RetryPolicy {
        retry_on: retry_on.to_string(),
        num_retries: Some((*tries).into()),
        per_try_timeout: early.then(|| duration(operation.latency_objective * plan.first_wait)),
        retry_host_predicate: vec![route::retry_policy::RetryHostPredicate {
            name: OTHER_HOST.to_string(),
            ..Default::default()
        }],
        retriable_status_codes: Vec::new(),
        ..route::RetryPolicy::default()
    });
    let rate = table
        .admission_limit
        .filter(|quota| plan.admission == AdmissionForm::Rate && quota.is_finite());
    let limit = rate.map(|rate| {
        // A bucket filled once a second holds whole tokens; low rates are filled more rarely.
        let seconds = if rate >= 10.0 { 1.0 } else { 10.0 };
        let tokens = (rate * seconds).round().clamp(0.0, 4e9) as u32;
        let limit = LocalRateLimit {
            stat_prefix: DROPPED.to_string(),
            token_bucket: Some(TokenBucket {
                max_tokens: tokens.max(1),
                tokens_per_fill: Some(tokens.max(1).into()),
                fill_interval: Some(duration(Span::from_seconds(seconds))),
            }),
        };
        let any = Any {
            type_url: LocalRateLimit::type_url(),
            value: limit.encode_to_vec(),
        };
        (LOCAL_RATE_LIMIT.to_string(), any)
    });
    let action = route::RouteAction {
        timeout: Some(duration(operation.integration_timeout)),
        retry_policy,
        cluster_specifier: Some(route::route_action::ClusterSpecifier::Cluster(
            name.to_string(),
        )),
        ..route::RouteAction::default()
    };
    let path = route::route_match::PathSpecifier::PathSeparatedPrefix(format!("/{name}"));
    route::Route {
        name: name.to_string(),
        r#match: Some(route::RouteMatch {
            path_specifier: Some(path),
            ..route::RouteMatch::default()
        }),
        typed_per_filter_config: limit.into_iter().collect(),
        action: Some(route::route::Action::Route(action)),
        ..route::Route::default()
    }
}

// ---- as a proxy reads them ----

/// Reads both documents. They must be of one version and speak of the same operations.
pub fn read(documents: &Documents) -> Result<Orders, Unreadable> {
    let eds: DiscoveryResponse = json::read(&documents.eds)?;
    let rds: DiscoveryResponse = json::read(&documents.rds)?;
    if eds.version_info != rds.version_info {
        let text = format!(
            "version {} beside {} of the routes",
            eds.version_info, rds.version_info
        );
        return Err(content("endpoints", text));
    }
    let version = eds
        .version_info
        .parse()
        .map_err(|_| content("version", format!("`{}`", eds.version_info)))?;
    orders_of(
        Version(version),
        json::resources(&eds)?,
        &json::resources(&rds)?,
    )
}

/// What a proxy makes of the resources of one version.
pub fn orders_of(
    version: Version,
    assignments: Vec<endpoint::ClusterLoadAssignment>,
    routes: &[route::RouteConfiguration],
) -> Result<Orders, Unreadable> {
    let mut operations = Vec::new();
    for assignment in assignments {
        let name = assignment.cluster_name.clone();
        let hosts = routes.iter().flat_map(|routes| &routes.virtual_hosts);
        let route = hosts
            .flat_map(|host| &host.routes)
            .find(|route| route.name == name);
        let route = route.ok_or_else(|| content(format!("cluster `{name}`"), "it has no route"))?;
        let place = |text: String| content(format!("operation `{name}`"), text);
        operations.push(orders(name.clone(), &assignment, route).map_err(place)?);
    }
    Ok(Orders {
        version,
        operations,
    })
}

fn orders(
    operation: String,
    assignment: &endpoint::ClusterLoadAssignment,
    route: &route::Route,
) -> Result<OperationOrders, String> {
    let mut lines = Vec::new();
    for locality in &assignment.endpoints {
        let zone = locality
            .locality
            .as_ref()
            .map_or("", |locality| locality.zone.as_str());
        for lb in &locality.lb_endpoints {
            let Some(endpoint::lb_endpoint::HostIdentifier::Endpoint(host)) = &lb.host_identifier
            else {
                return Err("an endpoint with an address is expected".to_string());
            };
            let node = node_id(host.address.as_ref())?;
            let weight = lb
                .load_balancing_weight
                .as_ref()
                .map_or(1, |weight| weight.value);
            lines.push(TableEntry {
                node,
                zone: zone.to_string(),
                weight: f64::from(weight) / WEIGHT_UNIT,
            });
        }
    }
    let overloads = assignment
        .policy
        .iter()
        .flat_map(|policy| &policy.drop_overloads);
    let mut kept = 1.0;
    for overload in overloads {
        let percent = overload
            .drop_percentage
            .as_ref()
            .ok_or("a drop without its part")?;
        let whole = match DenominatorType::try_from(percent.denominator) {
            Ok(DenominatorType::Hundred) => 100.0,
            Ok(DenominatorType::TenThousand) => 10_000.0,
            Ok(DenominatorType::Million) => MILLION,
            Err(_) => return Err(format!("{} is no denominator", percent.denominator)),
        };
        kept *= 1.0 - (f64::from(percent.numerator) / whole).min(1.0);
    }
    let Some(route::route::Action::Route(action)) = &route.action else {
        return Err("its route leads nowhere".to_string());
    };
    let policy = action.retry_policy.as_ref();
    let tries = policy.map_or(0, |policy| {
        policy.num_retries.as_ref().map_or(1, |tries| tries.value)
    });
    let on: Vec<&str> = policy.map_or(Vec::new(), |policy| {
        policy.retry_on.split(',').map(str::trim).collect()
    });
    // Any of these repeats a try that may have run.
    let any_failure = ["5xx", "gateway-error", "reset", "retriable-status-codes"]
        .iter()
        .any(|any| on.contains(any));
    let retry = match (tries, any_failure) {
        (0, _) => RetryPolicy::Never,
        _ if on.iter().all(|condition| condition.is_empty()) => RetryPolicy::Never,
        (_, false) => RetryPolicy::IfUnprocessed,
        (1, true) => RetryPolicy::OnceOnAnyFailure,
        (_, true) => RetryPolicy::TwiceOnAnyFailure,
    };
    let rate = match route.typed_per_filter_config.get(LOCAL_RATE_LIMIT) {
        None => None,
        Some(any) => {
            let limit = LocalRateLimit::decode(any.value.as_slice()).map_err(|e| e.to_string())?;
            let bucket = limit
                .token_bucket
                .ok_or("a rate limit without its bucket")?;
            let every = bucket
                .fill_interval
                .as_ref()
                .map_or(0.0, |interval| span(interval).seconds());
            if every <= 0.0 {
                return Err("a bucket that is never filled".to_string());
            }
            Some(f64::from(bucket.tokens_per_fill.map_or(1, |tokens| tokens.value)) / every)
        }
    };
    Ok(OperationOrders {
        operation,
        lines,
        dropped_of_million: ((1.0 - kept) * MILLION).round() as u32,
        rate,
        retry,
        per_try_timeout: policy
            .and_then(|policy| policy.per_try_timeout.as_ref())
            .map(span),
        timeout: action.timeout.as_ref().map(span),
    })
}

/// What a conductor that starts anew makes of documents it finds: a set that can be written again.
pub fn recover(orders: Orders, plan: &Deployment) -> TableSet {
    let known = |told: OperationOrders| {
        let place = plan
            .operations
            .iter()
            .position(|operation| operation.name == told.operation)?;
        let share = 1.0 - f64::from(told.dropped_of_million) / MILLION;
        let quota = match plan.admission {
            AdmissionForm::Share => Some(share).filter(|share| *share < 1.0),
            AdmissionForm::Rate => told.rate,
            AdmissionForm::None => None,
        };
        let (operation, table) = (OperationId(place as u8), TableId(u16::MAX - place as u16));
        Some(OperationTable {
            operation,
            table,
            entries: told.lines,
            admission_limit: quota,
            retry: told.retry,
        })
    };
    let operations = orders.operations.into_iter().filter_map(known).collect();
    TableSet {
        bundle: BundleId(u32::MAX),
        version: orders.version,
        configuration: 0,
        operations,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use wheelspread::ids::NodeId;

    const PLAN: &str = r#"{
      "zones": ["north"], "operations": [
        {"name": "quote", "latency_objective": "1.2s", "integration_timeout": "4s", "billed_value": 2,
         "repeat": "idempotent"},
        {"name": "book", "latency_objective": "800ms", "integration_timeout": "3s", "billed_value": 1,
         "repeat": "side-effecting"}],
      "rules": {"without_node_at_most": "2s", "drain_grace": "2s", "cold_start_share": 0.2,
                "warm_after": "10s", "cold_overload_factor": 4, "cold_overload_span": "2s"},
      "channel": {"lines_waiting_at_most": 1000, "lines_per_second": 1000, "delay_at_most": "500ms"}}"#;

    fn plan(admission: AdmissionForm) -> Deployment {
        Deployment {
            admission,
            first_wait: 0.5,
            ..serde_json::from_str(PLAN).expect("a plan")
        }
    }

    fn set(quota: Option<f64>, retry: RetryPolicy, weights: &[f64]) -> TableSet {
        let line = |(at, weight): (usize, &f64)| TableEntry {
            node: NodeId {
                address: [127, 0, 0, 1],
                port: 9000 + at as u16,
            },
            zone: "north".to_string(),
            weight: *weight,
        };
        let lines: Vec<TableEntry> = weights.iter().enumerate().map(line).collect();
        let table = |operation, lines, quota, retry| OperationTable {
            operation: OperationId(operation),
            table: TableId(3),
            entries: lines,
            admission_limit: quota,
            retry,
        };
        let operations = vec![
            table(0, lines.clone(), quota, retry),
            table(1, lines, None, RetryPolicy::IfUnprocessed),
        ];
        TableSet {
            bundle: BundleId(0),
            version: Version(42),
            configuration: 0,
            operations,
        }
    }

    #[test]
    fn the_documents_are_of_the_published_form() {
        let set = set(Some(0.75), RetryPolicy::OnceOnAnyFailure, &[25.0]);
        let written = write(&set, &plan(AdmissionForm::Share)).expect("it can be written");
        let eds: serde_json::Value = serde_json::from_str(&written.eds).expect("JSON");
        let wanted = serde_json::json!({
          "versionInfo": "42",
          "typeUrl": "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
          "resources": [{
            "@type": "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
            "clusterName": "quote",
            "endpoints": [{
              "locality": {"zone": "north"},
              "lbEndpoints": [{
                "endpoint": {"address": {"socketAddress": {"address": "127.0.0.1", "portValue": 9000}}},
                "healthStatus": "HEALTHY",
                "loadBalancingWeight": 25000}]}],
            "policy": {"dropOverloads": [{
              "category": "admission",
              "dropPercentage": {"numerator": 250000, "denominator": "MILLION"}}]}
          }, {
            "@type": "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
            "clusterName": "book",
            "endpoints": [{
              "locality": {"zone": "north"},
              "lbEndpoints": [{
                "endpoint": {"address": {"socketAddress": {"address": "127.0.0.1", "portValue": 9000}}},
                "healthStatus": "HEALTHY",
                "loadBalancingWeight": 25000}]}]}]});
        assert_eq!(eds, wanted);
        let rds: serde_json::Value = serde_json::from_str(&written.rds).expect("JSON");
        let route = &rds["resources"][0]["virtualHosts"][0]["routes"][0];
        let wanted = serde_json::json!({
          "name": "quote",
          "match": {"pathSeparatedPrefix": "/quote"},
          "route": {
            "cluster": "quote",
            "timeout": "4s",
            "retryPolicy": {
              "retryOn": "5xx,reset,connect-failure,refused-stream,retriable-4xx",
              "numRetries": 1,
              "perTryTimeout": "0.600s",
              "retryHostPredicate": [{"name": "envoy.retry_host_predicates.previous_hosts"}]}}});
        assert_eq!(route, &wanted);
    }

    #[test]
    fn a_rate_is_a_local_rate_limit_of_the_route() {
        let written = write(
            &set(Some(2.5), RetryPolicy::Never, &[1.0]),
            &plan(AdmissionForm::Rate),
        )
        .expect("written");
        let rds: serde_json::Value = serde_json::from_str(&written.rds).expect("JSON");
        let route = &rds["resources"][0]["virtualHosts"][0]["routes"][0];
        let wanted = serde_json::json!({"envoy.filters.http.local_ratelimit": {
          "@type": "type.googleapis.com/envoy.extensions.filters.http.local_ratelimit.v3.LocalRateLimit",
          "statPrefix": "admission",
          "tokenBucket": {"maxTokens": 25, "tokensPerFill": 25, "fillInterval": "10s"}}});
        assert_eq!(route["typedPerFilterConfig"], wanted);
        assert!(route["route"].get("retryPolicy").is_none());
        let orders = read(&written).expect("it can be read");
        assert_eq!(
            (orders.operations[0].rate, orders.operations[0].retry),
            (Some(2.5), RetryPolicy::Never)
        );
    }

    #[test]
    fn documents_of_two_versions_are_no_table() {
        let mut written = write(
            &set(None, RetryPolicy::Never, &[1.0]),
            &plan(AdmissionForm::Share),
        )
        .expect("written");
        let mut other = set(None, RetryPolicy::Never, &[1.0]);
        other.version = Version(43);
        written.rds = write(&other, &plan(AdmissionForm::Share))
            .expect("written")
            .rds;
        assert!(
            read(&written).is_err_and(|error| error.to_string().contains("version 42 beside 43"))
        );
    }

    proptest! {
        #[test]
        fn what_was_written_is_recovered(
            weights in prop::collection::vec(0.01f64..1e4, 0..20), share in 0.0f64..1.0, which in 0usize..4,
        ) {
            let retries = [RetryPolicy::Never, RetryPolicy::IfUnprocessed, RetryPolicy::OnceOnAnyFailure,
                RetryPolicy::TwiceOnAnyFailure];
            let plan = plan(AdmissionForm::Share);
            let set = set(Some(share), retries[which], &weights);
            let orders = read(&write(&set, &plan).expect("written")).expect("read");
            prop_assert_eq!(orders.version, set.version);
            let back = recover(orders, &plan);
            for (table, was) in back.operations.iter().zip(&set.operations) {
                prop_assert_eq!(table.retry, was.retry);
                prop_assert!((table.admission_limit.unwrap_or(1.0) - was.admission_limit.unwrap_or(1.0)).abs() < 1e-5);
                for (line, was) in table.entries.iter().zip(&was.entries) {
                    prop_assert_eq!(line.node, was.node);
                    prop_assert!((line.weight - was.weight).abs() <= 0.0006);
                }
            }
        }
    }
}
