//! The client.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use error_stack::Report;
use http::{Method, Request, StatusCode, Uri};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{self, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::de::DeserializeOwned;
use stairvale_clock::Clock;
use stairvale_types::Moment;

use crate::{
    Error,
    protocol::{Lease, NewLease, Revision, Value},
};

/// A call that isn't answered by then is lost.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long a watch waits at the platform.
pub const WATCH_WAIT: Duration = Duration::from_secs(10);
/// What a request's head adds to its body, near enough for a traffic count.
const HEAD_BYTES: u64 = 160;

/// What came of a compare-and-swap.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Swap {
    /// It took effect at this revision.
    Written(u64),
    /// The key had another revision.
    Conflict,
}

/// What the platform's clock said, and when.
#[derive(Debug)]
struct Time {
    clock: Clock,
    heard: std::sync::Mutex<Option<(u64, Moment)>>,
}

impl Time {
    fn hear(&self, date: SystemTime) {
        let millis = date.duration_since(UNIX_EPOCH).map_or(0, |span| u64::try_from(span.as_millis()).unwrap_or(0));
        if let Ok(mut heard) = self.heard.lock() {
            *heard = Some((millis, self.clock.now()));
        }
    }

    fn now_ms(&self) -> Option<u64> {
        let heard = *self.heard.lock().ok()?;
        let (millis, at) = heard?;
        let passed = u64::try_from(self.clock.now().since(at).as_millis()).unwrap_or(0);
        Some(millis + passed)
    }
}

/// A client; clones share connections and counters.
#[derive(Clone, Debug)]
pub struct Client {
    base: Uri,
    http: legacy::Client<HttpConnector, Full<Bytes>>,
    sent: Arc<AtomicU64>,
    calls: Arc<AtomicU64>,
    time: Arc<Time>,
}

impl Client {
    /// A client of the platform at `base`, such as `http://10.0.0.2:9000`.
    #[must_use]
    pub fn new(base: Uri, clock: Clock) -> Self {
        let mut builder = legacy::Client::builder(TokioExecutor::new());
        // A call that was sent is never sent again below us: only the caller knows whether that is harmless.
        builder.retry_canceled_requests(false);
        let time = Arc::new(Time { clock, heard: std::sync::Mutex::default() });
        Self { base, http: builder.build_http(), sent: Arc::default(), calls: Arc::default(), time }
    }

    // ------------------------------------------------------------------------
    // Queries.

    /// Bytes sent to the platform, heads estimated.
    #[must_use]
    pub fn sent_bytes(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// Calls made.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// The platform's time in milliseconds since 1970, from its latest answer; `None` before the first.
    ///
    /// Routers agree on it far better than on their own clocks.
    #[must_use]
    pub fn now_ms(&self) -> Option<u64> {
        self.time.now_ms()
    }

    // ------------------------------------------------------------------------
    // Calls.

    /// Reads a key.
    ///
    /// # Errors
    /// Any [`Error`]; reading changes nothing.
    pub async fn read(&self, key: &str) -> Result<Option<(String, u64)>, Report<Error>> {
        let answer = self.call(Method::GET, &format!("/v1/kv/{key}"), Bytes::new(), CALL_TIMEOUT).await?;
        value(answer)
    }

    /// Waits until a key has another revision than this, or [`WATCH_WAIT`] passed.
    ///
    /// # Errors
    /// Any [`Error`]; watching changes nothing.
    pub async fn watch(&self, key: &str, revision: u64) -> Result<Option<(String, u64)>, Report<Error>> {
        let wait = WATCH_WAIT.as_millis();
        let path = format!("/v1/watch/{key}?after={revision}&wait_ms={wait}");
        let answer = self.call(Method::GET, &path, Bytes::new(), WATCH_WAIT + CALL_TIMEOUT).await?;
        value(answer)
    }

    /// Writes a key if its revision is still this; zero creates it.
    ///
    /// # Errors
    /// [`Error::Lost`] if it may have taken effect, [`Error::Refused`] if it didn't.
    pub async fn swap(&self, key: &str, value: String, revision: u64) -> Result<Swap, Report<Error>> {
        self.put(&format!("/v1/kv/{key}?revision={revision}"), value).await
    }

    /// Writes a key as [`Client::swap`]; from then on it lives as long as a lease.
    ///
    /// # Errors
    /// As [`Client::swap`].
    pub async fn swap_leased(
        &self,
        key: &str,
        value: String,
        revision: u64,
        lease: u64,
    ) -> Result<Swap, Report<Error>> {
        self.put(&format!("/v1/kv/{key}?revision={revision}&lease={lease}"), value).await
    }

    /// Makes a lease.
    ///
    /// # Errors
    /// Any [`Error`]; a lease whose answer was lost lapses by itself.
    pub async fn lease(&self, ttl: Duration) -> Result<u64, Report<Error>> {
        let ttl_ms = u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX);
        let body = serde_json::to_vec(&NewLease { ttl_ms }).map_err(|_| Report::new(Error::Malformed))?;
        let (status, body) = self.call(Method::POST, "/v1/leases", body.into(), CALL_TIMEOUT).await?;
        expect(status, StatusCode::OK)?;
        let lease: Lease = parse(&body)?;
        Ok(lease.lease)
    }

    /// Renews a lease; false if it has lapsed.
    ///
    /// # Errors
    /// Any [`Error`]: the lease may have been renewed or not.
    pub async fn renew(&self, lease: u64) -> Result<bool, Report<Error>> {
        let path = format!("/v1/leases/{lease}/renew");
        let (status, _) = self.call(Method::POST, &path, Bytes::new(), CALL_TIMEOUT).await?;
        Ok(status == StatusCode::OK)
    }

    /// The platform's list of VMs, as the text it sent.
    ///
    /// # Errors
    /// Any [`Error`].
    pub async fn vms<T: DeserializeOwned>(&self) -> Result<T, Report<Error>> {
        let (status, body) = self.call(Method::GET, "/v1/vms", Bytes::new(), CALL_TIMEOUT).await?;
        expect(status, StatusCode::OK)?;
        parse(&body)
    }

    // ------------------------------------------------------------------------

    async fn put(&self, path: &str, value: String) -> Result<Swap, Report<Error>> {
        let (status, body) = self.call(Method::PUT, path, value.into(), CALL_TIMEOUT).await?;
        match status {
            StatusCode::OK => {
                let written: Revision = parse(&body)?;
                Ok(Swap::Written(written.revision))
            }
            StatusCode::CONFLICT => Ok(Swap::Conflict),
            _ => Err(Report::new(Error::Refused)),
        }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes), Report<Error>> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let size = HEAD_BYTES + path.len() as u64 + body.len() as u64;
        self.sent.fetch_add(size, Ordering::Relaxed);
        let uri = format!("{}{path}", self.base.to_string().trim_end_matches('/'));
        let request = Request::builder().method(method).uri(uri).body(Full::new(body));
        let request = request.map_err(|_| Report::new(Error::Malformed))?;
        let answer = tokio::time::timeout(limit, self.answer(request)).await;
        let (status, body) = answer.map_err(|_| Report::new(Error::Lost))??;
        if matches!(status, StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE) {
            return Err(Report::new(Error::Refused));
        }
        Ok((status, body))
    }

    async fn answer(&self, request: Request<Full<Bytes>>) -> Result<(StatusCode, Bytes), Report<Error>> {
        let answer = self.http.request(request).await.map_err(|error| Report::new(kind(&error)))?;
        let date = answer.headers().get(http::header::DATE).and_then(|date| date.to_str().ok());
        if let Some(date) = date.and_then(|date| httpdate::parse_http_date(date).ok()) {
            self.time.hear(date);
        }
        let status = answer.status();
        let body = answer.into_body().collect().await.map_err(|_| Report::new(Error::Lost))?;
        Ok((status, body.to_bytes()))
    }
}

/// A connection that was never made carried nothing.
fn kind(error: &legacy::Error) -> Error {
    if error.is_connect() { Error::Refused } else { Error::Lost }
}

fn expect(status: StatusCode, expected: StatusCode) -> Result<(), Report<Error>> {
    if status == expected {
        return Ok(());
    }
    Err(Report::new(Error::Refused))
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Report<Error>> {
    serde_json::from_slice(body).map_err(|_| Report::new(Error::Malformed))
}

fn value((status, body): (StatusCode, Bytes)) -> Result<Option<(String, u64)>, Report<Error>> {
    if matches!(status, StatusCode::NOT_FOUND | StatusCode::NO_CONTENT) {
        return Ok(None);
    }
    expect(status, StatusCode::OK)?;
    let value: Value = parse(&body)?;
    Ok(Some((value.value, value.revision)))
}
