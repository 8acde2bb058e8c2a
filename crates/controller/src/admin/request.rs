//! Parses an operator's request.

use super::api_error::ApiError;
use super::REQUEST_LIMIT_BYTES;
use serde::Deserialize;
use std::ops::Range;
use wheelspread_http1::{parse_request, Framing, Limits};

/// A complete request.
pub struct AdminRequest {
    /// The method, such as `GET`.
    pub method: String,
    /// The request target, which is the path.
    pub target: String,
    /// The body; empty if there is none.
    pub body: Vec<u8>,
}

impl AdminRequest {
    /// Parses the received bytes; `None` while the request is incomplete.
    pub fn parse(input: &[u8]) -> Result<Option<AdminRequest>, ApiError> {
        let Some(head) = parse_request(input, Limits::default())? else {
            return Ok(None);
        };
        let body_length = match head.framing {
            Framing::None => 0,
            Framing::Length(length) if length <= REQUEST_LIMIT_BYTES as u64 => length as usize,
            _ => return Err(ApiError::BodyFraming),
        };
        let Some(body) = input.get(head.length..head.length + body_length) else {
            return Ok(None);
        };
        let text =
            |range: &Range<usize>| String::from_utf8_lossy(&input[range.clone()]).into_owned();
        Ok(Some(AdminRequest {
            method: text(&head.method),
            target: text(&head.target),
            body: body.to_vec(),
        }))
    }

    /// Whether the request is an order. A plan is none: it is sent with POST but changes nothing.
    pub fn is_order(&self) -> bool {
        self.method != "GET" && self.target != "/v1/changes/plan"
    }

    /// The body as the JSON that the path expects.
    pub fn json_body<'a, T: Deserialize<'a>>(&'a self) -> Result<T, ApiError> {
        Ok(serde_json::from_slice(&self.body)?)
    }

    /// The error for a request whose method and path the API does not have.
    pub fn not_served(&self) -> ApiError {
        ApiError::NotServed {
            method: self.method.clone(),
            target: self.target.clone(),
        }
    }
}
