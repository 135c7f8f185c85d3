//! Delivery order of frames, and detection and reconnection of peers that are unreachable or unresponsive.

#![allow(clippy::unwrap_used)]

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use stairvale_link::{Links, Sink, listen};
use stairvale_types::id;
use tokio::net::TcpListener;

#[derive(Clone, Debug, Default)]
struct RecordingSink {
    frames: Arc<Mutex<Vec<(id::Router, String)>>>,
    broken: Arc<Mutex<Vec<id::Router>>>,
    opened: Arc<Mutex<Vec<(id::Router, u16)>>>,
}

impl Sink<String> for RecordingSink {
    fn frame(&self, from: &id::Router, frame: String) {
        self.frames.lock().unwrap().push((from.clone(), frame));
    }

    fn opened(&self, to: &id::Router, minor: u16) {
        self.opened.lock().unwrap().push((to.clone(), minor));
    }

    fn broken(&self, to: &id::Router) {
        self.broken.lock().unwrap().push(to.clone());
    }
}

fn block_on(test: impl Future<Output = ()>) {
    tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(test);
}

async fn wait_until(condition: impl Fn() -> bool) {
    for _ in 0..1_000 {
        if condition() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("condition not met within 10 s");
}

async fn bind() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

#[test]
fn frames_arrive_in_order() {
    block_on(async {
        let (received, (listener, address)) = (RecordingSink::default(), bind().await);
        tokio::spawn(listen::<String, RecordingSink>(listener, received.clone()));
        let links = Links::new("r1".parse().unwrap(), RecordingSink::default());
        let to = "r2".parse().unwrap();
        // Frames sent before the stream is open wait for it.
        for number in 0..500 {
            assert!(links.send(&to, address, &format!("frame {number}")));
        }
        wait_until(|| received.frames.lock().unwrap().len() == 500).await;
        let frames = received.frames.lock().unwrap();
        let expected = (0..500).map(|number| ("r1".parse().unwrap(), format!("frame {number}")));
        assert!(frames.iter().cloned().eq(expected));
    });
}

#[test]
fn the_minor_version_of_a_peer_is_known_once_a_stream_to_it_is_open() {
    block_on(async {
        let (received, (listener, address)) = (RecordingSink::default(), bind().await);
        tokio::spawn(listen::<String, RecordingSink>(listener, received));
        let sender = RecordingSink::default();
        let links = Links::new("r1".parse().unwrap(), sender.clone());
        let to: id::Router = "r2".parse().unwrap();
        assert_eq!(links.open(&to, address), None);
        let expected = (to.clone(), stairvale_wire::MINOR_VERSION);
        wait_until(|| sender.opened.lock().unwrap().contains(&expected)).await;
        assert_eq!(links.open(&to, address), Some(stairvale_wire::MINOR_VERSION));
    });
}

#[test]
fn an_unreachable_peer_is_reported_and_reconnected_to() {
    block_on(async {
        let (listener, address) = bind().await;
        drop(listener);
        let sender = RecordingSink::default();
        let links = Links::new("r1".parse().unwrap(), sender.clone());
        let to: id::Router = "r2".parse().unwrap();
        links.send(&to, address, &"lost".to_owned());
        wait_until(|| sender.broken.lock().unwrap().contains(&to)).await;
        assert!(!links.send(&to, address, &"too soon".to_owned()));
        let received = RecordingSink::default();
        tokio::spawn(listen::<String, RecordingSink>(TcpListener::bind(address).await.unwrap(), received.clone()));
        wait_until(|| links.send(&to, address, &"here".to_owned())).await;
        wait_until(|| !received.frames.lock().unwrap().is_empty()).await;
    });
}

#[test]
fn a_stream_whose_peer_reads_nothing_is_reopened() {
    block_on(async {
        let (listener, address) = bind().await;
        // The peer accepts each stream and never reads from it.
        tokio::spawn(async move {
            let (tcp, _) = listener.accept().await.unwrap();
            let mut connection = h2::server::handshake(tcp).await.unwrap();
            let mut unread = Vec::new();
            while let Some(Ok((request, mut respond))) = connection.accept().await {
                unread.push((respond.send_response(http::Response::new(()), false).unwrap(), request));
            }
        });
        let sender = RecordingSink::default();
        let links = Links::new("r1".parse().unwrap(), sender);
        let to = "r2".parse().unwrap();
        let large = "x".repeat(100_000);
        assert!(links.send(&to, address, &large));
        let mut sent = 1;
        // The stalled stream is reopened again and again, which bounds the data that waits for this peer.
        for _ in 0..40 {
            tokio::time::sleep(Duration::from_millis(100)).await;
            sent += usize::from(links.send(&to, address, &large));
        }
        assert!(sent > 5, "only {sent} of 41 frames were accepted");
    });
}

/// Starts a proxy to `target`. The first connections, as many as the returned counter says, are blackholed: their data
/// is dropped for good without closing them, while later connections work.
async fn blackhole_proxy(target: SocketAddr) -> (SocketAddr, Arc<std::sync::atomic::AtomicUsize>) {
    let (listener, address) = bind().await;
    let blackholed = Arc::new(std::sync::atomic::AtomicUsize::new(0));
    let count = blackholed.clone();
    tokio::spawn(async move {
        let mut number = 0;
        while let Ok((near, _)) = listener.accept().await {
            number += 1;
            let (number, count) = (number, count.clone());
            tokio::spawn(async move {
                let far = tokio::net::TcpStream::connect(target).await.unwrap();
                let ((near_in, near_out), (far_in, far_out)) = (near.into_split(), far.into_split());
                let forward = |mut from: tokio::net::tcp::OwnedReadHalf, mut to: tokio::net::tcp::OwnedWriteHalf| {
                    let count = count.clone();
                    async move {
                        use tokio::io::{AsyncReadExt, AsyncWriteExt};
                        let mut buffer = [0; 4096];
                        while let Ok(read @ 1..) = from.read(&mut buffer).await {
                            if number <= count.load(std::sync::atomic::Ordering::Relaxed) {
                                continue;
                            }
                            to.write_all(&buffer[..read]).await.unwrap();
                        }
                        // Keeps blackholed connections open.
                        std::future::pending::<()>().await;
                    }
                };
                tokio::join!(forward(near_in, far_out), forward(far_in, near_out));
            });
        }
    });
    (address, blackholed)
}

#[test]
fn a_stream_blackholed_without_a_reset_is_reopened() {
    block_on(async {
        let (received, (listener, address)) = (RecordingSink::default(), bind().await);
        tokio::spawn(listen::<String, RecordingSink>(listener, received.clone()));
        let (address, blackholed) = blackhole_proxy(address).await;
        let sender = RecordingSink::default();
        let links = Links::new("r1".parse().unwrap(), sender.clone());
        let to: id::Router = "r2".parse().unwrap();
        assert!(links.send(&to, address, &"before".to_owned()));
        wait_until(|| received.frames.lock().unwrap().len() == 1).await;
        blackholed.store(1, std::sync::atomic::Ordering::Relaxed);
        assert!(links.send(&to, address, &"lost".to_owned()));
        wait_until(|| sender.broken.lock().unwrap().contains(&to)).await;
        wait_until(|| links.send(&to, address, &"after".to_owned())).await;
        wait_until(|| received.frames.lock().unwrap().iter().any(|(_, frame)| frame == "after")).await;
        assert!(received.frames.lock().unwrap().iter().all(|(_, frame)| frame != "lost"));
    });
}
