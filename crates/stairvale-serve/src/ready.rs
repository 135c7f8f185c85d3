//! The endpoint for the balancer's readiness checks and for metrics.

use std::{convert::Infallible, sync::Arc, time::Duration};

use http::{Request, Response, StatusCode};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use stairvale_memory::{Budget, Connections, connections::Connection};
use tokio::net::{TcpListener, TcpStream};

use crate::{Shared, body::Body, core::Core, metrics, rollouts};

/// The path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// The most connections. The balancer needs one, and each system that reads the metrics another one.
const MAX_CONNECTIONS: usize = 32;
/// Bytes that a connection takes.
const CONNECTION_BYTES: usize = 32 << 10;
/// The largest head, in bytes: the smallest limit that hyper accepts.
const MAX_HEAD_BYTES: usize = 8 << 10;
/// Delay before the next `accept` after one that failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Number of customers per service that metrics list by name: enough to show which one causes a burst, and few enough
/// for the system that stores the metrics.
const MAX_CUSTOMERS: usize = 8;

/// Serves readiness checks and metrics until the task is dropped.
pub async fn listen(shared: Arc<Shared>, listener: TcpListener, path: &'static str) {
    // Room of its own, which callers can't take.
    let budget = Budget::new(2 * MAX_CONNECTIONS * CONNECTION_BYTES);
    let connections = Connections::new(shared.clock.clone(), budget, CONNECTION_BYTES, MAX_CONNECTIONS);
    loop {
        let Ok((tcp, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        match connections.open_or_replace().await {
            Some(open) => {
                tokio::spawn(serve(shared.clone(), tcp, path, open));
            }
            None => shared.metrics.count("ready-connection-refused"),
        }
    }
}

async fn serve(shared: Arc<Shared>, tcp: TcpStream, path: &'static str, open: Connection) {
    let service = service_fn(|request| {
        let _in_use = open.begin_use();
        let answer = answer(&shared, path, &request);
        async move { Ok::<_, Infallible>(answer) }
    });
    let mut builder = http1::Builder::new();
    builder.max_buf_size(MAX_HEAD_BYTES);
    tokio::select! {
        // It doesn't matter here if the balancer closes its connection.
        _ = builder.serve_connection(TokioIo::new(tcp), service) => {}
        () = open.asked_to_close() => {}
    }
}

fn answer(shared: &Shared, path: &str, request: &Request<Incoming>) -> Response<Body> {
    if request.uri().path() == METRICS_PATH {
        // The other metrics end with the line that terminates the document, so these come first.
        let more =
            shared.query(|core, _| metrics::customers(core.customers(MAX_CUSTOMERS)) + &rollouts::metrics(core.view()));
        return Response::new(Body::complete(more + &shared.memory.metrics() + &shared.metrics.text()));
    }
    let ready = !shared.is_stopping() && shared.query(Core::is_ready);
    let status = match (request.uri().path() == path, ready) {
        (false, _) => StatusCode::NOT_FOUND,
        (true, true) => StatusCode::OK,
        (true, false) => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut answer = Response::new(Body::complete(""));
    *answer.status_mut() = status;
    answer
}
