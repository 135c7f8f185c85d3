//! Streams from peers.

use std::time::Duration;

use h2::{RecvStream, server::SendResponse};
use http::{HeaderMap, Response, StatusCode};
use serde::de::DeserializeOwned;
use stairvale_types::id;
use stairvale_wire::codec;
use tokio::net::{TcpListener, TcpStream};

use crate::{SENDER, Sink, VERSION, links::SILENCE, watch_over};

/// Bytes that may wait to be read. `h2` ends a connection on which small frames of half of this many bytes, heads counted, wait: with its usual
/// window a hundred frames at once would be too many.
const WINDOW: u32 = 1 << 20;
/// After a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Takes streams from peers until the task is dropped.
pub async fn listen<F: DeserializeOwned + Send + 'static, S: Sink<F>>(listener: TcpListener, sink: S) {
    loop {
        let Ok((tcp, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        tokio::spawn(serve::<F, S>(tcp, sink.clone()));
    }
}

async fn serve<F: DeserializeOwned + Send + 'static, S: Sink<F>>(tcp: TcpStream, sink: S) {
    if watch_over(&tcp, SILENCE).is_err() {
        return;
    }
    let handshake = h2::server::Builder::new().initial_connection_window_size(WINDOW).handshake(tcp);
    let Ok(mut connection) = handshake.await else {
        return;
    };
    while let Some(Ok((request, respond))) = connection.accept().await {
        let sender = sender(request.headers());
        tokio::spawn(stream::<F, S>(sender, request.into_body(), respond, sink.clone()));
    }
}

/// Who sends, if it speaks this version.
fn sender(headers: &HeaderMap) -> Option<id::Router> {
    let version = headers.get(VERSION)?.to_str().ok()?;
    if version != stairvale_wire::VERSION.to_string() {
        return None;
    }
    headers.get(SENDER)?.to_str().ok()?.parse().ok()
}

async fn stream<F: DeserializeOwned, S: Sink<F>>(
    sender: Option<id::Router>,
    body: RecvStream,
    mut respond: SendResponse<bytes::Bytes>,
    sink: S,
) {
    let mut response = Response::new(());
    if sender.is_none() {
        *response.status_mut() = StatusCode::FORBIDDEN;
    }
    let Ok(_open) = respond.send_response(response, sender.is_none()) else {
        return;
    };
    if let Some(from) = sender
        && let Err(error) = read(&from, body, &sink).await
    {
        tracing::warn!(%from, %error, "a peer's stream made no sense");
    }
}

async fn read<F: DeserializeOwned, S: Sink<F>>(
    from: &id::Router,
    mut body: RecvStream,
    sink: &S,
) -> Result<(), codec::Error> {
    let mut buffer = codec::Buffer::default();
    while let Some(Ok(piece)) = body.data().await {
        if body.flow_control().release_capacity(piece.len()).is_err() {
            return Ok(());
        }
        buffer.extend(&piece);
        while let Some(frame) = buffer.take::<F>()? {
            sink.frame(from, frame);
        }
    }
    Ok(())
}
