//! What the stand-ins share of HTTP.

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

/// A piece of a streamed body, or the order to break the connection.
pub type Piece = Result<Frame<Bytes>, Cut>;

/// A body: whole or streamed.
pub type Body = Either<Full<Bytes>, StreamBody<mpsc::Receiver<Piece>>>;

/// The connection is broken on purpose.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("cut by the fault switch")]
pub struct Cut;

/// A stand-in couldn't start.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The address can't be listened at.
    #[error("the address can't be listened at")]
    Listen,
    /// Signals can't be received.
    #[error("signals can't be received")]
    Signal,
}

/// Serves requests until the future is dropped.
///
/// # Errors
/// [`Error::Listen`].
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
                let answer = handler(request);
                async move { answer.await.ok_or(Cut) }
            });
            let builder = auto::Builder::new(TokioExecutor::new());
            let _ = builder.serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

/// The value of a query parameter.
#[must_use]
pub fn parameter(request: &Request<Incoming>, name: &str) -> Option<String> {
    let query = request.uri().query()?;
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value.to_owned())
}

/// A number among the query parameters.
#[must_use]
pub fn number(request: &Request<Incoming>, name: &str) -> Option<u64> {
    parameter(request, name)?.parse().ok()
}

/// The value of a header.
#[must_use]
pub fn header_text(request: &Request<Incoming>, name: &str) -> Option<String> {
    Some(request.headers().get(name)?.to_str().ok()?.to_owned())
}

/// A request's body.
pub async fn body(request: Request<Incoming>) -> Option<Bytes> {
    Some(request.into_body().collect().await.ok()?.to_bytes())
}

/// A request's body as JSON.
pub async fn parse<T: DeserializeOwned>(request: Request<Incoming>) -> Option<T> {
    serde_json::from_slice(&body(request).await?).ok()
}

/// An answer in JSON.
#[must_use]
pub fn json<T: Serialize>(value: &T) -> Response<Body> {
    let mut response = Response::new(Either::Left(Full::new(serde_json::to_vec(value).unwrap_or_default().into())));
    let kind = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

/// An answer without a body.
#[must_use]
pub fn status(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Either::Left(Full::default()));
    *response.status_mut() = status;
    response
}

/// The answer of an upstream that drains: it did not run the request, and says so.
#[must_use]
pub fn draining() -> Response<Body> {
    let mut response = status(StatusCode::SERVICE_UNAVAILABLE);
    response.headers_mut().insert("stairvale-not-run", header::HeaderValue::from_static("?1"));
    response
}

/// A draining upstream stays at least this long: routers take some seconds to hear of it.
pub const DRAIN: std::time::Duration = std::time::Duration::from_millis(2_500);

/// A streamed answer of server-sent events.
#[must_use]
pub fn events(pieces: mpsc::Receiver<Piece>) -> Response<Body> {
    let mut response = Response::new(Either::Right(StreamBody::new(pieces)));
    let kind = header::HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}
