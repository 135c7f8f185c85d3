//! Connections that go silent: their packets vanish, without a reset, while new connections to the same place work. Only a
//! time-out of one's own shows that, so each connection is given one when it is opened or taken.

use std::{io, time::Duration};

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// An idle connection is probed after this long, and as often from then on: the shortest that the kernel's whole seconds allow.
const PROBE: Duration = Duration::from_secs(1);

/// Sends at once what is written, and gives the connection up when what was sent isn't acknowledged within `limit`, by RFC
/// 5482's user time-out; a connection that rests is probed each second, so that it is given up about two seconds and `limit` after
/// it went silent, whether anything is sent or not.
///
/// A limit of a few hundred ms outlasts two lost packets in a row, since the kernel sends again after 200 and 600 ms.
///
/// # Errors
/// What the kernel says; the connection can't be used then.
pub fn watch_over(tcp: &TcpStream, limit: Duration) -> io::Result<()> {
    tcp.set_nodelay(true)?;
    let socket = SockRef::from(tcp);
    socket.set_tcp_user_timeout(Some(limit))?;
    socket.set_tcp_keepalive(&TcpKeepalive::new().with_time(PROBE).with_interval(PROBE))
}
