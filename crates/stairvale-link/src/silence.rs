//! Time-outs for TCP connections whose packets are dropped without a reset, while new connections to the same address
//! work. Only a time-out on the connection itself detects this, so one is set when a connection is opened or accepted.

use std::{io, time::Duration};

use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpStream};

/// Time after which an idle connection is probed, and the interval of further probes: the shortest that the kernel
/// allows, which counts in whole seconds.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Disables Nagle's algorithm on a connection, and has the kernel close it when sent data isn't acknowledged within
/// `limit` (the TCP user time-out of RFC 5482). An idle connection is probed each second, so that one whose packets are
/// dropped is closed about two seconds and `limit` after that began, whether data is sent or not.
///
/// A limit of a few hundred milliseconds tolerates two lost packets in a row, since the kernel retransmits after 200 ms
/// and 600 ms.
///
/// # Errors
/// The error of the system call that failed; the connection must not be used then.
pub fn set_liveness_timeouts(tcp: &TcpStream, limit: Duration) -> io::Result<()> {
    tcp.set_nodelay(true)?;
    let socket = SockRef::from(tcp);
    socket.set_tcp_user_timeout(Some(limit))?;
    socket.set_tcp_keepalive(&TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL))
}

/// Bounds what the kernel receives for each connection that a listener accepts from now on, beyond what the process has
/// read, in bytes. The kernel reserves twice as much for its own overhead. A sender is then limited to this many bytes for
/// each round trip.
///
/// # Errors
/// The error of the system call; the kernel then chooses the bound, as it does without this call.
pub fn set_receive_buffer(listener: &TcpListener, bytes: usize) -> io::Result<()> {
    SockRef::from(listener).set_recv_buffer_size(bytes)
}
