//! How an error is printed: its causes in one line.

use std::error::Error;

/// An error and its causes in one line. Some errors repeat their cause in their own text; it is then not added again.
pub fn error_chain(error: &(dyn Error + 'static)) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        let next = error.to_string();
        if !text.contains(&next) {
            text = format!("{text}: {next}");
        }
        cause = error.source();
    }
    text
}
