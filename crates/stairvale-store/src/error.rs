//! Why a call to the platform gave nothing.

/// Why.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The call may have taken effect or not.
    #[error("the platform's answer was lost")]
    Lost,
    /// The platform says that the call did nothing: it is over its rate, or down.
    #[error("the platform refused the call")]
    Refused,
    /// The platform answered something that this program doesn't understand.
    #[error("the platform's answer was not understood")]
    Malformed,
}
