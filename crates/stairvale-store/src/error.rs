//! The errors of calls to the platform.

/// Why a call to the platform failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// No answer arrived, so the call may have taken effect or not.
    #[error("the platform's answer was lost")]
    Lost,
    /// The call had no effect: the platform is over its rate limit, unavailable or not reachable, or it rejected the
    /// call.
    #[error("the platform refused the call")]
    Refused,
    /// The answer could not be parsed, or the request was invalid.
    #[error("the platform's answer was not understood")]
    Malformed,
}
