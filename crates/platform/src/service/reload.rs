//! Taking a new configuration while the service runs.

use super::Service;
use crate::clock::span;
use crate::config::{ConfigError, PlatformConfig};
use std::time::Duration;
use tracing::{debug, info, warn};
use wheelspread::time::Moment;
use wheelspread_platform_core::ReconfigureError;

/// Time between two attempts to read a file that may be half written.
const RELOAD_RETRY_INTERVAL: Duration = Duration::from_millis(100);
const RELOAD_RETRIES: u32 = 50;

/// A configuration that is to be read.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingReload {
    pub(super) due_at: Moment,
    retries: u32,
}

impl PendingReload {
    pub(super) fn first(now: Moment) -> PendingReload {
        PendingReload {
            due_at: now,
            retries: 0,
        }
    }

    /// The next attempt, if there is to be one.
    fn next(self) -> Option<PendingReload> {
        (self.retries < RELOAD_RETRIES).then(|| PendingReload {
            due_at: self.due_at + span(RELOAD_RETRY_INTERVAL),
            retries: self.retries + 1,
        })
    }
}

/// Why a configuration is not taken.
#[derive(Debug, thiserror::Error)]
enum ReloadError {
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error(transparent)]
    Settings(#[from] ReconfigureError),
}

impl Service {
    /// Reads the configuration again if that is due. The old one stays in force until the new one can be used.
    pub(super) fn reload_if_due(&mut self, now: Moment) {
        let Some(reload) = self.pending_reload.filter(|reload| now >= reload.due_at) else {
            return;
        };
        match self.read_configuration() {
            Ok(config) => self.apply_configuration(now, config),
            Err(error) => {
                self.pending_reload = reload.next();
                if self.pending_reload.is_some() {
                    debug!(%error, "reload failed, retrying");
                } else {
                    warn!(%error, "reload failed, the previous configuration stays in force");
                }
            }
        }
    }

    /// Reads the file, and passes its settings to the core.
    fn read_configuration(&mut self) -> Result<PlatformConfig, ReloadError> {
        let config = PlatformConfig::read(&self.config_path)?;
        self.core
            .reconfigure(config.settings.clone(), &config.names)?;
        Ok(config)
    }

    fn apply_configuration(&mut self, now: Moment, config: PlatformConfig) {
        info!(discovery = %config.discovery, "configuration reloaded");
        let has_address_changed = config.discovery != self.config.discovery;
        self.config = config;
        self.pending_reload = None;
        if has_address_changed {
            self.change_discovery_address(now);
        }
    }
}
