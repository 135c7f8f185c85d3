//! The loop that drives the core's timers and receives datagrams.

use std::{sync::Arc, time::Duration};

use stairvale_wire::codec;
use tokio::net::UdpSocket;

use crate::{Shared, core::Core, exchange::millis};

/// Interval of the core's ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval of the core's ticks while requests wait for a permit.
const BUSY_TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Number of ticks between two sweeps of idle connections.
const SWEEP_TICKS: u32 = 20;

/// Runs the loop until the task is dropped.
pub async fn run(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; codec::MAX_PACKET * 2];
    let mut ticks = 0_u32;
    // Uses the runtime's own clock; a delayed tick passes the core the time at which it actually runs.
    let mut next = tokio::time::Instant::now();
    loop {
        tokio::select! {
            () = tokio::time::sleep_until(next) => {
                if let Some(span) = shared.clock.detect_suspension() {
                    shared.metrics.count("suspended");
                    let ms = millis(span);
                    tracing::warn!(ms, "the VM was suspended; what is known is as much older, and so is what is under way");
                }
                shared.with(Core::tick);
                ticks = ticks.wrapping_add(1);
                if ticks.is_multiple_of(SWEEP_TICKS) {
                    shared.upstreams.sweep(|upstream| shared.query(|core, _| core.usable_upstream(upstream).is_some()));
                }
                let busy = shared.query(|core, _| core.is_busy());
                next = tokio::time::Instant::now() + if busy { BUSY_TICK_INTERVAL } else { TICK_INTERVAL };
            }
            received = socket.recv_from(&mut buffer) => {
                let Ok((length, from)) = received else {
                    continue;
                };
                match codec::unpack(&buffer[..length]) {
                    Ok(packet) => shared.with(|core, now| core.datagram(now, from, packet)),
                    Err(_) => shared.metrics.count("datagram-nonsense"),
                }
            }
        }
    }
}
