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
