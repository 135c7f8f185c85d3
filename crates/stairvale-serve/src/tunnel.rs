//! Connections to upstreams through a peer, for a router that can't reach them itself.
//!
//! The router asks a peer for a tunnel by HTTP `CONNECT` (RFC 9110 §9.3.6) on an `h2` connection to the peer's address.
//! The peer connects to the upstream itself, never through another peer, and copies bytes. All decisions stay with the
//! router that the client called: the permit, the retry budget, the check of the answer. A connection through a peer
//! therefore fails like any other one.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Empty;
use hyper::{client::conn::http2, upgrade::Upgraded};
use hyper_util::rt::{TokioExecutor, TokioIo};
use stairvale_clock::Clock;
use stairvale_link::set_liveness_timeouts;
use stairvale_types::{Moment, id};
use tokio::net::TcpStream;

use crate::core::Peer;

mod server;

pub use server::serve;

/// The header of a `CONNECT` request that names the upstream. Earlier builds don't know it, and reject a request without
/// the headers of a stream.
pub(crate) const UPSTREAM_HEADER: &str = "stairvale-upstream";
/// Limits a TCP connect to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(120);
/// Limits the opening of a tunnel: the peer's own connect to the upstream, and the round trip to the peer.
const OPEN_TIMEOUT: Duration = Duration::from_millis(250);
/// A peer on whose connection data stays unacknowledged for this long has failed.
const ACK_TIMEOUT: Duration = Duration::from_millis(800);
/// Number of peers of each group that are tried for one tunnel.
const MAX_TRIED_PEERS: usize = 2;
/// Time for which a peer that opened no tunnel is passed over.
const PEER_PAUSE: Duration = Duration::from_secs(1);
/// Bytes of all tunnels through one peer that may wait to be read here.
const CONNECTION_WINDOW_BYTES: u32 = 1 << 20;

type Sender = http2::SendRequest<Empty<Bytes>>;

/// Why no tunnel was opened.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Fault {
    /// None of the peers opens tunnels now.
    #[error("no peer opens a tunnel")]
    NoPeer,
    /// A peer that reaches other upstreams doesn't reach this one.
    #[error("the upstream can't be reached through a peer either")]
    Unreachable,
}

/// The connection to a peer on which tunnels are opened.
#[derive(Debug, Default)]
struct Link {
    sender: Option<Sender>,
    /// Until when the peer is passed over.
    paused_until: Moment,
}

/// The connections to peers on which tunnels are opened.
#[derive(Debug, Default)]
pub struct Tunnels {
    peers: Mutex<HashMap<id::Router, Link>>,
}

impl Tunnels {
    /// Opens a tunnel to an upstream through the first peer that reaches it, of some in each group. Returns the peer, too.
    ///
    /// # Errors
    /// A [`Fault`], which tells whether a peer tried to reach the upstream. Nothing was sent to the upstream.
    pub async fn open(
        &self,
        clock: &Clock,
        peers: [Vec<Peer>; 2],
        upstream: &id::Upstream,
        address: SocketAddr,
    ) -> Result<(Upgraded, id::Router), Fault> {
        let is_paused = |peer: &id::Router| self.lock().get(peer).is_some_and(|known| known.paused_until > clock.now());
        let of_group = |group: Vec<Peer>| group.into_iter().filter(|(peer, _)| !is_paused(peer)).take(MAX_TRIED_PEERS);
        for (peer, at) in peers.into_iter().flat_map(of_group) {
            let opening = self.request(&peer, at, upstream, address);
            match tokio::time::timeout(OPEN_TIMEOUT, opening).await.ok().flatten() {
                Some(Ok(stream)) => return Ok((stream, peer)),
                Some(Err(StatusCode::BAD_GATEWAY)) => return Err(Fault::Unreachable),
                // The upstream takes no requests from this peer.
                Some(Err(StatusCode::MISDIRECTED_REQUEST)) => {}
                Some(Err(_)) | None => {
                    // The connection may be broken without a reset.
                    let paused_until = clock.now() + PEER_PAUSE;
                    self.lock().insert(peer, Link { sender: None, paused_until });
                }
            }
        }
        Err(Fault::NoPeer)
    }

    /// Requests a tunnel from a peer; `None` if the peer can't be reached, and its status if it opens none.
    async fn request(
        &self,
        peer: &id::Router,
        at: SocketAddr,
        upstream: &id::Upstream,
        address: SocketAddr,
    ) -> Option<Result<Upgraded, StatusCode>> {
        let mut sender = self.sender(peer, at).await?;
        let request = Request::connect(address.to_string()).header(UPSTREAM_HEADER, upstream.as_str());
        let response = sender.send_request(request.body(Empty::new()).ok()?).await.ok()?;
        if response.status() != StatusCode::OK {
            return Some(Err(response.status()));
        }
        hyper::upgrade::on(response).await.ok().map(Ok)
    }

    /// The connection to a peer, which is opened if there is none.
    async fn sender(&self, peer: &id::Router, at: SocketAddr) -> Option<Sender> {
        let known = self.lock().get(peer).and_then(|peer| peer.sender.clone());
        if let Some(sender) = known.filter(|sender| !sender.is_closed()) {
            return Some(sender);
        }
        let tcp = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(at)).await.ok()?.ok()?;
        set_liveness_timeouts(&tcp, ACK_TIMEOUT).ok()?;
        let mut builder = http2::Builder::new(TokioExecutor::new());
        builder.initial_connection_window_size(CONNECTION_WINDOW_BYTES);
        let (sender, connection) = builder.handshake(TokioIo::new(tcp)).await.ok()?;
        tokio::spawn(async move {
            // A failure shows in the tunnels.
            let _ = connection.await;
        });
        self.lock().entry(peer.clone()).or_default().sender = Some(sender.clone());
        Some(sender)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<id::Router, Link>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
