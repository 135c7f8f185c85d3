//! Bodies of responses to clients.

#![allow(clippy::unwrap_used)]

use bytes::Bytes;
use http_body_util::BodyExt;
use stairvale_serve::body::{Body, Chunk, Truncated};
use tokio::sync::mpsc;

/// Guards against a truncated answer that looks complete since the task that relayed it has ended, for example by a panic.
#[tokio::test]
async fn a_body_is_complete_only_with_its_end() {
    for is_complete in [true, false] {
        let (sender, receiver) = mpsc::channel(4);
        sender.send(Chunk::Data(Bytes::from_static(b"text"), None)).await.unwrap();
        if is_complete {
            sender.send(Chunk::End).await.unwrap();
        }
        drop(sender);
        let collected = Body::chunks(receiver, None).collect().await;
        let expected = if is_complete { Ok(Bytes::from_static(b"text")) } else { Err(Truncated) };
        assert_eq!(collected.map(http_body_util::Collected::to_bytes), expected);
    }
}
