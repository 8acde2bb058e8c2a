//! Reloading the configuration while the service runs.

use super::Service;
use crate::clock::span;
use crate::config::{ConfigError, PlatformConfig};
use std::time::Duration;
use tracing::{debug, info, warn};
use wheelspread::time::Moment;
use wheelspread_platform_core::ReconfigureError;

/// Interval between attempts to read the file, which may be only partly written.
const RELOAD_RETRY_INTERVAL: Duration = Duration::from_millis(100);
const RELOAD_RETRIES: u32 = 50;

/// A requested reload of the configuration.
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

    /// The next attempt; `None` after the last one.
    fn next(self) -> Option<PendingReload> {
        (self.retries < RELOAD_RETRIES).then(|| PendingReload {
            due_at: self.due_at + span(RELOAD_RETRY_INTERVAL),
            retries: self.retries + 1,
        })
    }
}

/// Why a new configuration is rejected.
#[derive(Debug, thiserror::Error)]
enum ReloadError {
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error(transparent)]
    Settings(#[from] ReconfigureError),
}

impl Service {
    /// Reloads the configuration if an attempt is due. The previous configuration stays in force until the new one is
    /// valid.
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

    /// Reads the file and applies its settings to the core.
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
