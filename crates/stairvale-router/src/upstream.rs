//! The HTTP client that sends requests to upstreams.

use std::{sync::Arc, time::Duration};

use http::{HeaderMap, HeaderValue, Method, Request, Response, header};
use http_body_util::BodyExt;
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::{
    client::legacy::{self, connect::HttpConnector},
    rt::{TokioExecutor, TokioIo},
};
use stairvale_control::Input;
use stairvale_memory::Content;
use stairvale_types::{Class, Rest, id};
use tokio::net::TcpStream;

use crate::{Shared, probes::Status, shared::Endpoint};

/// Limits the time to connect to an upstream; after it the upstream counts as unreachable.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Limits the time until an engine continues a stream that it holds; after it the attempt to resume counts as failed.
const RESUME_TIMEOUT: Duration = Duration::from_secs(1);
/// Limits the time for an upstream's answer to a question for its status.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);
/// The largest valid status of a response. The HTTP library rejects those below 100.
const MAX_STATUS: u16 = 599;
/// The response header by which an upstream states, besides a 503, that it did not run the request, such as while it
/// drains. After it has received the request, only this header allows a request that must not be repeated to be sent to
/// another upstream.
const NOT_RUN_HEADER: &str = "stairvale-not-run";
/// Headers that are never forwarded, because they belong to one connection (RFC 9110, section 7.6.1) or are the
/// caller's secret.
const NOT_FORWARDED: [header::HeaderName; 9] = [
    header::CONNECTION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::HOST,
    header::AUTHORIZATION,
    header::CONTENT_LENGTH,
    header::PROXY_AUTHORIZATION,
];

/// The reason why a request to an upstream failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Failure {
    /// No connection could be made; no byte of the request was sent.
    #[error("no connection could be made")]
    Unreachable,
    /// The request was sent, but no complete answer was received; it may have run.
    #[error("no complete answer was received")]
    Incomplete,
    /// The upstream refused the request.
    #[error("the upstream refused the request")]
    Refused,
}

/// A request to an upstream.
#[derive(Clone, Debug)]
pub struct Call {
    /// The HTTP method.
    pub method: Method,
    /// The path at the upstream, with the query.
    pub path: String,
    /// The caller's headers, from which those of `NOT_FORWARDED` are removed when the request is built.
    pub headers: HeaderMap,
    /// The complete request body.
    pub body: Content,
    /// The id of the attempt.
    pub attempt: id::Attempt,
    /// The priority class.
    pub class: Class,
    /// The customer that sent the request.
    pub customer: id::Customer,
    /// The chat that the request belongs to, if any.
    pub chat: Option<id::Chat>,
    /// The address of the engine that the chat's KV cache can be fetched from.
    pub import_from: Option<String>,
    /// The fencing token of the claim, if the request has one.
    pub fence: Option<u64>,
}

impl Call {
    fn request(&self, endpoint: &Endpoint) -> Option<Request<Content>> {
        let uri = format!("http://{}{}", endpoint.address, self.path);
        let mut request = Request::builder().method(self.method.clone()).uri(uri).body(self.body.clone()).ok()?;
        *request.headers_mut() = self.head();
        let host = HeaderValue::try_from(endpoint.address.to_string()).ok()?;
        request.headers_mut().insert(header::HOST, host);
        Some(request)
    }

    fn head(&self) -> HeaderMap {
        let mut headers = forwarded_headers(&self.headers);
        let added = [
            ("stairvale-attempt", Some(self.attempt.to_string())),
            ("stairvale-class", Some(self.class.to_string())),
            ("stairvale-customer", Some(self.customer.to_string())),
            ("stairvale-chat", self.chat.map(|chat| chat.to_string())),
            ("stairvale-import-from", self.import_from.clone()),
            ("stairvale-fence", self.fence.map(|fence| fence.to_string())),
        ];
        for (name, value) in added {
            headers.remove(name);
            if let Some(value) = value.and_then(|value| HeaderValue::try_from(value).ok()) {
                headers.insert(name, value);
            }
        }
        headers
    }
}

/// The headers that are forwarded: all but those of the connection and those of `NOT_FORWARDED`.
#[must_use]
pub fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = headers.clone();
    let listed: Vec<_> = headers.get_all(header::CONNECTION).iter().filter_map(|value| value.to_str().ok()).collect();
    for name in listed.iter().flat_map(|value| value.split(',')) {
        forwarded.remove(name.trim());
    }
    for name in &NOT_FORWARDED {
        forwarded.remove(name);
    }
    forwarded
}

/// An HTTP client with a connection pool for upstreams.
#[derive(Clone, Debug)]
pub struct Client {
    shared: Arc<Shared>,
    pool: legacy::Client<HttpConnector, Content>,
}

impl Client {
    /// A client without open connections.
    #[must_use]
    pub fn new(shared: Arc<Shared>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let pool = legacy::Client::builder(TokioExecutor::new()).build(connector);
        Self { shared, pool }
    }

    /// Sends a request over a pooled connection; only for requests that may run more than once.
    ///
    /// # Errors
    /// A [`Failure`] if the upstream was unreachable, answered 503, or sent no response head.
    pub async fn send_pooled(&self, endpoint: &Endpoint, call: &Call) -> Result<Response<Incoming>, Failure> {
        self.check_cut(endpoint)?;
        let request = call.request(endpoint).ok_or(Failure::Unreachable)?;
        let response = self.pool.request(request).await.map_err(|error| failure_of(&error))?;
        let response = check_status(response)?;
        self.report_back_off(endpoint, &response);
        check_refused(response)
    }

    /// Sends a request over a new connection, so that it is certain whether any of it was sent.
    ///
    /// `before_send` is called right before the first byte may be sent.
    ///
    /// # Errors
    /// A [`Failure`]; [`Failure::Unreachable`] only if no byte was sent.
    pub async fn send_once(
        &self,
        endpoint: &Endpoint,
        call: &Call,
        before_send: impl FnOnce(),
    ) -> Result<Response<Incoming>, Failure> {
        self.check_cut(endpoint)?;
        let mut request = call.request(endpoint).ok_or(Failure::Unreachable)?;
        let path = call.path.parse().map_err(|_| Failure::Unreachable)?;
        *request.uri_mut() = path;
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(endpoint.address));
        let stream = connecting.await.map_err(|_| Failure::Unreachable)?.map_err(|_| Failure::Unreachable)?;
        let (mut sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(|_| Failure::Unreachable)?;
        // The connection closes after the answer; its errors surface when the answer is read.
        tokio::spawn(connection);
        before_send();
        let response = check_status(sender.send_request(request).await.map_err(|_| Failure::Incomplete)?)?;
        self.report_back_off(endpoint, &response);
        if response.headers().get(NOT_RUN_HEADER).is_some_and(|value| value == "?1") {
            return Err(Failure::Refused);
        }
        Ok(response)
    }

    /// Requests the events of a stream after the event id `after` from an engine.
    ///
    /// # Errors
    /// A [`Failure`] if the engine was unreachable, sends no head within a second, or doesn't continue the stream.
    pub async fn resume(
        &self,
        endpoint: &Endpoint,
        attempt: id::Attempt,
        after: u64,
    ) -> Result<Response<Incoming>, Failure> {
        self.check_cut(endpoint)?;
        let uri = format!("http://{}/v1/streams/{attempt}?after={after}", endpoint.address);
        let request = Request::get(uri).body(Content::default()).map_err(|_| Failure::Unreachable)?;
        let answered = tokio::time::timeout(RESUME_TIMEOUT, self.pool.request(request)).await;
        let response = answered.map_err(|_| Failure::Incomplete)?.map_err(|error| failure_of(&error))?;
        self.report_back_off(endpoint, &response);
        if !response.status().is_success() {
            return Err(Failure::Incomplete);
        }
        Ok(response)
    }

    /// Whether an upstream answers that it is still the incarnation that this router knew when the request was granted.
    pub async fn is_same_incarnation(&self, endpoint: &Endpoint) -> bool {
        let Some(expected) = endpoint.incarnation else {
            return false;
        };
        let asked = tokio::time::timeout(STATUS_TIMEOUT, self.incarnation(endpoint)).await;
        asked.is_ok_and(|current| current == Some(expected))
    }

    /// The incarnation that an upstream states; `None` if it gives no answer that states one.
    async fn incarnation(&self, endpoint: &Endpoint) -> Option<u64> {
        self.check_cut(endpoint).ok()?;
        let uri = format!("http://{}/v1/status", endpoint.address);
        let request = Request::get(uri).body(Content::default()).ok()?;
        let response = check_status(self.pool.request(request).await.ok()?).ok()?;
        let body = response.into_body().collect().await.ok()?.to_bytes();
        let status: Status = serde_json::from_slice(&body).ok()?;
        Some(status.boot)
    }

    /// Cancels a stream at an engine.
    pub async fn cancel(&self, endpoint: &Endpoint, attempt: id::Attempt) {
        let uri = format!("http://{}/v1/streams/{attempt}", endpoint.address);
        let Ok(request) = Request::delete(uri).body(Content::default()) else {
            return;
        };
        // An engine that doesn't receive this request drops the stream after a timeout of its own.
        if let Ok(response) = self.pool.request(request).await {
            let _ = response.into_body().collect().await;
        }
    }

    /// Reports to the control thread if an upstream answers 503 with a `retry-after` header, which asks this router to
    /// back off.
    fn report_back_off(&self, endpoint: &Endpoint, response: &Response<Incoming>) {
        if response.status() != http::StatusCode::SERVICE_UNAVAILABLE {
            return;
        }
        let values = response.headers().get_all(header::RETRY_AFTER).into_iter();
        if let Rest::For(length) = Rest::read(values.map(|value| value.to_str().unwrap_or_default())) {
            self.shared.notify_control(Input::BackOffRequested { upstream: endpoint.upstream.clone(), length });
        }
    }

    fn check_cut(&self, endpoint: &Endpoint) -> Result<(), Failure> {
        if self.shared.faults.is_zone_cut(&endpoint.zone) {
            return Err(Failure::Unreachable);
        }
        Ok(())
    }
}

fn failure_of(error: &legacy::Error) -> Failure {
    if error.is_connect() { Failure::Unreachable } else { Failure::Incomplete }
}

/// Rejects a response whose status is outside 100 to 599 and therefore invalid (RFC 9110, section 15). What the rest of it
/// says of the request can't be relied on either.
fn check_status(response: Response<Incoming>) -> Result<Response<Incoming>, Failure> {
    if response.status().as_u16() > MAX_STATUS { Err(Failure::Incomplete) } else { Ok(response) }
}

fn check_refused(response: Response<Incoming>) -> Result<Response<Incoming>, Failure> {
    if response.status() == http::StatusCode::SERVICE_UNAVAILABLE {
        return Err(Failure::Refused);
    }
    Ok(response)
}
