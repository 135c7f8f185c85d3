//! The balancer's question whether a router is ready, and its metrics.

use std::{convert::Infallible, sync::Arc};

use http::{Request, Response, StatusCode};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use crate::{Shared, body::Body, core::Core, metrics, rollouts};

/// Where metrics are told.
const METRICS: &str = "/metrics";

/// Customers of a service that are named in metrics: enough to see who surges, few enough for whoever stores them.
const NAMED: usize = 8;

/// Answers the balancer and whoever reads metrics, until the task is dropped.
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
            // A balancer that goes away is not our concern.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(tcp), service).await;
        });
    }
}

fn answer(shared: &Shared, path: &str, request: &Request<Incoming>) -> Response<Body> {
    if request.uri().path() == METRICS {
        // The last line of the other metrics ends the document, so these stand before.
        let more = shared.look(|core, _| metrics::customers(core.customers(NAMED)) + &rollouts::metrics(core.view()));
        return Response::new(Body::whole(more + &shared.metrics.text()));
    }
    let ready = !shared.is_stopping() && shared.look(Core::is_ready);
    let status = match (request.uri().path() == path, ready) {
        (false, _) => StatusCode::NOT_FOUND,
        (true, true) => StatusCode::OK,
        (true, false) => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut answer = Response::new(Body::whole(""));
    *answer.status_mut() = status;
    answer
}
