//! Handles what arrives on streams: new streams, load reports and discovery requests. The first message of a stream
//! identifies the proxy.

use super::{DiscoveryStream, ReportStream, Streams};
use wheelspread::time::Moment;
use wheelspread_controller_core::membership::StreamId;
use wheelspread_controller_core::Observation;
use wheelspread_grpc::{Status, StreamKey};
use wheelspread_reactor::Token;
use wheelspread_xds::{discovery, loads};

/// Why a stream is closed because of a message received on it.
struct Rejection {
    status: Status,
    reason: String,
}

impl Rejection {
    fn invalid(reason: impl ToString) -> Rejection {
        Rejection {
            status: Status::InvalidArgument,
            reason: reason.to_string(),
        }
    }

    fn denied(reason: impl ToString) -> Rejection {
        Rejection {
            status: Status::PermissionDenied,
            reason: reason.to_string(),
        }
    }
}

impl Streams {
    /// Handles a new stream; its path is the gRPC method that the client called.
    pub(super) fn open_stream(&mut self, now: Moment, token: Token, key: StreamKey, path: &str) {
        match path {
            discovery::DELTA_METHOD => self.open_discovery_stream(token, key, true),
            discovery::STATE_OF_THE_WORLD_METHOD => self.open_discovery_stream(token, key, false),
            loads::METHOD => self.open_report_stream(now, token, key),
            _ => self.reject_path(token, key),
        }
    }

    fn open_discovery_stream(&mut self, token: Token, key: StreamKey, is_delta: bool) {
        let id = self.assign_id(token, key);
        let stream = DiscoveryStream {
            connection: token,
            key,
            is_delta,
            is_identified: false,
        };
        self.discovery_streams.insert(id, stream);
    }

    fn open_report_stream(&mut self, now: Moment, token: Token, key: StreamKey) {
        let id = self.assign_id(token, key);
        let stream = ReportStream {
            connection: token,
            key,
            is_identified: false,
            last_report_at: now,
        };
        self.report_streams.insert(id, stream);
    }

    fn assign_id(&mut self, token: Token, key: StreamKey) -> StreamId {
        self.last_stream += 1;
        let id = StreamId(self.last_stream);
        self.ids.insert((token, key), id);
        id
    }

    fn reject_path(&mut self, token: Token, key: StreamKey) {
        if let Some(connection) = self.connections.get_mut(&token) {
            connection.close(
                key,
                Status::Unimplemented,
                "unknown method: only aggregated discovery and load reports are served",
            );
            self.ready.push(token);
        }
    }

    pub(super) fn receive_message(
        &mut self,
        now: Moment,
        id: StreamId,
        bytes: &[u8],
        observations: &mut Vec<Observation>,
    ) {
        let received = if self.discovery_streams.contains_key(&id) {
            self.receive_discovery_request(id, bytes, observations)
        } else {
            self.receive_load_report(now, id, bytes, observations)
        };
        if let Err(rejection) = received {
            self.close(id, rejection.status, &rejection.reason);
        }
    }

    fn receive_load_report(
        &mut self,
        now: Moment,
        id: StreamId,
        bytes: &[u8],
        observations: &mut Vec<Observation>,
    ) -> Result<(), Rejection> {
        let Some(stream) = self.report_streams.get_mut(&id) else {
            return Ok(());
        };
        stream.last_report_at = now;
        let (connection, is_identified) = (stream.connection, stream.is_identified);
        let request = loads::decode_request(bytes).map_err(Rejection::invalid)?;
        if !is_identified {
            let proxy_identity = loads::identity(&request)
                .ok_or_else(|| Rejection::invalid("the first report names no node"))?;
            self.check_node_id(connection, &proxy_identity.name)
                .map_err(Rejection::denied)?;
            if let Some(stream) = self.report_streams.get_mut(&id) {
                stream.is_identified = true;
            }
            observations.push(Observation::StreamOpened {
                stream: id,
                proxy_identity,
            });
        }
        if let Some(report) = loads::report(&request) {
            observations.push(Observation::LoadReport { stream: id, report });
        }
        Ok(())
    }

    fn receive_discovery_request(
        &mut self,
        id: StreamId,
        bytes: &[u8],
        observations: &mut Vec<Observation>,
    ) -> Result<(), Rejection> {
        let Some(stream) = self.discovery_streams.get(&id) else {
            return Ok(());
        };
        let (connection, is_identified) = (stream.connection, stream.is_identified);
        let request = if stream.is_delta {
            discovery::decode_delta_request(bytes)
        } else {
            discovery::decode_state_of_the_world_request(bytes)
        };
        let request = request.map_err(Rejection::invalid)?;
        if !is_identified {
            let proxy_identity = request
                .identity
                .ok_or_else(|| Rejection::invalid("the first request names no node"))?;
            self.check_node_id(connection, &proxy_identity.name)
                .map_err(Rejection::denied)?;
            if let Some(stream) = self.discovery_streams.get_mut(&id) {
                stream.is_identified = true;
            }
            observations.push(Observation::Subscribed {
                stream: id,
                proxy_identity,
                initial_version: request.client_version,
            });
        }
        self.discovery_requests.push((id, request.request));
        Ok(())
    }
}
