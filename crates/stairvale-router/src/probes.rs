//! Probes of upstreams and orders to engines.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{self, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::{Deserialize, Serialize};
use stairvale_control::{
    Input,
    io::Report,
    orders::{Loaded, Order},
};
use stairvale_types::id;
use stairvale_wire::packet::State;

use crate::{Shared, shared::Place};

/// A probe that isn't answered by then is missed.
const TIMEOUT: Duration = Duration::from_millis(500);
/// What a probe's head and answer's head come to, near enough for a traffic count.
const HEAD_BYTES: usize = 90;

/// An upstream's `GET /v1/status`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Status {
    /// Its life: rises when it starts anew.
    pub boot: u64,
    /// Counts its changes of state in this life.
    pub change: u64,
    /// `serving` or `draining`.
    pub state: String,
    /// Requests that it runs or queues, as of a moment ago.
    pub load: u32,
    /// The model that is loaded.
    #[serde(default)]
    pub model: Option<String>,
    /// Its version.
    #[serde(default)]
    pub version: Option<String>,
}

/// The body of `POST /v1/orders`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct OrderBody {
    /// The fencing token.
    pub token: u64,
    /// The model to load.
    pub model: String,
    /// Its version.
    pub version: String,
}

/// Asks upstreams how they are.
#[derive(Clone, Debug)]
pub struct Prober {
    shared: Arc<Shared>,
    http: legacy::Client<HttpConnector, Full<Bytes>>,
}

impl Prober {
    /// A prober without connections.
    #[must_use]
    pub fn new(shared: Arc<Shared>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(TIMEOUT));
        connector.set_nodelay(true);
        let http = legacy::Client::builder(TokioExecutor::new()).build(connector);
        Self { shared, http }
    }

    /// Probes an upstream and tells the control thread.
    pub async fn probe(self, upstream: id::Upstream, place: Place) {
        let report = tokio::time::timeout(TIMEOUT, self.ask(&place)).await.ok().flatten();
        self.shared.tell(Input::Probed { upstream, report });
    }

    /// Gives an engine an order and tells the control thread whether it was taken.
    pub async fn order(self, order: Order, place: Place) {
        let taken = tokio::time::timeout(TIMEOUT, self.give(&order, &place)).await.ok().flatten();
        self.shared.tell(Input::Ordered { upstream: order.upstream, taken: taken.unwrap_or(false) });
    }

    async fn ask(&self, place: &Place) -> Option<Report> {
        if self.shared.faults.zone(&place.zone) {
            return None;
        }
        let uri = format!("http://{}/v1/status", place.address);
        self.shared.metrics.sent("probe", HEAD_BYTES);
        let request = Request::get(uri).body(Full::default()).ok()?;
        let response = self.http.request(request).await.ok()?;
        if !response.status().is_success() {
            return None;
        }
        let body = response.into_body().collect().await.ok()?.to_bytes();
        self.shared.metrics.received(HEAD_BYTES + body.len());
        let status: Status = serde_json::from_slice(&body).ok()?;
        let state = if status.state == "serving" { State::Serving } else { State::Draining };
        let model = status.model.zip(status.version).map(|(model, version)| Loaded { model, version });
        Some(Report { boot: status.boot, change: status.change, state, load: status.load, model })
    }

    async fn give(&self, order: &Order, place: &Place) -> Option<bool> {
        if self.shared.faults.zone(&place.zone) {
            return None;
        }
        let Loaded { model, version } = order.load.clone();
        let body = serde_json::to_vec(&OrderBody { token: order.token, model, version }).ok()?;
        self.shared.metrics.sent("order", HEAD_BYTES + body.len());
        let uri = format!("http://{}/v1/orders", place.address);
        let request =
            Request::post(uri).header("content-type", "application/json").body(Full::new(body.into())).ok()?;
        let response = self.http.request(request).await.ok()?;
        Some(response.status().is_success())
    }
}
