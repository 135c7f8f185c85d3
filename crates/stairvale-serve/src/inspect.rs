//! Asking engines what they hold of prompts: a home that nobody told begins with that.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use futures::StreamExt;
use http::Request;
use http_body_util::{BodyExt, Full, Limited};
use stairvale_dispatch::Part;
use stairvale_types::id;
use tokio::sync::mpsc;

use crate::{
    Dialect, Shared,
    traffic::{self, Kind},
};

/// An engine that doesn't say by then isn't asked again.
const TIMEOUT: Duration = Duration::from_millis(600);
/// Engines that are asked at once.
const AT_ONCE: usize = 16;
/// More than this isn't read.
const LARGEST: usize = 4 << 20;

/// An engine to ask.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Inspection {
    /// Its service.
    pub service: id::Service,
    /// The engine.
    pub upstream: id::Upstream,
    /// Where it is.
    pub address: SocketAddr,
}

/// Asks engines, a few at a time, until the task is dropped.
pub async fn run<D: Dialect>(shared: Arc<Shared>, dialect: D, due: mpsc::UnboundedReceiver<Inspection>) {
    let due = futures::stream::unfold(due, |mut due| async move { Some((due.recv().await?, due)) });
    due.for_each_concurrent(AT_ONCE, |inspection| inspect(&shared, &dialect, inspection)).await;
}

async fn inspect<D: Dialect>(shared: &Shared, dialect: &D, inspection: Inspection) {
    let Inspection { service, upstream, address } = inspection;
    let asked = tokio::time::timeout(TIMEOUT, ask(shared, dialect, &service, &upstream, address)).await;
    let parts = asked.ok().flatten();
    tracing::info!(%upstream, parts = parts.as_ref().map(Vec::len), "asked an engine what it holds");
    if let Some(parts) = parts {
        shared.with(|core, _| core.inspected(&service, &upstream, parts));
    }
}

async fn ask<D: Dialect>(
    shared: &Shared,
    dialect: &D,
    service: &id::Service,
    upstream: &id::Upstream,
    address: SocketAddr,
) -> Option<Vec<Part>> {
    let path = dialect.inventory_path()?;
    if shared.look(|core, now| core.rest(now, service, upstream)).is_some() {
        return None;
    }
    let request = Request::get(path).header(http::header::HOST, address.to_string());
    let request = request.body(Full::new(Bytes::new())).ok()?;
    let asked = traffic::request_head(&request);
    let (answer, connection) = shared.upstreams.send(upstream, address, request).await.ok()?;
    let (head, body) = answer.into_parts();
    shared.hear(service, upstream, dialect.notice(&head));
    let body = Limited::new(body, LARGEST).collect().await.ok()?.to_bytes();
    let zone = shared.look(|core, _| core.view().upstream(upstream).map(|known| known.zone.clone()));
    let bytes = asked + traffic::answer_head(&head.headers) + body.len();
    shared.metrics.traffic.count(Kind::Inventory, zone.as_ref(), bytes);
    if !head.status.is_success() {
        return None;
    }
    // Not kept: with thousands of engines, most of which this router never sends anything to, they would be as many.
    drop(connection);
    let inventory = dialect.inventory(&body)?;
    // Another life at the same address says nothing of this one; its entry is on its way.
    let is_same = inventory.start.zip(upstream.start()).is_none_or(|(its, known)| its == known);
    is_same.then_some(inventory.parts)
}
