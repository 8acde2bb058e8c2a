//! `wheelspread run`, `check` and `proxy`: runs controllers and proxies, and validates a controller's configuration file.

use crate::exit::{BAD_INPUT, FAILURE};
use std::io;
use std::path::{Path, PathBuf};
use wheelspread_controller::{log, Controller, ControllerFile, ControllerFileError, LogSettings};
use wheelspread_proxy::{serve, NoObserver, ProxyConfig};

/// Why a controller or proxy did not start, or stopped with an error.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// The controller's configuration file is invalid.
    #[error(transparent)]
    ControllerFile(#[from] ControllerFileError),
    /// The proxy's configuration file is invalid.
    #[error(transparent)]
    ProxyFile(#[from] wheelspread_proxy::ConfigError),
    /// The controller's file is valid, but the controller could not start.
    #[error("{}", file.display())]
    Start {
        /// The configuration file.
        file: PathBuf,
        source: wheelspread_controller::StartError,
    },
    /// A controller of a platform could not start.
    #[error(transparent)]
    PlatformStart(wheelspread_platform::StartError),
    /// The controller or proxy started and then stopped with an error.
    #[error("{}", file.display())]
    Run {
        /// The configuration file.
        file: PathBuf,
        source: io::Error,
    },
}

impl ServeError {
    /// The exit code of the process.
    pub fn exit_code(&self) -> u8 {
        match self {
            ServeError::ControllerFile(_)
            | ServeError::ProxyFile(_)
            | ServeError::PlatformStart(_) => BAD_INPUT,
            ServeError::Start { .. } | ServeError::Run { .. } => FAILURE,
        }
    }
}

fn stopped(file: &Path) -> impl FnOnce(io::Error) -> ServeError + '_ {
    move |source| ServeError::Run {
        file: file.to_path_buf(),
        source,
    }
}

/// Checks a controller's configuration file.
pub fn check(path: &Path) -> Result<(), ServeError> {
    let file = ControllerFile::read(path)?;
    let deployment = &file.deployment;
    print_line!(
        "{}: conductor {} of {}, {} zones, {} operations: nothing is wrong",
        path.display(),
        file.conductor.name,
        deployment.controllers.count,
        deployment.zones.len(),
        deployment.operations.len()
    );
    Ok(())
}

/// Runs a controller until it is stopped.
pub fn run_controller(path: &Path) -> Result<(), ServeError> {
    let file = ControllerFile::read(path)?;
    log::start(&file.log);
    if wheelspread_faults::enable_from_environment() {
        tracing::warn!("fault injection enabled by FAILPOINTS");
    }
    let controller = Controller::start(file, Some(path)).map_err(|source| ServeError::Start {
        file: path.to_path_buf(),
        source,
    })?;
    controller.run().map_err(stopped(path))?;
    Ok(())
}

/// Runs a controller of a platform until it is stopped. Being stopped during the start is not an error.
pub fn run_platform_controller(path: &Path) -> Result<(), ServeError> {
    log::start(&LogSettings::default());
    match wheelspread_platform::Service::start(path) {
        Ok(service) => service.run().map_err(stopped(path)),
        Err(wheelspread_platform::StartError::Stopped) => Ok(()),
        Err(error) => Err(ServeError::PlatformStart(error)),
    }
}

/// Runs a proxy until it is stopped.
pub fn run_proxy(path: &Path) -> Result<(), ServeError> {
    let config = ProxyConfig::read(path)?;
    log::start(&LogSettings::default());
    serve(config, NoObserver).map_err(stopped(path))
}
