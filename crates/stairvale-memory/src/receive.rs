//! Reads a body into memory.

use std::future::poll_fn;

use bytes::Bytes;
use http_body::Body;
use stairvale_clock::Clock;

use crate::{
    budget::{Account, Budget, Shortage},
    content::Content,
};

/// Why a body was not received.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Fault {
    /// The body has more bytes than are allowed.
    #[error("the body is too large")]
    TooLarge,
    /// The rest of the body can't be read.
    #[error("the body broke off")]
    Incomplete,
    /// There is no room for the body.
    #[error(transparent)]
    Shortage(#[from] Shortage),
}

/// Reads a body of at most `max` bytes. Room for it is reserved before anything of it is read, as far as its length is
/// announced. `on_data` is called with the number of bytes of each part that arrives.
///
/// # Errors
/// A [`Fault`]; the room is released then.
pub async fn receive<B: Body<Data = Bytes> + Unpin>(
    budget: &Budget,
    clock: &Clock,
    account: Account,
    body: &mut B,
    max: usize,
    mut on_data: impl FnMut(usize),
) -> Result<Content, Fault> {
    if body.is_end_stream() {
        return Ok(Content::default());
    }
    let announced = body.size_hint().exact().map(|length| usize::try_from(length).unwrap_or(usize::MAX));
    if announced.is_some_and(|length| length > max) {
        return Err(Fault::TooLarge);
    }
    let mut upload = budget.upload(clock.now(), account, announced, max)?;
    loop {
        let frame = tokio::select! {
            biased;
            frame = poll_fn(|context| std::pin::Pin::new(&mut *body).poll_frame(context)) => frame,
            () = upload.evicted() => return Err(Shortage::Evicted.into()),
        };
        let Some(frame) = frame else {
            return Ok(upload.finish()?);
        };
        // Trailers are dropped.
        let Ok(bytes) = frame.map_err(|_| Fault::Incomplete)?.into_data() else {
            continue;
        };
        on_data(bytes.len());
        if upload.len() + bytes.len() > max {
            return Err(Fault::TooLarge);
        }
        upload.push(clock.now(), &bytes)?;
    }
}
