//! Incoming streams from peers.

use std::time::Duration;

use h2::{RecvStream, server::SendResponse};
use http::{HeaderMap, HeaderValue, Method, Response, StatusCode};
use serde::de::DeserializeOwned;
use stairvale_clock::Clock;
use stairvale_memory::{Connections, connections::Connection};
use stairvale_types::id;
use stairvale_wire::codec;
use tokio::net::{TcpListener, TcpStream};

use crate::{MINOR_VERSION_HEADER, SENDER_HEADER, Sink, VERSION_HEADER, links::ACK_TIMEOUT, set_liveness_timeouts};

/// Flow-control window of a connection: the bytes that may wait to be read. `h2` closes a connection whose waiting
/// small frames, headers included, exceed half of the window; with its default window a burst of a hundred frames would
/// exceed it.
const CONNECTION_WINDOW_BYTES: u32 = 1 << 20;
/// Delay before the next `accept` after one that failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Accepts connections and streams from peers, and passes their frames to `sink`, until the future is dropped.
pub async fn listen<F: DeserializeOwned + Send + 'static, S: Sink<F>>(listener: TcpListener, sink: S) {
    let pending = Connections::pending(Clock::start());
    loop {
        let Ok((tcp, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if let Some(open) = pending.open_or_replace().await {
            tokio::spawn(serve::<F, S>(tcp, sink.clone(), open));
        }
    }
}

/// Serves a connection. `pending` is its place among those without a stream.
async fn serve<F: DeserializeOwned + Send + 'static, S: Sink<F>>(tcp: TcpStream, sink: S, pending: Connection) {
    if set_liveness_timeouts(&tcp, ACK_TIMEOUT).is_err() {
        return;
    }
    let handshake = h2::server::Builder::new().initial_connection_window_size(CONNECTION_WINDOW_BYTES).handshake(tcp);
    let handshake = tokio::select! {
        handshake = handshake => handshake,
        () = pending.asked_to_close() => return,
    };
    let Ok(mut connection) = handshake else {
        return;
    };
    let mut pending = Some(pending);
    loop {
        let accepted = tokio::select! {
            accepted = connection.accept() => accepted,
            () = Connection::any_asked_to_close(pending.as_ref()) => return,
        };
        let Some(Ok((request, respond))) = accepted else {
            return;
        };
        if request.method() == Method::CONNECT {
            pending = None;
            sink.tunnel(request, respond);
            continue;
        }
        let sender = sender(request.headers());
        if sender.is_some() {
            pending = None;
        }
        tokio::spawn(serve_stream::<F, S>(sender, request.into_body(), respond, sink.clone()));
    }
}

/// The router that opened the stream; `None` if the headers are invalid or its protocol version differs.
fn sender(headers: &HeaderMap) -> Option<id::Router> {
    let version = headers.get(VERSION_HEADER)?.to_str().ok()?;
    if version != stairvale_wire::VERSION.to_string() {
        return None;
    }
    headers.get(SENDER_HEADER)?.to_str().ok()?.parse().ok()
}

/// Answers the request that opened a stream, and reads its frames if the sender is valid.
async fn serve_stream<F: DeserializeOwned, S: Sink<F>>(
    sender: Option<id::Router>,
    body: RecvStream,
    mut respond: SendResponse<bytes::Bytes>,
    sink: S,
) {
    let mut response = Response::new(());
    response.headers_mut().insert(MINOR_VERSION_HEADER, HeaderValue::from(stairvale_wire::MINOR_VERSION));
    if sender.is_none() {
        *response.status_mut() = StatusCode::FORBIDDEN;
    }
    let Ok(_open) = respond.send_response(response, sender.is_none()) else {
        return;
    };
    if let Some(from) = sender
        && let Err(error) = read_frames(&from, body, &sink).await
    {
        tracing::warn!(%from, %error, "invalid frame on a stream from a peer; stream closed");
    }
}

/// Passes the frames of a stream to `sink` until the stream ends.
async fn read_frames<F: DeserializeOwned, S: Sink<F>>(
    from: &id::Router,
    mut body: RecvStream,
    sink: &S,
) -> Result<(), codec::Error> {
    let mut buffer = codec::Buffer::default();
    while let Some(Ok(chunk)) = body.data().await {
        if body.flow_control().release_capacity(chunk.len()).is_err() {
            return Ok(());
        }
        buffer.extend(&chunk);
        while let Some(frame) = buffer.take::<F>()? {
            sink.frame(from, frame);
        }
    }
    Ok(())
}
