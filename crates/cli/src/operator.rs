//! A conductor's socket of operators, as the commands use it.

use serde_json::{json, Value};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use wheelspread_fleet::{Failed, Line, Request};

/// Exit codes: a conductor refused, or could not be reached.
pub const NOT_CARRIED_OUT: u8 = 1;
pub const NO_CONDUCTOR: u8 = 3;

const PATIENCE: Duration = Duration::from_secs(10);

/// Status and body; an error where there is no answer that can be used.
pub fn call(
    root: &Path,
    method: &str,
    target: &str,
    body: Option<Value>,
) -> Result<(u16, Value), String> {
    let line = Line::Unix(root.join("admin.sock"));
    let request = match (method, body) {
        ("GET", _) => Request::get(target),
        (_, body) => Request::post(target, body.unwrap_or(Value::Null)),
    };
    match wheelspread_fleet::call(&line, &request, Instant::now() + PATIENCE) {
        Ok(told) => Ok((200, told)),
        Err(Failed::Refused { status, reason }) => Ok((status, json!({ "error": reason }))),
        Err(failed) => Err(format!("{}: {failed}", root.display())),
    }
}

/// What each of several conductors answers to the same, asked at once.
pub fn call_all(
    roots: &[PathBuf],
    method: &str,
    target: &str,
    body: Option<&Value>,
) -> Vec<Result<(u16, Value), String>> {
    std::thread::scope(|scope| {
        let asked: Vec<_> = roots
            .iter()
            .map(|root| scope.spawn(move || call(root, method, target, body.cloned())))
            .collect();
        let gone = || Err("the thread that asked is gone".to_string());
        asked
            .into_iter()
            .map(|thread| thread.join().unwrap_or_else(|_| gone()))
            .collect()
    })
}

/// What stands in a list of an answer.
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
