//! Encodes all resources of one version of a table set.

use super::{ALL_OPERATIONS, ENTRY_PREFIX, LEDS_ASSIGNMENT_PREFIX};
use crate::convert::{entry_node, locality, zone_of};
use crate::tables;
use prost::{Message, Name};
use wheelspread_controller_core::endpoint_list::format_node;
use wheelspread_controller_core::publication::TableSet;
use wheelspread_controller_core::Deployment;
use wheelspread_discovery::{ResourceType, Snapshot};
use xds_api::pb::envoy::config::cluster::v3 as cluster;
use xds_api::pb::envoy::config::core::v3 as core;
use xds_api::pb::envoy::config::endpoint::v3 as endpoint;
use xds_api::pb::envoy::config::listener::v3 as listener;
use xds_api::pb::envoy::config::route::v3 as route;
use xds_api::pb::envoy::extensions::filters::http::router::v3::Router;
use xds_api::pb::envoy::extensions::filters::network::http_connection_manager::v3 as http;
use xds_api::pb::google::protobuf::{Any, Duration};

const ROUTER_FILTER: &str = "envoy.filters.http.router";
const CONNECT_TIMEOUT: Duration = Duration {
    seconds: 1,
    nanos: 0,
};

/// Encodes all resources of a table set as a snapshot.
pub fn encode_snapshot(set: &TableSet, deployment: &Deployment) -> Snapshot {
    let tables = tables::encode_resources(set, deployment);
    let mut snapshot = Snapshot::new(set.bundle, set.version);
    let routes = tables.routes.virtual_hosts.iter();
    let routes: Vec<&route::Route> = routes.flat_map(|host| &host.routes).collect();
    for assignment in tables.assignments {
        let name = assignment.cluster_name.clone();
        let mut insert =
            |resource_type, bytes: Vec<u8>| snapshot.insert(resource_type, &name, bytes);
        insert(ResourceType::Clusters, cluster(&name).encode_to_vec());
        insert(ResourceType::Listeners, listener(&name).encode_to_vec());
        if let Some(route) = routes.iter().find(|route| route.name == name) {
            let routes = operation_routes(&name, route);
            insert(ResourceType::Routes, routes.encode_to_vec());
        }
        insert_entries(&mut snapshot, &assignment);
        let leds_assignment = leds_assignment(&assignment, &deployment.zones);
        snapshot.insert(
            ResourceType::Endpoints,
            &format!("{LEDS_ASSIGNMENT_PREFIX}{name}"),
            leds_assignment.encode_to_vec(),
        );
        snapshot.insert(
            ResourceType::Endpoints,
            &name,
            locality_per_entry(assignment).encode_to_vec(),
        );
    }
    snapshot.insert(
        ResourceType::Routes,
        ALL_OPERATIONS,
        tables.routes.encode_to_vec(),
    );
    snapshot
}

/// Adds each entry as a separate resource. Entries without a valid address are skipped.
fn insert_entries(snapshot: &mut Snapshot, assignment: &endpoint::ClusterLoadAssignment) {
    let cluster = &assignment.cluster_name;
    for group in &assignment.endpoints {
        let zone = zone_of(group);
        for entry in &group.lb_endpoints {
            let Ok(node) = entry_node(entry) else {
                continue;
            };
            let name = format!("{ENTRY_PREFIX}{cluster}/{zone}/{}", format_node(node));
            snapshot.insert(ResourceType::Entries, &name, entry.encode_to_vec());
        }
    }
}

/// The assignment without entries: for each zone, the name of the collection that contains its entries.
fn leds_assignment(
    assignment: &endpoint::ClusterLoadAssignment,
    zones: &[String],
) -> endpoint::ClusterLoadAssignment {
    let cluster = &assignment.cluster_name;
    let groups = zones.iter().map(|zone| leds_group(cluster, zone));
    endpoint::ClusterLoadAssignment {
        endpoints: groups.collect(),
        ..assignment.clone()
    }
}

fn leds_group(cluster: &str, zone: &str) -> endpoint::LocalityLbEndpoints {
    let collection = endpoint::LedsClusterLocalityConfig {
        leds_config: Some(same_stream()),
        leds_collection_name: format!("{ENTRY_PREFIX}{cluster}/{zone}/*"),
    };
    endpoint::LocalityLbEndpoints {
        locality: Some(locality(zone)),
        lb_config: Some(
            endpoint::locality_lb_endpoints::LbConfig::LedsClusterLocalityConfig(collection),
        ),
        ..endpoint::LocalityLbEndpoints::default()
    }
}

/// Makes each entry a separate locality with the entry's address as sub-zone, because clients without a proxy apply the
/// weights of localities and not those of endpoints. For proxies, which apply both, the distribution is the same.
fn locality_per_entry(
    mut assignment: endpoint::ClusterLoadAssignment,
) -> endpoint::ClusterLoadAssignment {
    let mut localities = Vec::new();
    for group in std::mem::take(&mut assignment.endpoints) {
        for entry in group.lb_endpoints {
            let sub_zone = entry_node(&entry).map(format_node).unwrap_or_default();
            localities.push(endpoint::LocalityLbEndpoints {
                locality: Some(core::Locality {
                    sub_zone,
                    ..group.locality.clone().unwrap_or_default()
                }),
                load_balancing_weight: entry.load_balancing_weight,
                lb_endpoints: vec![entry],
                ..endpoint::LocalityLbEndpoints::default()
            });
        }
    }
    assignment.endpoints = localities;
    assignment
}

fn cluster(name: &str) -> cluster::Cluster {
    use cluster::cluster::{
        common_lb_config::{LocalityConfigSpecifier, LocalityWeightedLbConfig},
        ClusterDiscoveryType, CommonLbConfig, DiscoveryType, EdsClusterConfig,
    };
    let locality_weighted =
        LocalityConfigSpecifier::LocalityWeightedLbConfig(LocalityWeightedLbConfig {});
    cluster::Cluster {
        name: name.to_string(),
        connect_timeout: Some(CONNECT_TIMEOUT),
        cluster_discovery_type: Some(ClusterDiscoveryType::Type(DiscoveryType::Eds.into())),
        eds_cluster_config: Some(EdsClusterConfig {
            eds_config: Some(same_stream()),
            service_name: name.to_string(),
        }),
        common_lb_config: Some(CommonLbConfig {
            locality_config_specifier: Some(locality_weighted),
            ..CommonLbConfig::default()
        }),
        ..cluster::Cluster::default()
    }
}

fn listener(name: &str) -> listener::Listener {
    let routes = http::Rds {
        config_source: Some(same_stream()),
        route_config_name: name.to_string(),
    };
    let router = http::http_filter::ConfigType::TypedConfig(pack(&Router::default()));
    let manager = http::HttpConnectionManager {
        stat_prefix: name.to_string(),
        route_specifier: Some(http::http_connection_manager::RouteSpecifier::Rds(routes)),
        http_filters: vec![http::HttpFilter {
            name: ROUTER_FILTER.to_string(),
            config_type: Some(router),
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

/// The route configuration of one operation: requests with any path go to its cluster.
fn operation_routes(name: &str, route: &route::Route) -> route::RouteConfiguration {
    let any_path = route::route_match::PathSpecifier::Prefix(String::new());
    let route = route::Route {
        r#match: Some(route::RouteMatch {
            path_specifier: Some(any_path),
            ..route::RouteMatch::default()
        }),
        ..route.clone()
    };
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

/// The config source of resources that are served on the same stream (ADS).
fn same_stream() -> core::ConfigSource {
    core::ConfigSource {
        resource_api_version: core::ApiVersion::V3.into(),
        config_source_specifier: Some(core::config_source::ConfigSourceSpecifier::Ads(
            core::AggregatedConfigSource::default(),
        )),
        ..core::ConfigSource::default()
    }
}

fn pack<T: Message + Name>(message: &T) -> Any {
    Any {
        type_url: T::type_url(),
        value: message.encode_to_vec(),
    }
}
