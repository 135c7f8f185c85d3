//! HTTP helpers shared by the stand-ins: the server loop, parsing of requests and construction of responses.

use std::{future::Future, net::SocketAddr};

use bytes::Bytes;
use futures::channel::mpsc;
use http::{Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Either, Full, StreamBody};
use hyper::{
    body::{Frame, Incoming},
    service::service_fn,
};
use hyper_util::{
    rt::{TokioExecutor, TokioIo},
    server::conn::auto,
};
use serde::{Serialize, de::DeserializeOwned};
use tokio::net::TcpListener;

/// A frame of a streamed body, or [`Aborted`] to break the connection.
pub type BodyFrame = Result<Frame<Bytes>, Aborted>;

/// A response body, complete or streamed.
pub type Body = Either<Full<Bytes>, StreamBody<mpsc::Receiver<BodyFrame>>>;

/// Error that makes the server break the connection without a complete response.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("connection aborted by fault injection")]
pub struct Aborted;

/// The reason why a stand-in could not start.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The listening address is missing or cannot be bound.
    #[error("cannot listen on the address")]
    Listen,
    /// The signal handler cannot be installed.
    #[error("cannot install the signal handler")]
    Signal,
}

/// Serves requests until the future is dropped. A handler that returns `None` breaks the connection.
///
/// # Errors
/// [`Error::Listen`] if the address cannot be bound.
pub async fn serve<H, F>(address: SocketAddr, handler: H) -> Result<(), Error>
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Option<Response<Body>>> + Send + 'static,
{
    let listener = TcpListener::bind(address).await.map_err(|_| Error::Listen)?;
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let handler = handler.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let response = handler(request);
                async move { response.await.ok_or(Aborted) }
            });
            let builder = auto::Builder::new(TokioExecutor::new());
            let _ = builder.serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

/// Returns the value of a query parameter.
#[must_use]
pub fn query_parameter(request: &Request<Incoming>, name: &str) -> Option<String> {
    let query = request.uri().query()?;
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value.to_owned())
}

/// Returns the value of a query parameter that is a number.
#[must_use]
pub fn query_number(request: &Request<Incoming>, name: &str) -> Option<u64> {
    query_parameter(request, name)?.parse().ok()
}

/// Returns the value of a header if it is text.
#[must_use]
pub fn header_text(request: &Request<Incoming>, name: &str) -> Option<String> {
    Some(request.headers().get(name)?.to_str().ok()?.to_owned())
}

/// Reads a request's complete body; `None` if the connection breaks before its end.
pub async fn body(request: Request<Incoming>) -> Option<Bytes> {
    Some(request.into_body().collect().await.ok()?.to_bytes())
}

/// Reads a request's body and parses it as JSON.
pub async fn json_body<T: DeserializeOwned>(request: Request<Incoming>) -> Option<T> {
    serde_json::from_slice(&body(request).await?).ok()
}

/// Creates a response with a JSON body.
#[must_use]
pub fn json_response<T: Serialize>(value: &T) -> Response<Body> {
    let mut response = Response::new(Either::Left(Full::new(serde_json::to_vec(value).unwrap_or_default().into())));
    let content_type = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    response
}

/// Creates a response with a status and no body.
#[must_use]
pub fn empty_response(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Either::Left(Full::default()));
    *response.status_mut() = status;
    response
}

/// Creates the response of a draining upstream: 503 with the header that states that the request was not run.
#[must_use]
pub fn draining_response() -> Response<Body> {
    let mut response = empty_response(StatusCode::SERVICE_UNAVAILABLE);
    response.headers_mut().insert("stairvale-not-run", header::HeaderValue::from_static("?1"));
    response
}

/// The minimum time that an upstream keeps running after it starts to drain. Routers take some seconds to receive the
/// status report, and may send requests until then.
pub const MIN_DRAIN: std::time::Duration = std::time::Duration::from_millis(2_500);

/// Creates a response that streams server-sent events.
#[must_use]
pub fn event_stream(frames: mpsc::Receiver<BodyFrame>) -> Response<Body> {
    let mut response = Response::new(Either::Right(StreamBody::new(frames)));
    let content_type = header::HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    response
}
