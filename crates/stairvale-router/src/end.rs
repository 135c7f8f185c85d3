//! What shows that an upstream's answer is complete.
//!
//! An answer that states neither its length nor chunks ends with its connection (RFC 9112, section 6.3), and a process
//! that crashes ends its connections in the same way. Such an answer is complete only if the process that sent it is
//! seen to run after the close: it answers a question for its status, with the incarnation that it had when the request
//! was sent. No answer, a refused connection or another incarnation show nothing.

use http::{HeaderMap, Response, header};
use hyper::body::{Body as _, Incoming};

use crate::{shared::Endpoint, upstream::Client};

/// How the end of an answer is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// The answer states it, and reading the body fails if it ends earlier.
    Stated,
    /// The answer ends with its connection.
    Close {
        /// Whether the answer is a success, which has to have a body to be taken for complete.
        is_success: bool,
    },
}

impl End {
    /// How the end of an answer is known, from its head.
    #[must_use]
    pub fn of(response: &Response<Incoming>) -> Self {
        if is_chunked(response.headers()) || response.body().size_hint().exact().is_some() {
            return Self::Stated;
        }
        Self::Close { is_success: response.status().is_success() }
    }

    /// Whether the answer of an upstream is complete, after `received` bytes of its body were read to the end without an
    /// error. It takes at most the time limit of a question for the upstream's status.
    pub async fn is_shown(self, client: &Client, endpoint: &Endpoint, received: usize) -> bool {
        match self {
            Self::Stated => true,
            // Right after the head, the close is as likely a crash before the first byte of the body as its end.
            Self::Close { is_success: true } if received == 0 => false,
            Self::Close { .. } => client.is_same_incarnation(endpoint).await,
        }
    }
}

/// Whether the last transfer coding is chunked.
fn is_chunked(headers: &HeaderMap) -> bool {
    let codings = headers.get_all(header::TRANSFER_ENCODING).iter().filter_map(|value| value.to_str().ok());
    codings
        .flat_map(|value| value.split(','))
        .last()
        .is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
}
