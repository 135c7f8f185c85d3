//! The peer's side of a tunnel: it connects to the upstream and copies bytes in both directions.

use std::{future::poll_fn, io, net::SocketAddr, sync::Arc};

use bytes::{Bytes, BytesMut};
use h2::{Reason, RecvStream, SendStream, server::SendResponse};
use http::{Request, Response, StatusCode};
use stairvale_types::id;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
};

use super::UPSTREAM_HEADER;
use crate::{Shared, caller::InFlightGuard};

/// Size of the buffer for bytes from an upstream.
const BUFFER_BYTES: usize = 8 << 10;

/// Serves a peer's request for a tunnel, until either end closes it.
pub async fn serve(shared: Arc<Shared>, request: Request<RecvStream>, mut respond: SendResponse<Bytes>) {
    // A stopping process waits for its tunnels to end.
    let _in_flight = InFlightGuard::new(shared.clone());
    let opened = open(&shared, &request).await;
    let mut response = Response::new(());
    *response.status_mut() = opened.as_ref().map_or_else(|status| *status, |_| StatusCode::OK);
    // The peer may have given up meanwhile.
    let Ok(stream) = respond.send_response(response, opened.is_err()) else {
        return;
    };
    match opened {
        Ok(tcp) => {
            shared.metrics.count("tunnel-served");
            copy(tcp, request.into_body(), stream).await;
        }
        Err(_) => shared.metrics.count("tunnel-refused"),
    }
}

/// Connects to the upstream that a request names.
///
/// The error is the status of the response: 502 if this router reaches other upstreams but not this one, 421 if the
/// upstream is to get no requests from this router, 503 if this router opens no tunnels.
async fn open(shared: &Shared, request: &Request<RecvStream>) -> Result<TcpStream, StatusCode> {
    if shared.is_stopping() || shared.upstreams.is_isolated() {
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    }
    let name = request.headers().get(UPSTREAM_HEADER).and_then(|name| name.to_str().ok()?.parse().ok());
    let name: id::Upstream = name.ok_or(StatusCode::BAD_REQUEST)?;
    let address = shared.query(|core, now| usable_address(core, now, &name)).ok_or(StatusCode::MISDIRECTED_REQUEST)?;
    let tcp = shared.upstreams.connect_directly(&name, address).await.map_err(|_| {
        if shared.upstreams.is_isolated() { StatusCode::SERVICE_UNAVAILABLE } else { StatusCode::BAD_GATEWAY }
    })?;
    Ok(tcp)
}

fn usable_address(core: &crate::core::Core, now: stairvale_types::Moment, name: &id::Upstream) -> Option<SocketAddr> {
    let upstream = core.usable_upstream(name)?;
    core.remaining_rest(now, &upstream.service, name).is_none().then_some(upstream.address)
}

/// Copies bytes until the upstream closes its side or either side fails.
async fn copy(tcp: TcpStream, from_peer: RecvStream, mut to_peer: SendStream<Bytes>) {
    let (from_upstream, to_upstream) = tcp.into_split();
    let failed = tokio::select! {
        () = forward_to_upstream(from_peer, to_upstream) => true,
        result = forward_to_peer(from_upstream, &mut to_peer) => result.is_err(),
    };
    if failed {
        // Any other reason would look like the upstream's regular end of the connection.
        to_peer.send_reset(Reason::CONNECT_ERROR);
    }
}

/// Forwards bytes to the upstream. Returns once the peer has given up the tunnel or the upstream takes no more bytes; a
/// peer that has only finished sending still waits for the answer.
async fn forward_to_upstream(mut from: RecvStream, mut to: OwnedWriteHalf) {
    while let Some(chunk) = from.data().await {
        let Ok(chunk) = chunk else {
            return;
        };
        if to.write_all(&chunk).await.is_err() || from.flow_control().release_capacity(chunk.len()).is_err() {
            return;
        }
    }
    if to.shutdown().await.is_ok() {
        std::future::pending::<()>().await;
    }
}

/// Forwards bytes to the peer, no faster than it reads, until the upstream closes its side.
async fn forward_to_peer(mut from: OwnedReadHalf, to: &mut SendStream<Bytes>) -> io::Result<()> {
    let mut buffer = BytesMut::with_capacity(BUFFER_BYTES);
    loop {
        buffer.reserve(BUFFER_BYTES);
        if from.read_buf(&mut buffer).await? == 0 {
            return to.send_data(Bytes::new(), true).map_err(io::Error::other);
        }
        while !buffer.is_empty() {
            to.reserve_capacity(buffer.len());
            let capacity = poll_fn(|context| to.poll_capacity(context)).await;
            let capacity = capacity.ok_or(io::ErrorKind::BrokenPipe)?.map_err(io::Error::other)?;
            let chunk = buffer.split_to(capacity.min(buffer.len())).freeze();
            to.send_data(chunk, false).map_err(io::Error::other)?;
        }
    }
}
