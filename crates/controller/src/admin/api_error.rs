//! Why a request is not served, with the HTTP status that says so.

use super::REQUEST_LIMIT_BYTES;
use crate::drains::DrainAnswerError;
use wheelspread_controller_core::rollback::RollbackError;
use wheelspread_http1::MessageError;

/// The statuses that the API answers with.
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
    /// The number of the status line.
    pub fn code(self) -> u16 {
        match self {
            HttpStatus::Ok => 200,
            HttpStatus::BadRequest => 400,
            HttpStatus::Forbidden => 403,
            HttpStatus::NotFound => 404,
            HttpStatus::Conflict => 409,
        }
    }

    /// The phrase of the status line.
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

/// Characters of an id or of the name of who orders.
pub const NAME_LIMIT_CHARS: usize = 100;
/// Values that one change may set.
pub const CHANGE_VALUE_LIMIT: usize = 10_000;

/// Why a request is not served.
#[derive(Debug, thiserror::Error)]
pub enum ApiError {
    /// The head of the request can't be parsed.
    #[error(transparent)]
    Head(#[from] MessageError),
    /// The body is chunked or too long.
    #[error("a body of a stated length, {REQUEST_LIMIT_BYTES} bytes at most, is expected")]
    BodyFraming,
    /// The body is not the JSON that the path expects.
    #[error(transparent)]
    Body(#[from] serde_json::Error),
    /// An id or a name has other characters than it may.
    #[error("{field}: 1 to {NAME_LIMIT_CHARS} letters, digits, -, _, . and @ are expected")]
    InvalidName {
        /// The field of the body.
        field: &'static str,
    },
    /// A change sets too many values.
    #[error("{count} values, {CHANGE_VALUE_LIMIT} at most are taken")]
    TooManyValues {
        /// Values in the request.
        count: usize,
    },
    /// A value of a change is an array or an object.
    #[error("{path}: a text, a number, true, false or null is expected")]
    InvalidValue {
        /// The path that the change sets.
        path: String,
    },
    /// A node's name is no address with a port.
    #[error("`{0}` should be an address as 127.0.0.1:9000")]
    InvalidNode(String),
    /// An order says that it was given in the future.
    #[error("given_ms: {seconds} s ahead of the clock here")]
    ClockAhead {
        /// How far ahead.
        seconds: u64,
    },
    /// The caller may ask and not order.
    #[error("this way in may ask and not order")]
    ReadOnly,
    /// No change of this id is known.
    #[error("`{0}` is no change that is known")]
    UnknownChange(String),
    /// Nothing is served for this method and path.
    #[error("{method} {target} is not served here")]
    NotServed {
        /// The method of the request.
        method: String,
        /// Its path.
        target: String,
    },
    /// The ledger refuses a change.
    #[error(transparent)]
    ChangeRefused(#[from] wheelspread_config_transaction::ChangeError),
    /// The drain is refused.
    #[error(transparent)]
    DrainRefused(#[from] wheelspread_drain::DrainError),
    /// The drain was ordered, and is not in force.
    #[error(transparent)]
    DrainNotPersisted(#[from] DrainAnswerError),
    /// The core refuses to roll back.
    #[error(transparent)]
    RollbackRefused(#[from] RollbackError),
}

impl ApiError {
    /// The status to answer with.
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
