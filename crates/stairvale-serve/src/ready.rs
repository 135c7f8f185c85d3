//! The endpoint for the balancer's readiness checks and for metrics.

use std::{convert::Infallible, sync::Arc};

use http::{Request, Response, StatusCode};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use crate::{Shared, body::Body, core::Core, metrics, rollouts};

/// The path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Number of customers per service that metrics list by name: enough to show which one causes a burst, and few enough
/// for the system that stores the metrics.
const MAX_CUSTOMERS: usize = 8;

/// Serves readiness checks and metrics until the task is dropped.
pub async fn listen(shared: Arc<Shared>, listener: TcpListener, path: &'static str) {
    loop {
        let Ok((tcp, _)) = listener.accept().await else {
            tokio::task::yield_now().await;
            continue;
        };
        let shared = shared.clone();
        tokio::spawn(async move {
            let service = service_fn(|request| {
                let answer = answer(&shared, path, &request);
                async move { Ok::<_, Infallible>(answer) }
            });
            // It doesn't matter here if the balancer closes its connection.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(tcp), service).await;
        });
    }
}

fn answer(shared: &Shared, path: &str, request: &Request<Incoming>) -> Response<Body> {
    if request.uri().path() == METRICS_PATH {
        // The other metrics end with the line that terminates the document, so these come first.
        let more =
            shared.query(|core, _| metrics::customers(core.customers(MAX_CUSTOMERS)) + &rollouts::metrics(core.view()));
        return Response::new(Body::complete(more + &shared.metrics.text()));
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
