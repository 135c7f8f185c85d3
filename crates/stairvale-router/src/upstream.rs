//! Requests to upstreams.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, Response, header};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::{
    client::legacy::{self, connect::HttpConnector},
    rt::{TokioExecutor, TokioIo},
};
use stairvale_control::Input;
use stairvale_types::{Class, Rest, id};
use tokio::net::TcpStream;

use crate::{Shared, shared::Place};

/// A connection that isn't made by then counts as unreachable.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// An upstream's own word, beside a 503, that it did not run the request, as when it drains. Only with this word is a
/// request that must not be repeated sent to another upstream.
const NOT_RUN: &str = "stairvale-not-run";
/// Headers that are a connection's own (RFC 9110, section 7.6.1), or the caller's secret, and never passed on.
const DROPPED: [header::HeaderName; 9] = [
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

/// Why an upstream gave no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Failure {
    /// No connection was made: not a byte of the request left.
    #[error("no connection could be made")]
    Unreachable,
    /// The request left, and no answer came: it may have run.
    #[error("no whole answer came")]
    Broken,
    /// The upstream said that it takes no work.
    #[error("the upstream takes no work")]
    Refusing,
}

/// What an upstream is asked.
#[derive(Clone, Debug)]
pub struct Call {
    /// The method.
    pub method: Method,
    /// The path with the query.
    pub path: String,
    /// The caller's headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// The attempt.
    pub attempt: id::Attempt,
    /// The class.
    pub class: Class,
    /// Whose request it is.
    pub customer: id::Customer,
    /// The chat.
    pub chat: Option<id::Chat>,
    /// Where the engine can fetch the chat's KV cache from.
    pub import_from: Option<String>,
    /// A claim's fencing token.
    pub fence: Option<u64>,
}

impl Call {
    fn request(&self, place: &Place) -> Option<Request<Full<Bytes>>> {
        let uri = format!("http://{}{}", place.address, self.path);
        let mut request =
            Request::builder().method(self.method.clone()).uri(uri).body(Full::new(self.body.clone())).ok()?;
        *request.headers_mut() = self.head();
        let host = HeaderValue::try_from(place.address.to_string()).ok()?;
        request.headers_mut().insert(header::HOST, host);
        Some(request)
    }

    fn head(&self) -> HeaderMap {
        let mut headers = pass_on(&self.headers);
        let own = [
            ("stairvale-attempt", Some(self.attempt.to_string())),
            ("stairvale-class", Some(self.class.to_string())),
            ("stairvale-customer", Some(self.customer.to_string())),
            ("stairvale-chat", self.chat.map(|chat| chat.to_string())),
            ("stairvale-import-from", self.import_from.clone()),
            ("stairvale-fence", self.fence.map(|fence| fence.to_string())),
        ];
        for (name, value) in own {
            headers.remove(name);
            if let Some(value) = value.and_then(|value| HeaderValue::try_from(value).ok()) {
                headers.insert(name, value);
            }
        }
        headers
    }
}

/// The headers that go to the other side of the router.
#[must_use]
pub fn pass_on(headers: &HeaderMap) -> HeaderMap {
    let mut passed = headers.clone();
    let listed: Vec<_> = headers.get_all(header::CONNECTION).iter().filter_map(|value| value.to_str().ok()).collect();
    for name in listed.iter().flat_map(|value| value.split(',')) {
        passed.remove(name.trim());
    }
    for name in &DROPPED {
        passed.remove(name);
    }
    passed
}

/// Connections to upstreams.
#[derive(Clone, Debug)]
pub struct Client {
    shared: Arc<Shared>,
    pool: legacy::Client<HttpConnector, Full<Bytes>>,
}

impl Client {
    /// A client without connections.
    #[must_use]
    pub fn new(shared: Arc<Shared>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let pool = legacy::Client::builder(TokioExecutor::new()).build(connector);
        Self { shared, pool }
    }

    /// Asks an upstream over a pooled connection; only for what may run twice.
    ///
    /// # Errors
    /// A [`Failure`].
    pub async fn ask(&self, place: &Place, call: &Call) -> Result<Response<Incoming>, Failure> {
        self.check_cut(place)?;
        let request = call.request(place).ok_or(Failure::Unreachable)?;
        let response = self.pool.request(request).await.map_err(|error| kind(&error))?;
        self.hear(place, &response);
        refusing(response)
    }

    /// Asks an upstream over a connection of its own, so that it is certain whether the request left.
    ///
    /// `offered` is called right before the first byte may leave.
    ///
    /// # Errors
    /// A [`Failure`]; [`Failure::Unreachable`] only if nothing left.
    pub async fn ask_once(
        &self,
        place: &Place,
        call: &Call,
        offered: impl FnOnce(),
    ) -> Result<Response<Incoming>, Failure> {
        self.check_cut(place)?;
        let mut request = call.request(place).ok_or(Failure::Unreachable)?;
        let path = call.path.parse().map_err(|_| Failure::Unreachable)?;
        *request.uri_mut() = path;
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(place.address));
        let stream = connecting.await.map_err(|_| Failure::Unreachable)?.map_err(|_| Failure::Unreachable)?;
        let (mut sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(|_| Failure::Unreachable)?;
        // The connection ends with its answer; its errors show in the answer.
        tokio::spawn(connection);
        offered();
        let response = sender.send_request(request).await.map_err(|_| Failure::Broken)?;
        self.hear(place, &response);
        if response.headers().get(NOT_RUN).is_some_and(|value| value == "?1") {
            return Err(Failure::Refusing);
        }
        Ok(response)
    }

    /// Asks an engine for the rest of a stream.
    ///
    /// # Errors
    /// A [`Failure`].
    pub async fn resume(&self, place: &Place, attempt: id::Attempt, after: u64) -> Result<Response<Incoming>, Failure> {
        self.check_cut(place)?;
        let uri = format!("http://{}/v1/streams/{attempt}?after={after}", place.address);
        let request = Request::get(uri).body(Full::default()).map_err(|_| Failure::Unreachable)?;
        let response = self.pool.request(request).await.map_err(|error| kind(&error))?;
        self.hear(place, &response);
        if !response.status().is_success() {
            return Err(Failure::Broken);
        }
        Ok(response)
    }

    /// Tells an engine that nobody wants a stream any more.
    pub async fn cancel(&self, place: &Place, attempt: id::Attempt) {
        let uri = format!("http://{}/v1/streams/{attempt}", place.address);
        let Ok(request) = Request::delete(uri).body(Full::default()) else {
            return;
        };
        // An engine that doesn't hear this drops the stream by itself after a while.
        if let Ok(response) = self.pool.request(request).await {
            let _ = response.into_body().collect().await;
        }
    }

    /// An upstream that turns a request away may want rest from this router.
    fn hear(&self, place: &Place, response: &Response<Incoming>) {
        if response.status() != http::StatusCode::SERVICE_UNAVAILABLE {
            return;
        }
        let values = response.headers().get_all(header::RETRY_AFTER).into_iter();
        if let Rest::For(length) = Rest::read(values.map(|value| value.to_str().unwrap_or_default())) {
            self.shared.tell(Input::Rests { upstream: place.upstream.clone(), length });
        }
    }

    fn check_cut(&self, place: &Place) -> Result<(), Failure> {
        if self.shared.faults.zone(&place.zone) {
            return Err(Failure::Unreachable);
        }
        Ok(())
    }
}

fn kind(error: &legacy::Error) -> Failure {
    if error.is_connect() { Failure::Unreachable } else { Failure::Broken }
}

fn refusing(response: Response<Incoming>) -> Result<Response<Incoming>, Failure> {
    if response.status() == http::StatusCode::SERVICE_UNAVAILABLE {
        return Err(Failure::Refusing);
    }
    Ok(response)
}
