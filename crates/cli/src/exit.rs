//! Exit codes that several subcommands share.

/// Every controller answered or carried the order out.
pub const SUCCESS: u8 = 0;
/// A controller refused the order, a check forbids the change, or controllers disagree.
pub const REFUSED: u8 = 1;
/// A file or an argument is invalid.
pub const BAD_INPUT: u8 = 2;
/// A controller could not be reached, or did not answer in time.
pub const CONTROLLER_UNREACHABLE: u8 = 3;
/// Any other failure.
pub const FAILURE: u8 = 1;
