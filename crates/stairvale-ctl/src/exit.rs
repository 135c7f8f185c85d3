//! Exit codes of `stairvalectl`, by which scripts tell failures apart.

/// The command succeeded.
pub const OK: u8 = 0;
/// The command failed for a reason that has no exit code of its own.
pub const FAILED: u8 = 1;
/// The command line is invalid.
pub const USAGE: u8 = 2;
/// The file can't be read, or the configuration is invalid.
pub const INVALID: u8 = 3;
/// The change conflicts with another one that was applied first.
pub const CONFLICT: u8 = 4;
/// The router or the platform can't be reached; nothing was changed.
pub const UNREACHABLE: u8 = 5;
/// The outcome is unknown: the change may or may not have been accepted.
pub const UNKNOWN: u8 = 6;
/// The operator's key is missing or wrong.
pub const KEY: u8 = 7;
