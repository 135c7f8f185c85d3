//! Frames and datagrams between routers.
//!
//! Each router opens one `h2` stream to every peer that it sends frames to; a stream carries frames in one direction
//! only. Probes are sent as datagrams, because a probe that is queued behind other data doesn't show whether the peer
//! is reachable (the one exception to `h2`; see docs/DESIGN.md). Both are authenticated by the fleet's key.

use std::{
    collections::HashMap,
    future::poll_fn,
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use h2::{RecvStream, SendStream};
use http::{Request, Response, StatusCode};
use stairvale_control::Input;
use stairvale_memory::{Connections, connections::Connection};
use stairvale_types::id;
use stairvale_wire::{Frame, Packet, VERSION, codec};
use tokio::{
    net::{TcpListener, TcpStream, UdpSocket},
    sync::mpsc,
};

use crate::Shared;

/// Limits how many frames are queued for a peer. Further frames are dropped, and periodic renewal repairs the loss.
const QUEUE_CAPACITY: usize = 8_192;
/// Limits the time to connect to a peer; after it the peer counts as unreachable.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Limits the wait for flow-control capacity to send to a peer; after it the peer counts as unreachable.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);
/// The delay before a broken stream to a peer is opened again, and before `accept` is retried after an error.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);
/// The size of an `h2` frame header (RFC 9113, section 4.1).
const FRAME_HEADER_BYTES: usize = 9;
/// The size of a datagram's message authentication code (MAC).
const MAC_BYTES: usize = 16;
/// The request header that proves possession of the fleet's key.
const PROOF_HEADER: &str = "stairvale-proof";

#[derive(Debug)]
struct Link {
    queue: mpsc::Sender<Frame>,
    address: SocketAddr,
}

/// The outgoing streams to peers.
#[derive(Debug)]
pub struct Links {
    shared: Arc<Shared>,
    links: HashMap<id::Router, Link>,
    broken_at: HashMap<id::Router, Instant>,
}

impl Links {
    /// A set without streams; a stream is opened when the first frame is sent to a peer.
    #[must_use]
    pub fn new(shared: Arc<Shared>) -> Self {
        Self { shared, links: HashMap::new(), broken_at: HashMap::new() }
    }

    /// Queues a frame for a peer. A frame that can't be sent is dropped.
    pub fn send(&mut self, to: &id::Router, address: SocketAddr, frame: Frame) {
        let open = self.links.get(to).is_some_and(|link| link.address == address && !link.queue.is_closed());
        if !open && !self.open(to, address) {
            // The control node is notified at once, so that it doesn't wait for an answer from this peer.
            self.shared.notify_control(Input::PeerUnreachable(to.clone()));
            return;
        }
        let Some(link) = self.links.get(to) else {
            return;
        };
        if link.queue.try_send(frame).is_err() {
            self.shared.metrics.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Opens a stream, unless the last one broke less than [`RECONNECT_DELAY`] ago.
    fn open(&mut self, to: &id::Router, address: SocketAddr) -> bool {
        if self.links.remove(to).is_some() {
            // `Instant` need not advance while the VM is suspended: the delay may then start again, which does no harm.
            self.broken_at.insert(to.clone(), Instant::now());
        }
        self.broken_at.retain(|_, since| since.elapsed() < RECONNECT_DELAY);
        if self.broken_at.contains_key(to) {
            return false;
        }
        let (queue, frames) = mpsc::channel(QUEUE_CAPACITY);
        self.links.insert(to.clone(), Link { queue, address });
        tokio::spawn(run_link(self.shared.clone(), to.clone(), address, frames));
        true
    }
}

async fn run_link(shared: Arc<Shared>, to: id::Router, address: SocketAddr, mut frames: mpsc::Receiver<Frame>) {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, connect(&shared, address));
    let stream = connecting.await.ok().flatten();
    if let Some(mut stream) = stream {
        write_frames(&shared, &to, &mut stream, &mut frames).await;
    }
    frames.close();
    shared.notify_control(Input::PeerUnreachable(to));
}

async fn connect(shared: &Shared, address: SocketAddr) -> Option<SendStream<Bytes>> {
    let tcp = TcpStream::connect(address).await.ok()?;
    tcp.set_nodelay(true).ok()?;
    let (client, connection) = h2::client::handshake(tcp).await.ok()?;
    tokio::spawn(connection);
    let mut client = client.ready().await.ok()?;
    let proof = proof(shared, b"stream");
    let request = Request::post(format!("http://{address}/peer")).header(PROOF_HEADER, proof).body(()).ok()?;
    let (response, stream) = client.send_request(request, false).ok()?;
    let response = response.await.ok()?;
    if response.status() != StatusCode::OK {
        tracing::warn!(%address, status = %response.status(), "a peer refused the stream from this router");
        return None;
    }
    Some(stream)
}

/// Writes queued frames to the stream until it breaks or the queue is closed.
async fn write_frames(
    shared: &Shared,
    to: &id::Router,
    stream: &mut SendStream<Bytes>,
    frames: &mut mpsc::Receiver<Frame>,
) {
    let hello = Frame::Hello { version: VERSION, from: shared.settings.router.clone() };
    if write_batch(shared, stream, vec![hello]).await.is_none() {
        return;
    }
    /// Limits how many frames are written together.
    const MAX_BATCH_FRAMES: usize = 256;
    loop {
        let mut batch = Vec::new();
        tokio::select! {
            count = frames.recv_many(&mut batch, MAX_BATCH_FRAMES) => {
                if count == 0 {
                    return;
                }
            }
            _ = poll_fn(|context| stream.poll_reset(context)) => return,
        }
        if write_batch(shared, stream, batch).await.is_none() {
            tracing::debug!(peer = %to, "a stream to a peer broke");
            return;
        }
    }
}

async fn write_batch(shared: &Shared, stream: &mut SendStream<Bytes>, batch: Vec<Frame>) -> Option<()> {
    let mut bytes = BytesMut::new();
    for frame in &batch {
        match codec::encode(frame) {
            Ok(encoded) => {
                shared.metrics.count_sent(frame.kind(), encoded.len());
                bytes.extend_from_slice(&encoded);
            }
            Err(_) => {
                shared.metrics.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
    let mut bytes = bytes.freeze();
    while !bytes.is_empty() {
        stream.reserve_capacity(bytes.len());
        let capacity = tokio::time::timeout(SEND_TIMEOUT, poll_fn(|context| stream.poll_capacity(context)));
        let capacity = capacity.await.ok()??.ok()?;
        let piece = bytes.split_to(capacity.min(bytes.len()));
        shared.metrics.count_sent("h2", FRAME_HEADER_BYTES);
        stream.send_data(piece, false).ok()?;
    }
    Some(())
}

// ----------------------------------------------------------------------------

/// Accepts streams from peers until the task is dropped.
pub async fn listen(shared: Arc<Shared>, listener: TcpListener) {
    let pending = Connections::pending(shared.clock.clone());
    loop {
        let Ok((tcp, _)) = listener.accept().await else {
            tokio::time::sleep(RECONNECT_DELAY).await;
            continue;
        };
        let _ = tcp.set_nodelay(true);
        if let Some(open) = pending.open_or_replace().await {
            tokio::spawn(serve(shared.clone(), tcp, open));
        }
    }
}

/// Serves a connection. `pending` is its place among those without a stream.
async fn serve(shared: Arc<Shared>, tcp: TcpStream, pending: Connection) {
    let handshake = tokio::select! {
        handshake = h2::server::handshake(tcp) => handshake,
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
        let Some(Ok((request, mut respond))) = accepted else {
            return;
        };
        let received = request.headers().get(PROOF_HEADER).and_then(|value| value.to_str().ok());
        let authenticated = received.is_some_and(|received| is_proof(&shared, b"stream", received));
        let status = if authenticated { StatusCode::OK } else { StatusCode::FORBIDDEN };
        let mut response = Response::new(());
        *response.status_mut() = status;
        if respond.send_response(response, !authenticated).is_err() || !authenticated {
            continue;
        }
        pending = None;
        let shared = shared.clone();
        tokio::spawn(async move {
            // Keeps the response's body open as long as frames are received.
            let _open = respond;
            read_frames(&shared, request.into_body()).await;
        });
    }
}

async fn read_frames(shared: &Shared, mut stream: RecvStream) -> Option<()> {
    let mut buffer = codec::Buffer::default();
    let mut from: Option<id::Router> = None;
    while let Some(piece) = stream.data().await {
        let piece = piece.ok()?;
        stream.flow_control().release_capacity(piece.len()).ok()?;
        shared.metrics.count_received(piece.len() + FRAME_HEADER_BYTES);
        buffer.extend(&piece);
        loop {
            let frame = match buffer.take::<Frame>() {
                Ok(Some(frame)) => frame,
                Ok(None) => break,
                Err(error) => {
                    tracing::warn!(%error, "a peer's stream contained an invalid frame");
                    return None;
                }
            };
            match (&from, frame) {
                (None, Frame::Hello { version, from: name }) if version == VERSION => from = Some(name),
                (None, _) => return None,
                (Some(from), frame) => shared.notify_control(Input::Frame { from: from.clone(), frame }),
            }
        }
    }
    Some(())
}

// ----------------------------------------------------------------------------

fn mac(shared: &Shared, bytes: &[u8]) -> [u8; MAC_BYTES] {
    let hash = blake3::keyed_hash(&shared.settings.fleet_key.derive(), bytes);
    let mut mac = [0; MAC_BYTES];
    mac.copy_from_slice(&hash.as_bytes()[..MAC_BYTES]);
    mac
}

fn proof(shared: &Shared, context: &[u8]) -> String {
    blake3::keyed_hash(&shared.settings.fleet_key.derive(), context).to_hex().to_string()
}

/// Checks a proof of the fleet's key. The comparison of BLAKE3 hashes takes constant time, so it doesn't reveal where a
/// wrong proof differs.
fn is_proof(shared: &Shared, context: &[u8], received: &str) -> bool {
    let expected = blake3::keyed_hash(&shared.settings.fleet_key.derive(), context);
    blake3::Hash::from_hex(received).is_ok_and(|received| received == expected)
}

/// Sends an authenticated datagram. Errors are ignored, since the network may lose datagrams anyway.
pub fn send_packet(shared: &Shared, socket: &UdpSocket, to: SocketAddr, packet: &Packet) {
    let Ok(bytes) = codec::pack(packet) else {
        return;
    };
    let mut datagram = mac(shared, &bytes).to_vec();
    datagram.extend_from_slice(&bytes);
    if socket.try_send_to(&datagram, to).is_ok() {
        shared.metrics.count_sent("datagram", datagram.len());
    }
}

/// Receives datagrams until the task is dropped; one with a wrong authentication code or invalid content is dropped.
pub async fn receive_packets(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; u16::MAX as usize];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        shared.metrics.count_received(length);
        match open_packet(&shared, &buffer[..length]) {
            Some(packet) => shared.notify_control(Input::Datagram { from, packet }),
            None => {
                shared.metrics.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}

fn open_packet(shared: &Shared, datagram: &[u8]) -> Option<Packet> {
    let (received, bytes) = datagram.split_at_checked(MAC_BYTES)?;
    if mac(shared, bytes) != received {
        return None;
    }
    codec::unpack(bytes).ok()
}
