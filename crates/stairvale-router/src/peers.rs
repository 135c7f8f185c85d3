//! Frames and datagrams between routers.
//!
//! Each router opens one `h2` stream to every peer it has something to say to, and frames go one way on it. Datagrams
//! carry probes, because a probe that waits behind other data says nothing (the one exception to `h2`; see
//! docs/DESIGN.md). Both carry proof of the fleet's key.

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
use stairvale_types::id;
use stairvale_wire::{Frame, Packet, VERSION, codec};
use tokio::{
    net::{TcpListener, TcpStream, UdpSocket},
    sync::mpsc,
};

use crate::Shared;

/// Frames that wait for a peer; more are dropped, and what they said is repaired by renewal.
const QUEUED: usize = 8_192;
/// A peer that doesn't take a connection by then is unreachable.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// A peer that doesn't take a batch by then is unreachable.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);
/// After a failure a peer is left alone for this long.
const PAUSE: Duration = Duration::from_millis(200);
/// Bytes of an `h2` DATA frame's head (RFC 9113, section 4.1).
const DATA_HEAD: usize = 9;
/// Bytes of a datagram's authentication code.
const CODE: usize = 16;
/// The header with proof of the fleet's key.
const PROOF: &str = "stairvale-proof";

#[derive(Debug)]
struct Link {
    queue: mpsc::Sender<Frame>,
    address: SocketAddr,
}

/// The streams to peers.
#[derive(Debug)]
pub struct Links {
    shared: Arc<Shared>,
    links: HashMap<id::Router, Link>,
    paused: HashMap<id::Router, Instant>,
}

impl Links {
    /// No streams yet.
    #[must_use]
    pub fn new(shared: Arc<Shared>) -> Self {
        Self { shared, links: HashMap::new(), paused: HashMap::new() }
    }

    /// Sends a frame; what can't be sent is dropped.
    pub fn send(&mut self, to: &id::Router, address: SocketAddr, frame: Frame) {
        let open = self.links.get(to).is_some_and(|link| link.address == address && !link.queue.is_closed());
        if !open && !self.open(to, address) {
            // The caller learns at once that nobody is there.
            self.shared.tell(Input::PeerUnreachable(to.clone()));
            return;
        }
        let Some(link) = self.links.get(to) else {
            return;
        };
        if link.queue.try_send(frame).is_err() {
            self.shared.metrics.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Opens a stream, unless the last one broke a moment ago.
    fn open(&mut self, to: &id::Router, address: SocketAddr) -> bool {
        if self.links.remove(to).is_some() {
            // It may as well begin anew after a suspension.
            self.paused.insert(to.clone(), Instant::now());
        }
        self.paused.retain(|_, since| since.elapsed() < PAUSE);
        if self.paused.contains_key(to) {
            return false;
        }
        let (queue, frames) = mpsc::channel(QUEUED);
        self.links.insert(to.clone(), Link { queue, address });
        tokio::spawn(run_link(self.shared.clone(), to.clone(), address, frames));
        true
    }
}

async fn run_link(shared: Arc<Shared>, to: id::Router, address: SocketAddr, mut frames: mpsc::Receiver<Frame>) {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, connect(&shared, address));
    let stream = connecting.await.ok().flatten();
    if let Some(mut stream) = stream {
        pump(&shared, &to, &mut stream, &mut frames).await;
    }
    frames.close();
    shared.tell(Input::PeerUnreachable(to));
}

async fn connect(shared: &Shared, address: SocketAddr) -> Option<SendStream<Bytes>> {
    let tcp = TcpStream::connect(address).await.ok()?;
    tcp.set_nodelay(true).ok()?;
    let (client, connection) = h2::client::handshake(tcp).await.ok()?;
    tokio::spawn(connection);
    let mut client = client.ready().await.ok()?;
    let proof = proof(shared, b"stream");
    let request = Request::post(format!("http://{address}/peer")).header(PROOF, proof).body(()).ok()?;
    let (response, stream) = client.send_request(request, false).ok()?;
    let response = response.await.ok()?;
    if response.status() != StatusCode::OK {
        tracing::warn!(%address, status = %response.status(), "a peer refused this router");
        return None;
    }
    Some(stream)
}

/// Writes frames until the stream breaks or nobody sends any more.
async fn pump(shared: &Shared, to: &id::Router, stream: &mut SendStream<Bytes>, frames: &mut mpsc::Receiver<Frame>) {
    let hello = Frame::Hello { version: VERSION, from: shared.settings.router.clone() };
    if write(shared, stream, vec![hello]).await.is_none() {
        return;
    }
    /// Frames that go out together at the most.
    const BATCH: usize = 256;
    loop {
        let mut batch = Vec::new();
        tokio::select! {
            count = frames.recv_many(&mut batch, BATCH) => {
                if count == 0 {
                    return;
                }
            }
            _ = poll_fn(|context| stream.poll_reset(context)) => return,
        }
        if write(shared, stream, batch).await.is_none() {
            tracing::debug!(peer = %to, "a stream to a peer broke");
            return;
        }
    }
}

async fn write(shared: &Shared, stream: &mut SendStream<Bytes>, batch: Vec<Frame>) -> Option<()> {
    let mut bytes = BytesMut::new();
    for frame in &batch {
        match codec::encode(frame) {
            Ok(encoded) => {
                shared.metrics.sent(frame.kind(), encoded.len());
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
        shared.metrics.sent("h2", DATA_HEAD);
        stream.send_data(piece, false).ok()?;
    }
    Some(())
}

// ----------------------------------------------------------------------------

/// Takes streams from peers until the task is dropped.
pub async fn listen(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        let Ok((tcp, _)) = listener.accept().await else {
            tokio::time::sleep(PAUSE).await;
            continue;
        };
        let _ = tcp.set_nodelay(true);
        tokio::spawn(serve(shared.clone(), tcp));
    }
}

async fn serve(shared: Arc<Shared>, tcp: TcpStream) {
    let Ok(mut connection) = h2::server::handshake(tcp).await else {
        return;
    };
    while let Some(Ok((request, mut respond))) = connection.accept().await {
        let given = request.headers().get(PROOF).and_then(|value| value.to_str().ok());
        let proven = given.is_some_and(|given| is_proof(&shared, b"stream", given));
        let status = if proven { StatusCode::OK } else { StatusCode::FORBIDDEN };
        let mut response = Response::new(());
        *response.status_mut() = status;
        if respond.send_response(response, !proven).is_err() || !proven {
            continue;
        }
        let shared = shared.clone();
        tokio::spawn(async move {
            // The answer's body stays open as long as the frames come.
            let _open = respond;
            read(&shared, request.into_body()).await;
        });
    }
}

async fn read(shared: &Shared, mut stream: RecvStream) -> Option<()> {
    let mut buffer = codec::Buffer::default();
    let mut from: Option<id::Router> = None;
    while let Some(piece) = stream.data().await {
        let piece = piece.ok()?;
        stream.flow_control().release_capacity(piece.len()).ok()?;
        shared.metrics.received(piece.len() + DATA_HEAD);
        buffer.extend(&piece);
        loop {
            let frame = match buffer.take::<Frame>() {
                Ok(Some(frame)) => frame,
                Ok(None) => break,
                Err(error) => {
                    tracing::warn!(%error, "a peer's stream made no sense");
                    return None;
                }
            };
            match (&from, frame) {
                (None, Frame::Hello { version, from: name }) if version == VERSION => from = Some(name),
                (None, _) => return None,
                (Some(from), frame) => shared.tell(Input::Frame { from: from.clone(), frame }),
            }
        }
    }
    Some(())
}

// ----------------------------------------------------------------------------

fn code(shared: &Shared, bytes: &[u8]) -> [u8; CODE] {
    let hash = blake3::keyed_hash(&shared.settings.fleet_key.derive(), bytes);
    let mut code = [0; CODE];
    code.copy_from_slice(&hash.as_bytes()[..CODE]);
    code
}

fn proof(shared: &Shared, context: &[u8]) -> String {
    blake3::keyed_hash(&shared.settings.fleet_key.derive(), context).to_hex().to_string()
}

/// BLAKE3's own comparison takes the same time wherever the difference is.
fn is_proof(shared: &Shared, context: &[u8], given: &str) -> bool {
    let expected = blake3::keyed_hash(&shared.settings.fleet_key.derive(), context);
    blake3::Hash::from_hex(given).is_ok_and(|given| given == expected)
}

/// Sends a datagram; the network may lose it anyway.
pub fn send_packet(shared: &Shared, socket: &UdpSocket, to: SocketAddr, packet: &Packet) {
    let Ok(bytes) = codec::pack(packet) else {
        return;
    };
    let mut datagram = code(shared, &bytes).to_vec();
    datagram.extend_from_slice(&bytes);
    if socket.try_send_to(&datagram, to).is_ok() {
        shared.metrics.sent("datagram", datagram.len());
    }
}

/// Takes datagrams until the task is dropped.
pub async fn receive_packets(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; u16::MAX as usize];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        shared.metrics.received(length);
        match open_packet(&shared, &buffer[..length]) {
            Some(packet) => shared.tell(Input::Datagram { from, packet }),
            None => {
                shared.metrics.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}

fn open_packet(shared: &Shared, datagram: &[u8]) -> Option<Packet> {
    let (given, bytes) = datagram.split_at_checked(CODE)?;
    if code(shared, bytes) != given {
        return None;
    }
    codec::unpack(bytes).ok()
}
