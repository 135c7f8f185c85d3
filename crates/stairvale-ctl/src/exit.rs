//! Exit codes.

/// The command did what it was told.
pub const OK: u8 = 0;
/// Something else went wrong.
pub const FAILED: u8 = 1;
/// The command line is wrong.
pub const USAGE: u8 = 2;
/// The file is no valid configuration.
pub const INVALID: u8 = 3;
/// Another change came first.
pub const CONFLICT: u8 = 4;
/// The router or the platform can't be reached; nothing was changed.
pub const UNREACHABLE: u8 = 5;
/// The change may or may not have been accepted.
pub const UNKNOWN: u8 = 6;
/// The operator's key is missing or wrong.
pub const KEY: u8 = 7;
