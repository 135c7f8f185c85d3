//! Frames arrive in order, and whoever can't be reached is told of.

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
struct Seen {
    frames: Arc<Mutex<Vec<(id::Router, String)>>>,
    broken: Arc<Mutex<Vec<id::Router>>>,
}

impl Sink<String> for Seen {
    fn frame(&self, from: &id::Router, frame: String) {
        self.frames.lock().unwrap().push((from.clone(), frame));
    }

    fn broken(&self, to: &id::Router) {
        self.broken.lock().unwrap().push(to.clone());
    }
}

fn run(test: impl Future<Output = ()>) {
    tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(test);
}

async fn until(holds: impl Fn() -> bool) {
    for _ in 0..1_000 {
        if holds() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("it never came to that");
}

async fn open() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

#[test]
fn frames_arrive_in_order() {
    run(async {
        let (seen, (listener, address)) = (Seen::default(), open().await);
        tokio::spawn(listen::<String, Seen>(listener, seen.clone()));
        let links = Links::new("r1".parse().unwrap(), Seen::default());
        let to = "r2".parse().unwrap();
        // Those that are sent before the stream is open wait for it.
        for number in 0..500 {
            assert!(links.send(&to, address, &format!("frame {number}")));
        }
        until(|| seen.frames.lock().unwrap().len() == 500).await;
        let frames = seen.frames.lock().unwrap();
        let expected = (0..500).map(|number| ("r1".parse().unwrap(), format!("frame {number}")));
        assert!(frames.iter().cloned().eq(expected));
    });
}

#[test]
fn a_peer_that_is_not_there_is_told_of_and_found_again() {
    run(async {
        let (listener, address) = open().await;
        drop(listener);
        let sender = Seen::default();
        let links = Links::new("r1".parse().unwrap(), sender.clone());
        let to: id::Router = "r2".parse().unwrap();
        links.send(&to, address, &"lost".to_owned());
        until(|| sender.broken.lock().unwrap().contains(&to)).await;
        assert!(!links.send(&to, address, &"too soon".to_owned()));
        let seen = Seen::default();
        tokio::spawn(listen::<String, Seen>(TcpListener::bind(address).await.unwrap(), seen.clone()));
        until(|| links.send(&to, address, &"here".to_owned())).await;
        until(|| !seen.frames.lock().unwrap().is_empty()).await;
    });
}

#[test]
fn a_peer_that_takes_nothing_is_given_up() {
    run(async {
        let (listener, address) = open().await;
        // It opens the stream and never reads from it.
        tokio::spawn(async move {
            let (tcp, _) = listener.accept().await.unwrap();
            let mut connection = h2::server::handshake(tcp).await.unwrap();
            let mut kept = Vec::new();
            while let Some(Ok((request, mut respond))) = connection.accept().await {
                kept.push((respond.send_response(http::Response::new(()), false).unwrap(), request));
            }
        });
        let sender = Seen::default();
        let links = Links::new("r1".parse().unwrap(), sender);
        let to = "r2".parse().unwrap();
        let large = "x".repeat(100_000);
        assert!(links.send(&to, address, &large));
        let mut sent = 1;
        // Streams are opened anew, so what can wait for this peer stays bounded.
        for _ in 0..40 {
            tokio::time::sleep(Duration::from_millis(100)).await;
            sent += usize::from(links.send(&to, address, &large));
        }
        assert!(sent > 5, "it is tried again and again");
    });
}

/// A way to `target` whose open connections can be silenced for good, while new ones work.
async fn silenceable(target: SocketAddr) -> (SocketAddr, Arc<std::sync::atomic::AtomicUsize>) {
    let (listener, address) = open().await;
    let silenced = Arc::new(std::sync::atomic::AtomicUsize::new(0));
    let count = silenced.clone();
    tokio::spawn(async move {
        let mut number = 0;
        while let Ok((near, _)) = listener.accept().await {
            number += 1;
            let (number, count) = (number, count.clone());
            tokio::spawn(async move {
                let far = tokio::net::TcpStream::connect(target).await.unwrap();
                let ((near_in, near_out), (far_in, far_out)) = (near.into_split(), far.into_split());
                let carry = |mut from: tokio::net::tcp::OwnedReadHalf, mut to: tokio::net::tcp::OwnedWriteHalf| {
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
                        // Silenced connections aren't closed either.
                        std::future::pending::<()>().await;
                    }
                };
                tokio::join!(carry(near_in, far_out), carry(far_in, near_out));
            });
        }
    });
    (address, silenced)
}

#[test]
fn a_stream_that_goes_silent_without_a_reset_is_opened_anew() {
    run(async {
        let (seen, (listener, address)) = (Seen::default(), open().await);
        tokio::spawn(listen::<String, Seen>(listener, seen.clone()));
        let (address, silenced) = silenceable(address).await;
        let sender = Seen::default();
        let links = Links::new("r1".parse().unwrap(), sender.clone());
        let to: id::Router = "r2".parse().unwrap();
        assert!(links.send(&to, address, &"before".to_owned()));
        until(|| seen.frames.lock().unwrap().len() == 1).await;
        silenced.store(1, std::sync::atomic::Ordering::Relaxed);
        assert!(links.send(&to, address, &"lost".to_owned()));
        until(|| sender.broken.lock().unwrap().contains(&to)).await;
        until(|| links.send(&to, address, &"after".to_owned())).await;
        until(|| seen.frames.lock().unwrap().iter().any(|(_, frame)| frame == "after")).await;
        assert!(seen.frames.lock().unwrap().iter().all(|(_, frame)| frame != "lost"));
    });
}
