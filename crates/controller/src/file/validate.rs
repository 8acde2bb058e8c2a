//! Validates the values of a file that was parsed.

use super::settings::MIN_BUFFER_LIMIT;
use super::{ChangeSettings, ControllerFile};
use tracing_subscriber::EnvFilter;
use wheelspread::time::Span;

/// Minimum of the durations of a change's states.
const MIN_CHANGE_DURATION: Span = Span::from_seconds(0.2);
const MAX_RETAINED_VERSIONS: usize = 1000;

/// An invalid value.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {message}")]
pub(super) struct FieldError {
    /// The path of the field, such as `deployment.zones.0`.
    pub field: String,
    pub message: String,
}

impl FieldError {
    fn new(field: impl Into<String>, message: impl Into<String>) -> FieldError {
        FieldError {
            field: field.into(),
            message: message.into(),
        }
    }
}

impl ControllerFile {
    /// Returns all invalid values, by section.
    pub(super) fn validate(&self) -> Vec<FieldError> {
        let mut errors = self.validate_deployment();
        errors.extend(self.validate_controller());
        errors.extend(self.validate_tls());
        errors.extend(self.changes.validate());
        errors.extend(self.validate_administration());
        errors.extend(self.validate_streams());
        errors.extend(self.validate_log());
        errors
    }

    fn validate_deployment(&self) -> Vec<FieldError> {
        let errors = self.deployment.validate().into_iter();
        errors
            .map(|error| {
                FieldError::new(
                    format!("deployment.{}", error.field),
                    error.kind.to_string(),
                )
            })
            .collect()
    }

    fn validate_controller(&self) -> Vec<FieldError> {
        let mut errors = Vec::new();
        let (number, count) = (self.conductor.number, self.deployment.controllers.count);
        if number >= count {
            let message = format!("{number} of {count} controllers: numbers start at 0");
            errors.push(FieldError::new("conductor.number", message));
        }
        if self.conductor.connections_at_most == 0 {
            errors.push(FieldError::new(
                "conductor.connections_at_most",
                "should be above 0",
            ));
        }
        if self.conductor.buffers_at_most < MIN_BUFFER_LIMIT {
            let message = format!("should be at least {MIN_BUFFER_LIMIT} bytes");
            errors.push(FieldError::new("conductor.buffers_at_most", message));
        }
        errors
    }

    fn validate_tls(&self) -> Option<FieldError> {
        let tls = self.tls.as_ref()?;
        let lacks_roots = tls.node_id_in_certificate && tls.clients.is_none();
        lacks_roots.then(|| FieldError::new("tls.node_id_in_certificate", "requires `tls.clients`"))
    }

    fn validate_administration(&self) -> Option<FieldError> {
        let settings = self.administration.as_ref()?;
        let is_remote = !settings.listen.ip().is_loopback();
        is_remote.then(|| FieldError::new("administration.listen", "should be a loopback address"))
    }

    fn validate_streams(&self) -> Vec<FieldError> {
        let settings = &self.streams;
        let mut errors = Vec::new();
        if !(1..=MAX_RETAINED_VERSIONS).contains(&settings.versions_kept)
            || settings.changes_at_most == 0
        {
            errors.push(FieldError::new(
                "streams",
                "versions_kept should lie between 1 and 1000, changes_at_most should be above 0",
            ));
        }
        if settings.unanswered_at_most <= Span::ZERO {
            errors.push(FieldError::new(
                "streams.unanswered_at_most",
                "should be above 0",
            ));
        }
        errors
    }

    fn validate_log(&self) -> Option<FieldError> {
        let level = &self.log.level;
        let is_unknown = EnvFilter::try_new(level).is_err();
        is_unknown.then(|| FieldError::new("log.level", format!("`{level}` is not a valid level")))
    }
}

impl ChangeSettings {
    fn validate(&self) -> Vec<FieldError> {
        let mut errors = self.validate_durations();
        errors.extend(self.validate_ratios());
        let undo = &self.undo_when;
        if !(undo.slower_at_most >= 1.0 && undo.invocations_at_least >= 1.0) {
            errors.push(FieldError::new(
                "changes.undo_when",
                "slower_at_most and invocations_at_least should be 1 or more",
            ));
        }
        errors
    }

    fn validate_durations(&self) -> Vec<FieldError> {
        let spans = [
            ("watch", self.watch),
            ("staged_at_most", self.staged_at_most),
            ("apply_at_most", self.apply_at_most),
        ];
        let too_short = spans
            .into_iter()
            .filter(|(_, span)| *span < MIN_CHANGE_DURATION);
        too_short
            .map(|(field, _)| {
                FieldError::new(format!("changes.{field}"), "should be 200ms or more")
            })
            .collect()
    }

    fn validate_ratios(&self) -> Vec<FieldError> {
        let undo = &self.undo_when;
        let ratios = [
            ("value_lost_at_most", self.value_lost_at_most),
            ("cold_work_at_most", self.cold_work_at_most),
            ("undo_when.errored_more_at_most", undo.errored_more_at_most),
            ("undo_when.value_less_at_most", undo.value_less_at_most),
        ];
        let outside = ratios
            .into_iter()
            .filter(|(_, ratio)| !(0.0..=1.0).contains(ratio));
        outside
            .map(|(field, ratio)| {
                let message = format!("{ratio} should lie between 0 and 1");
                FieldError::new(format!("changes.{field}"), message)
            })
            .collect()
    }
}
