//! Tables as files: versions that are written completely and swapped in by rename. Under one root:
//!
//! ```text
//! versions/<version>/eds.json, rds.json   written once, never changed
//! gateways/<proxy>/current                a link to one of them, swapped by rename(2)
//! status/<proxy>.json                     which version the proxy holds, swapped in by the proxy
//! ```
//!
//! A version appears under its name only when both documents are complete and on the disk, and a proxy comes to it by
//! one rename: whoever follows the link once has all its tables at one version.
//!
//! | module | job |
//! | --- | --- |
//! | [`root`] | paths below the root |
//! | [`swap`] | writes one version and points a proxy at it, in steps that a crash may separate |
//! | [`writer`] | the thread that does this for a controller |
//! | [`read`] | reads a proxy's tables |
//! | [`mod@scan`] | what a controller finds when it starts |
//! | [`replace`] | swaps in single files |

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
