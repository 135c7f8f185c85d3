//! Queries engines for the prompt blocks in their caches: the initial state of a home that received none from its
//! predecessor.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures::StreamExt;
use http::Request;
use http_body_util::{BodyExt, Limited};
use stairvale_dispatch::Part;
use stairvale_memory::Content;
use stairvale_types::id;
use tokio::sync::mpsc;

use crate::{
    Dialect, Shared,
    traffic::{self, Kind},
};

/// An engine that doesn't respond within this time isn't queried again.
const INVENTORY_TIMEOUT: Duration = Duration::from_millis(600);
/// Number of engines that are queried concurrently.
const MAX_CONCURRENT_QUERIES: usize = 16;
/// Longest inventory that is read.
const MAX_INVENTORY_BYTES: usize = 4 << 20;

/// An engine to query.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Inspection {
    /// The engine's service.
    pub service: id::Service,
    /// The engine.
    pub upstream: id::Upstream,
    /// The engine's address.
    pub address: SocketAddr,
}

/// Queries engines, a few at a time, until the task is dropped.
pub async fn run<D: Dialect>(shared: Arc<Shared>, dialect: D, due: mpsc::UnboundedReceiver<Inspection>) {
    let due = futures::stream::unfold(due, |mut due| async move { Some((due.recv().await?, due)) });
    due.for_each_concurrent(MAX_CONCURRENT_QUERIES, |inspection| inspect(&shared, &dialect, inspection)).await;
}

async fn inspect<D: Dialect>(shared: &Shared, dialect: &D, inspection: Inspection) {
    let Inspection { service, upstream, address } = inspection;
    let result =
        tokio::time::timeout(INVENTORY_TIMEOUT, fetch_inventory(shared, dialect, &service, &upstream, address)).await;
    let parts = result.ok().flatten();
    tracing::info!(%upstream, parts = parts.as_ref().map(Vec::len), "asked an engine what it holds");
    if let Some(parts) = parts {
        shared.with(|core, _| core.record_inventory(&service, &upstream, parts));
    }
}

async fn fetch_inventory<D: Dialect>(
    shared: &Shared,
    dialect: &D,
    service: &id::Service,
    upstream: &id::Upstream,
    address: SocketAddr,
) -> Option<Vec<Part>> {
    let path = dialect.inventory_path()?;
    if shared.query(|core, now| core.remaining_rest(now, service, upstream)).is_some() {
        return None;
    }
    let request = Request::get(path).header(http::header::HOST, address.to_string());
    let request = request.body(Content::default()).ok()?;
    let request_bytes = traffic::request_head(&request);
    let (response, connection) = shared.upstreams.send(upstream, address, Default::default, request).await.ok()?;
    let (head, body) = response.into_parts();
    shared.handle_notice(service, upstream, dialect.notice(&head));
    let body = Limited::new(body, MAX_INVENTORY_BYTES).collect().await.ok()?.to_bytes();
    let zone = shared.query(|core, _| core.view().upstream(upstream).map(|known| known.zone.clone()));
    let bytes = request_bytes + traffic::answer_head(&head.headers) + body.len();
    shared.metrics.traffic.count(Kind::Inventory, zone.as_ref(), bytes);
    if !head.status.is_success() {
        return None;
    }
    // Not kept in the pool: there may be thousands of engines to most of which this router never sends requests, and it
    // would hold as many connections.
    drop(connection);
    let inventory = dialect.inventory(&body)?;
    // Another incarnation at the same address says nothing about this one; its entry is about to arrive from the store.
    let is_same = inventory.start.zip(upstream.start()).is_none_or(|(its, known)| its == known);
    is_same.then_some(inventory.parts)
}
