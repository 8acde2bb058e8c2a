//! Discovery requests and responses, in the whole and the incremental form, and the resources that say what a
//! version holds. Beside what a plain proxy reads (one route configuration for all operations) there is a
//! listener, a route configuration and a cluster for each operation, which is what a client without a proxy
//! dials as `xds:///OPERATION`.

use crate::tables;
use crate::{content, Unreadable};
use prost::{Message, Name};
use wheelspread_controller_core::membership::Introduction;
use wheelspread_controller_core::publication::{TableSet, Version};
use wheelspread_controller_core::Deployment;
use wheelspread_discovery::receiver::Delta;
use wheelspread_discovery::{Answer, Ask, Checksum, Content, Kind, Mode};
use xds_api::pb::envoy::config::cluster::v3 as cluster;
use xds_api::pb::envoy::config::core::v3 as core;
use xds_api::pb::envoy::config::endpoint::v3 as endpoint;
use xds_api::pb::envoy::config::listener::v3 as listener;
use xds_api::pb::envoy::config::route::v3 as route;
use xds_api::pb::envoy::extensions::filters::http::router::v3::Router;
use xds_api::pb::envoy::extensions::filters::network::http_connection_manager::v3 as http;
use xds_api::pb::envoy::service::discovery::v3 as discovery;
use xds_api::pb::google::protobuf::{value, Any, Duration, Value};
use xds_api::pb::google::rpc;

/// The paths of the two streams.
pub const WHOLE: &str =
    "/envoy.service.discovery.v3.AggregatedDiscoveryService/StreamAggregatedResources";
pub const DELTA: &str =
    "/envoy.service.discovery.v3.AggregatedDiscoveryService/DeltaAggregatedResources";
/// Before the name of a cluster: its assignment without lines, which are resources of their own.
pub const LINES_APART: &str = "xdstp:///envoy.config.endpoint.v3.ClusterLoadAssignment/";
/// Before `CLUSTER/ZONE/ADDRESS`: one line.
pub const LINE: &str = "xdstp:///envoy.config.endpoint.v3.LbEndpoint/";
/// The one that a plain proxy reads.
pub const OPERATIONS: &str = "operations";
/// In a node's metadata: the version that it holds, where the form has no other place for it.
const HOLDS: &str = "holds";
const ROUTER: &str = "envoy.filters.http.router";
const INVALID_ARGUMENT: i32 = 3;

const KINDS: [(Kind, fn() -> String); 5] = [
    (Kind::Clusters, cluster::Cluster::type_url),
    (Kind::Endpoints, endpoint::ClusterLoadAssignment::type_url),
    (Kind::Lines, endpoint::LbEndpoint::type_url),
    (Kind::Listeners, listener::Listener::type_url),
    (Kind::Routes, route::RouteConfiguration::type_url),
];

pub fn type_url(kind: Kind) -> String {
    KINDS
        .iter()
        .find(|row| row.0 == kind)
        .map_or(String::new(), |row| row.1())
}

fn kind(type_url: &str) -> Result<Kind, Unreadable> {
    let found = KINDS
        .iter()
        .find(|row| row.1() == type_url)
        .map(|row| row.0);
    let shown: String = type_url.chars().take(100).collect();
    found.ok_or_else(|| content("type_url", format!("`{shown}` is not served here")))
}

// ---- what a version holds ----

fn pack<T: Message + Name>(message: &T) -> Any {
    Any {
        type_url: T::type_url(),
        value: message.encode_to_vec(),
    }
}

fn by_streams() -> core::ConfigSource {
    core::ConfigSource {
        resource_api_version: core::ApiVersion::V3.into(),
        config_source_specifier: Some(core::config_source::ConfigSourceSpecifier::Ads(
            Default::default(),
        )),
        ..core::ConfigSource::default()
    }
}

/// All resources of a version.
pub fn resources(set: &TableSet, plan: &Deployment) -> Content {
    let (assignments, operations) = tables::resources(set, plan);
    let mut made = Content::new(set.bundle, set.version);
    for assignment in assignments {
        let name = assignment.cluster_name.clone();
        let route = operations
            .virtual_hosts
            .iter()
            .flat_map(|host| &host.routes);
        let route = route.into_iter().find(|route| route.name == name);
        made.put(Kind::Clusters, &name, cluster_of(&name).encode_to_vec());
        made.put(Kind::Listeners, &name, listener_of(&name).encode_to_vec());
        if let Some(route) = route {
            made.put(Kind::Routes, &name, routes_of(&name, route).encode_to_vec());
        }
        let mut apart = assignment.clone();
        for locality in &mut apart.endpoints {
            let zone = locality
                .locality
                .as_ref()
                .map_or("", |locality| locality.zone.as_str())
                .to_string();
            for line in std::mem::take(&mut locality.lb_endpoints) {
                if let Some(endpoint::lb_endpoint::HostIdentifier::Endpoint(host)) =
                    &line.host_identifier
                {
                    if let Ok(node) = crate::node_id(host.address.as_ref()) {
                        let node = wheelspread_controller_core::endpoint_list::format_node(node);
                        made.put(
                            Kind::Lines,
                            &format!("{LINE}{name}/{zone}/{node}"),
                            line.encode_to_vec(),
                        );
                    }
                }
            }
        }
        apart.endpoints.clear();
        apart
            .endpoints
            .extend(plan.zones.iter().map(|zone| lines_apart(&name, zone)));
        made.put(
            Kind::Endpoints,
            &format!("{LINES_APART}{name}"),
            apart.encode_to_vec(),
        );
        made.put(Kind::Endpoints, &name, weighed(assignment).encode_to_vec());
    }
    made.put(Kind::Routes, OPERATIONS, operations.encode_to_vec());
    made
}

fn lines_apart(name: &str, zone: &str) -> endpoint::LocalityLbEndpoints {
    endpoint::LocalityLbEndpoints {
        locality: Some(core::Locality {
            zone: zone.to_string(),
            ..core::Locality::default()
        }),
        lb_config: Some(
            endpoint::locality_lb_endpoints::LbConfig::LedsClusterLocalityConfig(
                endpoint::LedsClusterLocalityConfig {
                    leds_config: Some(by_streams()),
                    leds_collection_name: format!("{LINE}{name}/{zone}/*"),
                },
            ),
        ),
        ..endpoint::LocalityLbEndpoints::default()
    }
}

/// Clients without a proxy weigh localities and not the endpoints in them, so each line is a locality of its
/// own, its address the sub-zone; proxies that weigh both come to the same.
fn weighed(mut assignment: endpoint::ClusterLoadAssignment) -> endpoint::ClusterLoadAssignment {
    let mut endpoints = Vec::new();
    for locality in std::mem::take(&mut assignment.endpoints) {
        for line in locality.lb_endpoints {
            let address = match &line.host_identifier {
                Some(endpoint::lb_endpoint::HostIdentifier::Endpoint(host)) => {
                    crate::node_id(host.address.as_ref()).ok()
                }
                _ => None,
            };
            let place = core::Locality {
                sub_zone: address
                    .map(wheelspread_controller_core::endpoint_list::format_node)
                    .unwrap_or_default(),
                ..locality.locality.clone().unwrap_or_default()
            };
            endpoints.push(endpoint::LocalityLbEndpoints {
                locality: Some(place),
                load_balancing_weight: line.load_balancing_weight,
                lb_endpoints: vec![line],
                ..endpoint::LocalityLbEndpoints::default()
            });
        }
    }
    assignment.endpoints = endpoints;
    assignment
}

fn cluster_of(name: &str) -> cluster::Cluster {
    let weighted = cluster::cluster::common_lb_config::LocalityWeightedLbConfig {};
    cluster::Cluster {
        name: name.to_string(),
        connect_timeout: Some(Duration { seconds: 1, nanos: 0 }),
        cluster_discovery_type: Some(cluster::cluster::ClusterDiscoveryType::Type(
            cluster::cluster::DiscoveryType::Eds.into(),
        )),
        eds_cluster_config: Some(cluster::cluster::EdsClusterConfig {
            eds_config: Some(by_streams()),
            service_name: name.to_string(),
        }),
        common_lb_config: Some(cluster::cluster::CommonLbConfig {
            locality_config_specifier: Some(
                cluster::cluster::common_lb_config::LocalityConfigSpecifier::LocalityWeightedLbConfig(
                    weighted,
                ),
            ),
            ..cluster::cluster::CommonLbConfig::default()
        }),
        ..cluster::Cluster::default()
    }
}

fn listener_of(name: &str) -> listener::Listener {
    let manager = http::HttpConnectionManager {
        stat_prefix: name.to_string(),
        route_specifier: Some(http::http_connection_manager::RouteSpecifier::Rds(
            http::Rds {
                config_source: Some(by_streams()),
                route_config_name: name.to_string(),
            },
        )),
        http_filters: vec![http::HttpFilter {
            name: ROUTER.to_string(),
            config_type: Some(http::http_filter::ConfigType::TypedConfig(pack(
                &Router::default(),
            ))),
            ..http::HttpFilter::default()
        }],
        ..http::HttpConnectionManager::default()
    };
    listener::Listener {
        name: name.to_string(),
        api_listener: Some(listener::ApiListener {
            api_listener: Some(pack(&manager)),
        }),
        ..listener::Listener::default()
    }
}

/// Everything that is dialled under the operation's name goes to its cluster.
fn routes_of(name: &str, route: &route::Route) -> route::RouteConfiguration {
    let mut route = route.clone();
    let path = route::route_match::PathSpecifier::Prefix(String::new());
    route.r#match = Some(route::RouteMatch {
        path_specifier: Some(path),
        ..route::RouteMatch::default()
    });
    route::RouteConfiguration {
        name: name.to_string(),
        virtual_hosts: vec![route::VirtualHost {
            name: name.to_string(),
            domains: vec!["*".to_string()],
            routes: vec![route],
            ..route::VirtualHost::default()
        }],
        ..route::RouteConfiguration::default()
    }
}

// ---- the side that is asked ----

/// A request, and who introduces itself in it.
#[derive(Debug)]
pub struct Request {
    pub who: Option<Introduction>,
    pub ask: Ask,
    /// The version that the client says it holds, from another stream.
    pub holds: Option<Version>,
}

fn introduction(node: Option<&core::Node>) -> Option<Introduction> {
    node.filter(|node| !node.id.is_empty())
        .map(crate::loads::introduced)
}

fn refusal(error: Option<rpc::Status>) -> Option<String> {
    error.map(|status| status.message.chars().take(500).collect())
}

pub fn read_whole(bytes: &[u8]) -> Result<Request, Unreadable> {
    let request = discovery::DiscoveryRequest::decode(bytes)
        .map_err(|e| content("a request", e.to_string()))?;
    let holds = request
        .version_info
        .parse()
        .ok()
        .map(Version)
        .filter(|_| request.response_nonce.is_empty());
    Ok(Request {
        who: introduction(request.node.as_ref()),
        ask: Ask {
            kind: kind(&request.type_url)?,
            nonce: request.response_nonce,
            error: refusal(request.error_detail),
            mode: Mode::Whole {
                names: request.resource_names,
                version: request.version_info,
            },
        },
        holds,
    })
}

pub fn read_delta(bytes: &[u8]) -> Result<Request, Unreadable> {
    let request = discovery::DeltaDiscoveryRequest::decode(bytes)
        .map_err(|e| content("a request", e.to_string()))?;
    // Names of a collection are told as locators by some.
    let names = |plain: Vec<String>, locators: Vec<discovery::ResourceLocator>| {
        plain
            .into_iter()
            .chain(locators.into_iter().map(|locator| locator.name))
            .collect()
    };
    let told = request
        .node
        .as_ref()
        .and_then(|node| node.metadata.as_ref());
    let told = told
        .and_then(|told| told.fields.get(HOLDS))
        .and_then(|told| told.kind.as_ref());
    let version = match told {
        Some(value::Kind::StringValue(version)) => version.parse().ok().map(Version),
        _ => None,
    };
    Ok(Request {
        who: introduction(request.node.as_ref()),
        ask: Ask {
            kind: kind(&request.type_url)?,
            nonce: request.response_nonce,
            error: refusal(request.error_detail),
            mode: Mode::Delta {
                subscribe: names(
                    request.resource_names_subscribe,
                    request.resource_locators_subscribe,
                ),
                unsubscribe: names(
                    request.resource_names_unsubscribe,
                    request.resource_locators_unsubscribe,
                ),
                holds: request.initial_resource_versions.into_iter().collect(),
            },
        },
        holds: version,
    })
}

/// Everything of an answer but its nonce, which is its own and goes at the end.
pub fn body(answer: &Answer) -> Vec<u8> {
    let url = type_url(answer.kind);
    let packed = |bytes: &bytes::Bytes| Any {
        type_url: url.clone(),
        value: bytes.to_vec(),
    };
    if !answer.delta {
        return discovery::DiscoveryResponse {
            version_info: answer.version.0.to_string(),
            resources: answer
                .changed
                .iter()
                .map(|(_, resource)| packed(&resource.bytes))
                .collect(),
            type_url: url.clone(),
            ..discovery::DiscoveryResponse::default()
        }
        .encode_to_vec();
    }
    let resource = |(name, resource): &(wheelspread_discovery::content::Name, _)| {
        let resource: &wheelspread_discovery::Resource = resource;
        discovery::Resource {
            name: name.to_string(),
            version: resource.checksum.to_string(),
            resource: Some(packed(&resource.bytes)),
            ..discovery::Resource::default()
        }
    };
    let comes_to = answer
        .comes_to
        .map_or(String::new(), |sum| format!(" {sum}"));
    discovery::DeltaDiscoveryResponse {
        system_version_info: format!("{}{comes_to}", answer.version.0),
        resources: answer.changed.iter().map(resource).collect(),
        type_url: url.clone(),
        removed_resources: answer.removed.iter().map(|name| name.to_string()).collect(),
        ..discovery::DeltaDiscoveryResponse::default()
    }
    .encode_to_vec()
}

/// A body with its nonce: fields of a message may come in any order, so bodies can be shared.
pub fn with_nonce(body: &[u8], answer: &Answer) -> Vec<u8> {
    let nonce = answer.nonce.to_string();
    let tail = match answer.delta {
        true => discovery::DeltaDiscoveryResponse {
            nonce,
            ..Default::default()
        }
        .encode_to_vec(),
        false => discovery::DiscoveryResponse {
            nonce,
            ..Default::default()
        }
        .encode_to_vec(),
    };
    [body, &tail].concat()
}

// ---- the side that asks ----

/// What a client of the incremental form is told.
#[derive(Debug)]
pub struct Told {
    pub kind: Kind,
    pub nonce: String,
    pub version: Option<Version>,
    pub delta: Delta,
}

pub fn read_told(bytes: &[u8]) -> Result<Told, Unreadable> {
    let told = discovery::DeltaDiscoveryResponse::decode(bytes)
        .map_err(|e| content("a response", e.to_string()))?;
    let mut said = told.system_version_info.split(' ');
    let version = said.next().and_then(|text| text.parse().ok()).map(Version);
    let comes_to = said.next().and_then(|text| text.parse::<Checksum>().ok());
    let mut changed = Vec::new();
    for (at, resource) in told.resources.into_iter().enumerate() {
        let checksum = resource.version.parse::<Checksum>();
        let checksum = checksum
            .map_err(|()| content(format!("resource {at}"), "its version is no checksum"))?;
        let any = resource
            .resource
            .ok_or_else(|| content(format!("resource {at}"), "it is empty"))?;
        changed.push((resource.name, checksum, bytes::Bytes::from(any.value)));
    }
    let delta = Delta {
        changed,
        removed: told.removed_resources,
        comes_to,
    };
    Ok(Told {
        kind: kind(&told.type_url)?,
        nonce: told.nonce,
        version,
        delta,
    })
}

/// A request of the incremental form. `who`: told in the first of a stream, with the version held.
pub fn ask(who: Option<&Introduction>, holds: Option<Version>, ask: &Ask) -> Vec<u8> {
    let node = who
        .and_then(|who| crate::loads::introduce(who).node)
        .map(|mut node| {
            if let Some(version) = holds {
                let told = value::Kind::StringValue(version.0.to_string());
                let told = (HOLDS.to_string(), Value { kind: Some(told) });
                node.metadata.get_or_insert_default().fields.extend([told]);
            }
            node
        });
    let (subscribe, unsubscribe, holds) = match &ask.mode {
        Mode::Delta {
            subscribe,
            unsubscribe,
            holds,
        } => (subscribe.clone(), unsubscribe.clone(), holds.clone()),
        Mode::Whole { names, .. } => (names.clone(), Vec::new(), Default::default()),
    };
    let error_detail = ask.error.as_ref().map(|message| rpc::Status {
        code: INVALID_ARGUMENT,
        message: message.clone(),
        ..rpc::Status::default()
    });
    discovery::DeltaDiscoveryRequest {
        node,
        type_url: type_url(ask.kind),
        resource_names_subscribe: subscribe,
        resource_names_unsubscribe: unsubscribe,
        initial_resource_versions: holds.into_iter().collect(),
        response_nonce: ask.nonce.clone(),
        error_detail,
        ..discovery::DeltaDiscoveryRequest::default()
    }
    .encode_to_vec()
}

/// What a client makes of the lines, assignments and routes that it holds.
pub fn orders<'a>(
    version: Version,
    lines: impl Iterator<Item = (&'a str, &'a [u8])>,
    assignments: impl Iterator<Item = &'a [u8]>,
    routes: impl Iterator<Item = &'a [u8]>,
) -> Result<tables::Orders, Unreadable> {
    let decode = |e: prost::DecodeError| content("a resource", e.to_string());
    let mut by_cluster: std::collections::BTreeMap<(String, String), Vec<endpoint::LbEndpoint>> =
        Default::default();
    for (name, bytes) in lines {
        let mut parts = name.strip_prefix(LINE).unwrap_or(name).splitn(3, '/');
        let (Some(cluster), Some(zone)) = (parts.next(), parts.next()) else {
            return Err(content(
                name,
                "a line is named by its cluster, zone and address",
            ));
        };
        let line = endpoint::LbEndpoint::decode(bytes).map_err(decode)?;
        by_cluster
            .entry((cluster.to_string(), zone.to_string()))
            .or_default()
            .push(line);
    }
    let mut made = Vec::new();
    for bytes in assignments {
        let mut assignment = endpoint::ClusterLoadAssignment::decode(bytes).map_err(decode)?;
        for locality in &mut assignment.endpoints {
            let zone = locality
                .locality
                .as_ref()
                .map_or("", |locality| locality.zone.as_str())
                .to_string();
            let lines = by_cluster.remove(&(assignment.cluster_name.clone(), zone));
            locality.lb_endpoints = lines.unwrap_or_default();
        }
        made.push(assignment);
    }
    let routes: Result<Vec<_>, _> = routes.map(route::RouteConfiguration::decode).collect();
    tables::orders_of(version, made, &routes.map_err(decode)?)
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        // Whatever bytes come, they are read or named, and what is read is asked for without a panic.
        #[test]
        fn no_bytes_panic(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
            let _ = read_whole(&bytes);
            let _ = read_delta(&bytes);
            let _ = read_told(&bytes);
        }

        // A request with single bytes spoilt, as a broken client would send it.
        #[test]
        fn a_spoilt_request_is_read_or_refused(at in 0usize..120, to in any::<u8>()) {
            let mode = Mode::Delta {
                subscribe: vec!["quote".into()], unsubscribe: vec!["old".into()],
                holds: [("quote".to_string(), "1".to_string())].into(),
            };
            let who = Introduction { name: "g1".into(), zone: "north".into(), usual_rate: Some(3.0) };
            let mut bytes = ask(Some(&who), Some(Version(7)), &Ask { kind: Kind::Lines, nonce: "4".into(), error: None, mode });
            let at = at % bytes.len();
            bytes[at] = to;
            if let Ok(request) = read_delta(&bytes) {
                let mut front = wheelspread_discovery::Stream::new(5, wheelspread::time::Span::from_seconds(1.0));
                front.ask(wheelspread::time::Moment::from_seconds(1.0), &request.ask);
            }
        }
    }
}
