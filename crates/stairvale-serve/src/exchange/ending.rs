//! Whether an answer that states no end was whole when its connection closed.
//!
//! The kernel closes the connections of a process that crashes in the same way as the process does at the end of an answer. So
//! the close alone shows nothing, and nor does silence. What shows that the answer is whole is that the incarnation which sent
//! it still answers afterwards.

use std::time::Duration;

use http::{Request, header};
use http_body_util::{BodyExt, Limited};
use stairvale_memory::Content;
use stairvale_replica::Upstream;
use stairvale_types::id;

use super::{Exchange, millis};
use crate::{
    Dialect,
    core::Core,
    dialect::Asked,
    permit::Permit,
    traffic::{self, Kind},
    upstream::{Connection, Fault},
};

/// Maximum size of the answer in which an upstream says which one it is. A report lists the requests that run at an engine.
const MAX_IDENTITY_BYTES: usize = 256 << 10;

/// What a question that was sent after the close of an answer's connection showed. The names are printed in the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Evidence {
    /// The incarnation that sent the answer has outlived the close, which therefore was no crash.
    Outlived,
    /// Another incarnation answers at the address.
    Replaced,
    /// What answered didn't say which incarnation it is.
    Unnamed,
    /// The question couldn't be sent, or its connection broke.
    Unreachable,
    /// No answer came in time, or nothing may be sent to the upstream.
    Silent,
}

impl Evidence {
    /// What the answer's end is to be handled as; `None` if the answer is whole.
    const fn fault(self) -> Option<Fault> {
        match self {
            Self::Outlived => None,
            Self::Replaced => Some(Fault::Terminated),
            // Whether the upstream has crashed isn't shown either.
            Self::Unnamed | Self::Unreachable | Self::Silent => Some(Fault::Broken),
        }
    }

    /// The name of the counter.
    const fn label(self) -> &'static str {
        match self {
            Self::Outlived => "close-as-end",
            Self::Replaced => "close-replaced",
            Self::Unnamed => "close-unnamed",
            Self::Unreachable => "close-unreachable",
            Self::Silent => "close-silent",
        }
    }
}

impl<D: Dialect> Exchange<D> {
    /// Finds out whether a response that ends with its connection was whole when the connection closed.
    ///
    /// The upstream is asked once which one it is, within the route's objective and the request's deadline: a repeatable
    /// request may still be served elsewhere after that, and of a stream only the end waits.
    ///
    /// # Errors
    /// How the end of the response is to be handled if nothing shows that the response is whole.
    pub(crate) async fn check_end(&self, permit: &Permit, connection: &Connection) -> Result<(), Fault> {
        let limit = self.route.objective.min(self.time_left());
        let (clock, closed_at) = (&self.shared.clock, self.shared.now());
        let asking = clock.with_deadline(closed_at + limit, self.ask_identity(permit, limit)).await;
        let evidence = asking.unwrap_or(Evidence::Silent);
        self.shared.metrics.count(evidence.label());
        tracing::info!(
            id = self.head.id, route = self.route.name, upstream = %permit.upstream.id,
            via = connection.via().map(id::Router::as_str), ?evidence, ms = millis(self.shared.now().since(closed_at)),
            "a connection closed that delimits an answer"
        );
        evidence.fault().map_or(Ok(()), Err)
    }

    /// Asks an upstream which one it is, on a new connection: an answer that was sent before the question can't be read on it.
    async fn ask_identity(&self, permit: &Permit, limit: Duration) -> Evidence {
        let Upstream { id, address, .. } = &permit.upstream;
        let remaining_rest = || self.shared.query(|core, now| core.remaining_rest(now, &self.service, id));
        while let Some(rest) = remaining_rest() {
            tokio::time::sleep(rest).await;
        }
        let is_engine = self.shared.table.load().service(&self.service).is_some_and(|service| service.engine.is_some());
        let asked = Asked { upstream: id, is_engine };
        let mut request = Request::new(Content::default());
        let path = self.dialect.ask_identity(asked, limit, request.headers_mut());
        *request.uri_mut() = http::Uri::from_static(path);
        let Ok(host) = address.to_string().parse() else {
            return Evidence::Unreachable;
        };
        request.headers_mut().insert(header::HOST, host);
        self.shared.count_traffic(Kind::Identity, permit, traffic::request_head(&request));
        let peers = || self.shared.query(Core::tunnel_peers);
        let Ok((response, connection)) = self.shared.upstreams.send_anew(id, *address, peers, request).await else {
            return Evidence::Unreachable;
        };
        let (head, body) = response.into_parts();
        let Ok(body) = Limited::new(body, MAX_IDENTITY_BYTES).collect().await else {
            return Evidence::Unreachable;
        };
        let body = body.to_bytes();
        self.shared.count_traffic(Kind::Identity, permit, traffic::answer_head(&head.headers) + body.len());
        let Some(named) = self.dialect.identity(asked, &head, &body) else {
            return Evidence::Unnamed;
        };
        let is_other_start = named.start().is_some_and(|start| id.start() != Some(start));
        if named.name() != id.name() || is_other_start {
            return Evidence::Replaced;
        }
        self.take_notice(id, &head, &connection);
        self.shared.upstreams.release(connection, &head.headers);
        Evidence::Outlived
    }
}
