//! Decodes tables from `ClusterLoadAssignment`s and `RouteConfiguration`s.

use super::retry_conditions::policy;
use super::{ProxyTable, ProxyTables, LOCAL_RATE_LIMIT, MILLION, WEIGHT_SCALE};
use crate::convert::{entry_node, span, zone_of};
use crate::json::LocalRateLimit;
use crate::{DecodeError, FieldError};
use prost::Message;
use wheelspread::RetryPolicy;
use wheelspread_controller_core::publication::{TableEntry, Version};
use xds_api::pb::envoy::config::endpoint::v3 as endpoint;
use xds_api::pb::envoy::config::route::v3 as route;
use xds_api::pb::envoy::r#type::v3::fractional_percent::DenominatorType;
use xds_api::pb::envoy::r#type::v3::FractionalPercent;

/// Decodes the tables of a proxy from the resources of one version.
pub(crate) fn decode_tables(
    version: Version,
    assignments: Vec<endpoint::ClusterLoadAssignment>,
    routes: &[route::RouteConfiguration],
) -> Result<ProxyTables, DecodeError> {
    let mut operations = Vec::new();
    for assignment in assignments {
        let name = &assignment.cluster_name;
        let route = routes
            .iter()
            .flat_map(|routes| &routes.virtual_hosts)
            .flat_map(|host| &host.routes)
            .find(|route| route.name == *name);
        let route = route
            .ok_or_else(|| DecodeError::field(format!("cluster `{name}`"), FieldError::NoRoute))?;
        let table = decode_table(&assignment, route)
            .map_err(|error| DecodeError::field(format!("operation `{name}`"), error))?;
        operations.push(table);
    }
    Ok(ProxyTables {
        version,
        operations,
    })
}

fn decode_table(
    assignment: &endpoint::ClusterLoadAssignment,
    route: &route::Route,
) -> Result<ProxyTable, FieldError> {
    let entries = decode_entries(assignment)?;
    let dropped_of_million = decode_drops(assignment)?;
    let Some(route::route::Action::Route(action)) = &route.action else {
        return Err(FieldError::NoRouteAction);
    };
    let retry_policy = action.retry_policy.as_ref();
    Ok(ProxyTable {
        operation: assignment.cluster_name.clone(),
        entries,
        dropped_of_million,
        rate_limit: decode_rate_limit(route)?,
        retry: retry_policy.map_or(RetryPolicy::Never, decode_retries),
        per_try_timeout: retry_policy
            .and_then(|policy| policy.per_try_timeout.as_ref())
            .map(span),
        timeout: action.timeout.as_ref().map(span),
    })
}

fn decode_entries(
    assignment: &endpoint::ClusterLoadAssignment,
) -> Result<Vec<TableEntry>, FieldError> {
    let mut entries = Vec::new();
    for group in &assignment.endpoints {
        for entry in &group.lb_endpoints {
            let weight = entry
                .load_balancing_weight
                .as_ref()
                .map_or(1, |weight| weight.value);
            entries.push(TableEntry {
                node: entry_node(entry)?,
                zone: zone_of(group).to_string(),
                weight: f64::from(weight) / WEIGHT_SCALE,
            });
        }
    }
    Ok(entries)
}

/// The number of dropped requests out of a million. Each drop applies to the requests that the drops before it
/// admitted.
fn decode_drops(assignment: &endpoint::ClusterLoadAssignment) -> Result<u32, FieldError> {
    let drops = assignment
        .policy
        .iter()
        .flat_map(|policy| &policy.drop_overloads);
    let mut admitted = 1.0;
    for drop in drops {
        let percentage = drop.drop_percentage.as_ref();
        let percentage = percentage.ok_or(FieldError::NoDropPercentage)?;
        admitted *= 1.0 - decode_fraction(percentage)?.min(1.0);
    }
    Ok(((1.0 - admitted) * MILLION).round() as u32)
}

fn decode_fraction(percentage: &FractionalPercent) -> Result<f64, FieldError> {
    let denominator = match DenominatorType::try_from(percentage.denominator) {
        Ok(DenominatorType::Hundred) => 100.0,
        Ok(DenominatorType::TenThousand) => 10_000.0,
        Ok(DenominatorType::Million) => MILLION,
        Err(_) => return Err(FieldError::UnknownDenominator(percentage.denominator)),
    };
    Ok(f64::from(percentage.numerator) / denominator)
}

fn decode_retries(retries: &route::RetryPolicy) -> RetryPolicy {
    let max_retries = retries
        .num_retries
        .as_ref()
        .map_or(1, |number| number.value);
    policy(&retries.retry_on, max_retries)
}

/// The rate limit of a route in requests per second; `None` if it has none.
fn decode_rate_limit(route: &route::Route) -> Result<Option<f64>, FieldError> {
    let Some(any) = route.typed_per_filter_config.get(LOCAL_RATE_LIMIT) else {
        return Ok(None);
    };
    let limit =
        LocalRateLimit::decode(any.value.as_slice()).map_err(FieldError::EmbeddedMessage)?;
    let bucket = limit.token_bucket.ok_or(FieldError::NoTokenBucket)?;
    let fill_seconds = bucket
        .fill_interval
        .as_ref()
        .map_or(0.0, |interval| span(interval).seconds());
    if fill_seconds <= 0.0 {
        return Err(FieldError::NoFillInterval);
    }
    let tokens = bucket.tokens_per_fill.map_or(1, |tokens| tokens.value);
    Ok(Some(f64::from(tokens) / fill_seconds))
}
