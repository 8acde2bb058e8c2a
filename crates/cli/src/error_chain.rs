//! Formats an error and its causes as one line.

use std::error::Error;

/// The text of an error followed by its causes, as one line. A cause whose text the line already contains is not added
/// again, as some errors include their cause in their own text.
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
