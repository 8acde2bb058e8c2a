//! Errors of the operators' API, and their HTTP statuses.

use super::REQUEST_LIMIT_BYTES;
use crate::drains::DrainAnswerError;
use wheelspread_controller_core::rollback::RollbackError;
use wheelspread_http1::MessageError;

/// The HTTP statuses of the API's responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HttpStatus {
    /// 200
    Ok,
    /// 400
    BadRequest,
    /// 403
    Forbidden,
    /// 404
    NotFound,
    /// 409
    Conflict,
}

impl HttpStatus {
    /// The status code of the status line.
    pub fn code(self) -> u16 {
        match self {
            HttpStatus::Ok => 200,
            HttpStatus::BadRequest => 400,
            HttpStatus::Forbidden => 403,
            HttpStatus::NotFound => 404,
            HttpStatus::Conflict => 409,
        }
    }

    /// The reason phrase of the status line.
    pub fn phrase(self) -> &'static str {
        match self {
            HttpStatus::Ok => "OK",
            HttpStatus::BadRequest => "Bad Request",
            HttpStatus::Forbidden => "Forbidden",
            HttpStatus::NotFound => "Not Found",
            HttpStatus::Conflict => "Conflict",
        }
    }
}

/// Maximum length of an id or an operator's name, in characters.
pub const NAME_LIMIT_CHARS: usize = 100;
/// Maximum count of values that one change may set.
pub const CHANGE_VALUE_LIMIT: usize = 10_000;

/// Why a request was rejected.
#[derive(Debug, thiserror::Error)]
pub enum ApiError {
    /// The head of the request is malformed.
    #[error(transparent)]
    Head(#[from] MessageError),
    /// The body is chunked or longer than allowed.
    #[error("a body of a stated length, {REQUEST_LIMIT_BYTES} bytes at most, is expected")]
    BodyFraming,
    /// The body is not the JSON that the path expects.
    #[error(transparent)]
    Body(#[from] serde_json::Error),
    /// An id or a name is empty, too long, or has characters that are not allowed.
    #[error("{field}: 1 to {NAME_LIMIT_CHARS} letters, digits, -, _, . and @ are expected")]
    InvalidName {
        /// The field of the body.
        field: &'static str,
    },
    /// A change sets too many values.
    #[error("{count} values in one change, at most {CHANGE_VALUE_LIMIT} are allowed")]
    TooManyValues {
        /// Count of values in the request.
        count: usize,
    },
    /// A value of a change is an array or an object.
    #[error("{path}: a text, a number, true, false or null is expected")]
    InvalidValue {
        /// The path of the value.
        path: String,
    },
    /// A node is not given as an IPv4 address with a port.
    #[error("`{0}` should be an address as 127.0.0.1:9000")]
    InvalidNode(String),
    /// The time at which an order was given is too far in the future of this controller's clock.
    #[error("given_ms: {seconds} s ahead of the clock here")]
    ClockAhead {
        /// How far ahead, in seconds.
        seconds: u64,
    },
    /// An order from a caller that may only send queries.
    #[error("this way in may ask and not order")]
    ReadOnly,
    /// No change with this id is known.
    #[error("`{0}` is no change that is known")]
    UnknownChange(String),
    /// The API has no such method and path.
    #[error("{method} {target} is not served here")]
    NotServed {
        /// The method of the request.
        method: String,
        /// Its path.
        target: String,
    },
    /// The ledger rejected a change.
    #[error(transparent)]
    ChangeRefused(#[from] wheelspread_config_transaction::ChangeError),
    /// The drain was rejected.
    #[error(transparent)]
    DrainRefused(#[from] wheelspread_drain::DrainError),
    /// The drain was accepted, but was removed before it was persisted.
    #[error(transparent)]
    DrainNotPersisted(#[from] DrainAnswerError),
    /// The core rejected a rollback.
    #[error(transparent)]
    RollbackRefused(#[from] RollbackError),
}

impl ApiError {
    /// The HTTP status of the response.
    pub fn status(&self) -> HttpStatus {
        match self {
            ApiError::Head(_)
            | ApiError::BodyFraming
            | ApiError::Body(_)
            | ApiError::InvalidName { .. }
            | ApiError::TooManyValues { .. }
            | ApiError::InvalidValue { .. }
            | ApiError::InvalidNode(_)
            | ApiError::ClockAhead { .. } => HttpStatus::BadRequest,
            ApiError::ReadOnly => HttpStatus::Forbidden,
            ApiError::UnknownChange(_) | ApiError::NotServed { .. } => HttpStatus::NotFound,
            ApiError::ChangeRefused(_)
            | ApiError::DrainRefused(_)
            | ApiError::DrainNotPersisted(_)
            | ApiError::RollbackRefused(_) => HttpStatus::Conflict,
        }
    }
}
