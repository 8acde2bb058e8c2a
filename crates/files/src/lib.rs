//! Publication of tables as files. Versions are written completely and then swapped in by rename. The layout below the
//! root:
//!
//! ```text
//! versions/<version>/eds.json, rds.json   written once, never changed
//! gateways/<proxy>/current                a symbolic link to one version, swapped by rename(2)
//! status/<proxy>.json                     the version that the proxy has, written by the proxy
//! ```
//!
//! A version directory gets its final name only after both documents are complete and synced to the disk (on a slow disk
//! [`writer`] continues after a time-out), and one rename points a proxy at it. A reader that follows the link once
//! therefore has all tables at one version. Files and directories that are not complete have names that begin with `.draft-`.
//!
//! | module | purpose |
//! | --- | --- |
//! | [`root`] | paths below the root |
//! | [`swap`] | writes one version and points a proxy at it, in steps between which a crash is safe |
//! | [`writer`] | the thread that publishes a controller's tables |
//! | [`read`] | reads a proxy's tables |
//! | [`mod@scan`] | reads the versions and links at the start of a controller |
//! | [`replace`] | replaces single files atomically |

mod io_text;
pub mod read;
pub mod replace;
pub mod root;
pub mod scan;
pub mod swap;
pub mod writer;

pub use read::{read_tables, read_text, LoadedTables, ReadError};
pub use replace::{replace_file, replace_file_unsynced};
pub use root::{TableRoot, CURRENT, EDS, RDS};
pub use scan::{scan, ScanResult, UnreadableTables};
pub use swap::{Swap, SwapError, SwapStep};
pub use writer::{PublishError, TableWriter, WriteJob, WriteResult};
