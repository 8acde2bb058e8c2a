//! Exit codes that several subcommands share.

/// The order or the call holds everywhere.
pub const SUCCESS: u8 = 0;
/// A controller refused, or something else speaks against what was asked for.
pub const NOT_CARRIED_OUT: u8 = 1;
/// A file or an argument is invalid.
pub const BAD_INPUT: u8 = 2;
/// A controller could not be reached, or did not answer in time.
pub const CONTROLLER_UNREACHABLE: u8 = 3;
/// Any other failure.
pub const FAILURE: u8 = 1;
