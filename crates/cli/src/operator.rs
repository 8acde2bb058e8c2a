//! Client of the operators' API of controllers on this machine, used by the subcommands.

use serde_json::{json, Value};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use wheelspread_fleet::{ControllerAddress, Request, RequestError};

/// The longest time that a controller may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// The HTTP status of a request that was carried out.
const HTTP_OK: u16 = 200;

/// No usable answer came from a controller.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The request could not be sent, or no valid answer arrived in time.
    #[error("{}", root.display())]
    Failed {
        /// The controller's tables root, in which its socket lies.
        root: PathBuf,
        source: RequestError,
    },
    /// The thread that called one of several controllers panicked.
    #[error("the thread that called the controller panicked")]
    ThreadPanicked,
}

/// A controller's answer to a request that it carried out or refused.
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The JSON body; for a refusal, an object with the reason as `error`.
    pub body: Value,
}

impl Answer {
    /// Whether the request was carried out.
    pub fn is_ok(&self) -> bool {
        self.status == HTTP_OK
    }

    /// An answer to a request that was carried out.
    pub fn ok(body: Value) -> Answer {
        Answer {
            status: HTTP_OK,
            body,
        }
    }

    /// The reason of a refusal, or a fixed text if the answer has none.
    pub fn refusal(&self) -> &str {
        self.body["error"]
            .as_str()
            .unwrap_or("refused without a reason")
    }
}

/// Calls the controller whose socket lies in `root`.
pub fn call(
    root: &Path,
    method: &str,
    target: &str,
    body: Option<Value>,
) -> Result<Answer, CallError> {
    let address = ControllerAddress::Unix(root.join("admin.sock"));
    let request = match (method, body) {
        ("GET", _) => Request::get(target),
        (_, body) => Request::post(target, body.unwrap_or(Value::Null)),
    };
    match wheelspread_fleet::call(&address, &request, Instant::now() + ANSWER_TIMEOUT) {
        Ok(body) => Ok(Answer::ok(body)),
        Err(RequestError::Refused { status, reason }) => Ok(Answer {
            status,
            body: json!({ "error": reason }),
        }),
        Err(source) => Err(CallError::Failed {
            root: root.to_path_buf(),
            source,
        }),
    }
}

/// Calls several controllers in parallel; the answers are in the order of `roots`.
pub fn call_all(
    roots: &[PathBuf],
    method: &str,
    target: &str,
    body: Option<&Value>,
) -> Vec<Result<Answer, CallError>> {
    std::thread::scope(|scope| {
        let calls: Vec<_> = roots
            .iter()
            .map(|root| scope.spawn(move || call(root, method, target, body.cloned())))
            .collect();
        calls
            .into_iter()
            .map(|thread| thread.join().unwrap_or(Err(CallError::ThreadPanicked)))
            .collect()
    })
}

/// The elements of a JSON array; none if the value is not an array.
pub fn array_elements(value: &Value) -> impl Iterator<Item = &Value> {
    value.as_array().into_iter().flatten()
}

/// A JSON value as text for a person: `-` for null, and a fractional number as seconds.
pub fn display_value(value: &Value) -> String {
    match value {
        Value::Null => "-".to_string(),
        Value::String(text) => text.clone(),
        Value::Number(number) if number.is_f64() => {
            format!("{:.1} s", number.as_f64().unwrap_or(0.0))
        }
        other => other.to_string(),
    }
}
