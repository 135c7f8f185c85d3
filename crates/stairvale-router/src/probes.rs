//! Probes the status of upstreams and sends orders to load a model to engines.

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
    io::ProbeAnswer,
    orders::{Loaded, Order},
};
use stairvale_types::id;
use stairvale_wire::packet::UpstreamState;

use crate::{Shared, shared::Endpoint};

/// Limits the time for the answer to a probe or an order; after it the probe counts as missed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// The approximate size of a request's or a response's head in bytes, as counted in the traffic metrics.
const HEAD_BYTES: usize = 90;

/// The body of an upstream's answer to `GET /v1/status`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Status {
    /// The upstream's incarnation, which increases with each restart.
    pub boot: u64,
    /// The number of its state changes in this incarnation.
    pub change: u64,
    /// The state: `serving` or `draining`.
    pub state: String,
    /// The number of requests that it recently ran or queued.
    pub load: u32,
    /// The model that is loaded, if any.
    #[serde(default)]
    pub model: Option<String>,
    /// The version of the loaded model.
    #[serde(default)]
    pub version: Option<String>,
}

/// The body of `POST /v1/orders`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct OrderBody {
    /// The fencing token of the lease under which the order is sent.
    pub token: u64,
    /// The model to load.
    pub model: String,
    /// The version of the model to load.
    pub version: String,
}

/// Sends probes and orders to upstreams.
#[derive(Clone, Debug)]
pub struct Prober {
    shared: Arc<Shared>,
    http: legacy::Client<HttpConnector, Full<Bytes>>,
}

impl Prober {
    /// A prober without open connections.
    #[must_use]
    pub fn new(shared: Arc<Shared>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(PROBE_TIMEOUT));
        connector.set_nodelay(true);
        let http = legacy::Client::builder(TokioExecutor::new()).build(connector);
        Self { shared, http }
    }

    /// Probes an upstream and reports the result to the control thread.
    pub async fn probe(self, upstream: id::Upstream, endpoint: Endpoint) {
        let report = tokio::time::timeout(PROBE_TIMEOUT, self.request_status(&endpoint)).await.ok().flatten();
        self.shared.notify_control(Input::Probed { upstream, report });
    }

    /// Sends an order to an engine and reports to the control thread whether the engine accepted it.
    pub async fn order(self, order: Order, endpoint: Endpoint) {
        let accepted = tokio::time::timeout(PROBE_TIMEOUT, self.send_order(&order, &endpoint)).await.ok().flatten();
        self.shared.notify_control(Input::OrderAnswered { upstream: order.upstream, taken: accepted.unwrap_or(false) });
    }

    async fn request_status(&self, endpoint: &Endpoint) -> Option<ProbeAnswer> {
        if self.shared.faults.is_zone_cut(&endpoint.zone) {
            return None;
        }
        let uri = format!("http://{}/v1/status", endpoint.address);
        self.shared.metrics.count_sent("probe", HEAD_BYTES);
        let request = Request::get(uri).body(Full::default()).ok()?;
        let response = self.http.request(request).await.ok()?;
        if !response.status().is_success() {
            return None;
        }
        let body = response.into_body().collect().await.ok()?.to_bytes();
        self.shared.metrics.count_received(HEAD_BYTES + body.len());
        let status: Status = serde_json::from_slice(&body).ok()?;
        let state = if status.state == "serving" { UpstreamState::Serving } else { UpstreamState::Draining };
        let model = status.model.zip(status.version).map(|(model, version)| Loaded { model, version });
        Some(ProbeAnswer { boot: status.boot, change: status.change, state, load: status.load, model })
    }

    async fn send_order(&self, order: &Order, endpoint: &Endpoint) -> Option<bool> {
        if self.shared.faults.is_zone_cut(&endpoint.zone) {
            return None;
        }
        let Loaded { model, version } = order.load.clone();
        let body = serde_json::to_vec(&OrderBody { token: order.token, model, version }).ok()?;
        self.shared.metrics.count_sent("order", HEAD_BYTES + body.len());
        let uri = format!("http://{}/v1/orders", endpoint.address);
        let request =
            Request::post(uri).header("content-type", "application/json").body(Full::new(body.into())).ok()?;
        let response = self.http.request(request).await.ok()?;
        Some(response.status().is_success())
    }
}
