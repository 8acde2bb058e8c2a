//! The operators' API of a controller on this machine, as the subcommands use it.

use serde_json::{json, Value};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use wheelspread_fleet::{ControllerAddress, Request, RequestError};

/// How long a controller may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// The status of an order that was carried out.
const OK: u16 = 200;

/// No usable answer came from a controller.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The call itself failed.
    #[error("{}", root.display())]
    Failed {
        /// The controller's root of tables.
        root: PathBuf,
        source: RequestError,
    },
    /// The thread that called one of several controllers panicked.
    #[error("the thread that asked is gone")]
    ThreadLost,
}

/// A controller's answer, whether it carried the order out or refused it.
pub struct Answer {
    /// The status of HTTP.
    pub status: u16,
    /// JSON; of a refusal, an object with its reason as `error`.
    pub body: Value,
}

impl Answer {
    /// Whether the order was carried out.
    pub fn is_ok(&self) -> bool {
        self.status == OK
    }

    /// An answer to an order that was carried out.
    pub fn ok(body: Value) -> Answer {
        Answer { status: OK, body }
    }

    /// Why the order was refused.
    pub fn refusal(&self) -> &str {
        self.body["error"].as_str().unwrap_or("not carried out")
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

/// Calls several controllers at once; their answers are in the order of `roots`.
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
            .map(|thread| thread.join().unwrap_or(Err(CallError::ThreadLost)))
            .collect()
    })
}

/// The elements of a list in an answer.
pub fn entries(value: &Value) -> impl Iterator<Item = &Value> {
    value.as_array().into_iter().flatten()
}

/// A value of an answer as people read it.
pub fn shown(value: &Value) -> String {
    match value {
        Value::Null => "-".to_string(),
        Value::String(text) => text.clone(),
        Value::Number(number) if number.is_f64() => {
            format!("{:.1} s", number.as_f64().unwrap_or(0.0))
        }
        other => other.to_string(),
    }
}
