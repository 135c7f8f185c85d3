//! The HTTP client of the platform's key-value service.

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

/// The time within which a call must be answered. A call that exceeds it is lost: it may have taken effect.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long a watch waits at the platform for a change.
pub const WATCH_WAIT: Duration = Duration::from_secs(10);
/// The estimated size of a request's head, which is added to that of the path and the body when traffic is counted.
const ESTIMATED_HEAD_BYTES: u64 = 160;

/// The outcome of a compare-and-swap.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Swap {
    /// The value was written at this revision.
    Written(u64),
    /// The key had another revision, and nothing was written.
    Conflict,
}

/// Extrapolates the platform's clock from the date of its latest answer, in milliseconds since 1970, and the moment at
/// which that answer was received.
#[derive(Debug)]
struct PlatformTime {
    clock: Clock,
    latest: std::sync::Mutex<Option<(u64, Moment)>>,
}

impl PlatformTime {
    fn update(&self, date: SystemTime) {
        let millis = date.duration_since(UNIX_EPOCH).map_or(0, |span| u64::try_from(span.as_millis()).unwrap_or(0));
        if let Ok(mut latest) = self.latest.lock() {
            *latest = Some((millis, self.clock.now()));
        }
    }

    fn now_ms(&self) -> Option<u64> {
        let latest = *self.latest.lock().ok()?;
        let (millis, at) = latest?;
        let elapsed = u64::try_from(self.clock.now().since(at).as_millis()).unwrap_or(0);
        Some(millis + elapsed)
    }
}

/// A client of the platform. Clones share connections and counters.
#[derive(Clone, Debug)]
pub struct Client {
    base: Uri,
    http: legacy::Client<HttpConnector, Full<Bytes>>,
    sent_bytes: Arc<AtomicU64>,
    calls: Arc<AtomicU64>,
    time: Arc<PlatformTime>,
}

impl Client {
    /// Creates a client of the platform at `base`, such as `http://10.0.0.2:9000`.
    #[must_use]
    pub fn new(base: Uri, clock: Clock) -> Self {
        let mut builder = legacy::Client::builder(TokioExecutor::new());
        // A call that was sent is never sent again by the HTTP library: only the caller can tell whether that is
        // harmless.
        builder.retry_canceled_requests(false);
        let time = Arc::new(PlatformTime { clock, latest: std::sync::Mutex::default() });
        Self { base, http: builder.build_http(), sent_bytes: Arc::default(), calls: Arc::default(), time }
    }

    // ------------------------------------------------------------------------
    // State of the client.

    /// The number of bytes sent to the platform, with estimated sizes of heads.
    #[must_use]
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes.load(Ordering::Relaxed)
    }

    /// The number of calls made.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// The platform's time in milliseconds since 1970, derived from its latest answer; `None` before the first one.
    ///
    /// Routers agree on this time far better than on their own clocks.
    #[must_use]
    pub fn now_ms(&self) -> Option<u64> {
        self.time.now_ms()
    }

    // ------------------------------------------------------------------------
    // Calls to the platform.

    /// Reads a key's value and revision; `None` if the key doesn't exist.
    ///
    /// # Errors
    /// Any [`Error`]; reads have no effect on the store.
    pub async fn read(&self, key: &str) -> Result<Option<(String, u64)>, Report<Error>> {
        let answer = self.call(Method::GET, &format!("/v1/kv/{key}"), Bytes::new(), CALL_TIMEOUT).await?;
        parse_value(answer)
    }

    /// Waits until a key has a revision other than `revision`, or until [`WATCH_WAIT`] has passed.
    ///
    /// # Errors
    /// Any [`Error`]; watches have no effect on the store.
    pub async fn watch(&self, key: &str, revision: u64) -> Result<Option<(String, u64)>, Report<Error>> {
        let wait = WATCH_WAIT.as_millis();
        let path = format!("/v1/watch/{key}?after={revision}&wait_ms={wait}");
        let answer = self.call(Method::GET, &path, Bytes::new(), WATCH_WAIT + CALL_TIMEOUT).await?;
        parse_value(answer)
    }

    /// Writes a key if its revision still equals `revision`; 0 creates the key.
    ///
    /// # Errors
    /// [`Error::Lost`] if the write may have taken effect, [`Error::Refused`] if it didn't.
    pub async fn swap(&self, key: &str, value: String, revision: u64) -> Result<Swap, Report<Error>> {
        self.put(&format!("/v1/kv/{key}?revision={revision}"), value).await
    }

    /// Writes a key like [`Client::swap`] and binds it to a lease: the key is removed when the lease expires.
    ///
    /// # Errors
    /// The same as those of [`Client::swap`].
    pub async fn swap_leased(
        &self,
        key: &str,
        value: String,
        revision: u64,
        lease: u64,
    ) -> Result<Swap, Report<Error>> {
        self.put(&format!("/v1/kv/{key}?revision={revision}&lease={lease}"), value).await
    }

    /// Creates a lease and returns its number.
    ///
    /// # Errors
    /// Any [`Error`]; a lease whose answer was lost expires by itself.
    pub async fn lease(&self, ttl: Duration) -> Result<u64, Report<Error>> {
        let ttl_ms = u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX);
        let body = serde_json::to_vec(&NewLease { ttl_ms }).map_err(|_| Report::new(Error::Malformed))?;
        let (status, body) = self.call(Method::POST, "/v1/leases", body.into(), CALL_TIMEOUT).await?;
        expect_status(status, StatusCode::OK)?;
        let lease: Lease = parse(&body)?;
        Ok(lease.lease)
    }

    /// Renews a lease; `false` if it has expired.
    ///
    /// # Errors
    /// Any [`Error`]; the lease may have been renewed or not.
    pub async fn renew(&self, lease: u64) -> Result<bool, Report<Error>> {
        let path = format!("/v1/leases/{lease}/renew");
        let (status, _) = self.call(Method::POST, &path, Bytes::new(), CALL_TIMEOUT).await?;
        Ok(status == StatusCode::OK)
    }

    /// Reads the platform's list of VMs, parsed from JSON into `T`.
    ///
    /// # Errors
    /// Any [`Error`]; the call has no effect on the platform.
    pub async fn vms<T: DeserializeOwned>(&self) -> Result<T, Report<Error>> {
        let (status, body) = self.call(Method::GET, "/v1/vms", Bytes::new(), CALL_TIMEOUT).await?;
        expect_status(status, StatusCode::OK)?;
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
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), Report<Error>> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let size = ESTIMATED_HEAD_BYTES + path.len() as u64 + body.len() as u64;
        self.sent_bytes.fetch_add(size, Ordering::Relaxed);
        let uri = format!("{}{path}", self.base.to_string().trim_end_matches('/'));
        let request = Request::builder().method(method).uri(uri).body(Full::new(body));
        let request = request.map_err(|_| Report::new(Error::Malformed))?;
        let answer = tokio::time::timeout(timeout, self.send(request)).await;
        let (status, body) = answer.map_err(|_| Report::new(Error::Lost))??;
        if matches!(status, StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE) {
            return Err(Report::new(Error::Refused));
        }
        Ok((status, body))
    }

    async fn send(&self, request: Request<Full<Bytes>>) -> Result<(StatusCode, Bytes), Report<Error>> {
        let answer = self.http.request(request).await.map_err(|error| Report::new(classify(&error)))?;
        let date = answer.headers().get(http::header::DATE).and_then(|date| date.to_str().ok());
        if let Some(date) = date.and_then(|date| httpdate::parse_http_date(date).ok()) {
            self.time.update(date);
        }
        let status = answer.status();
        let body = answer.into_body().collect().await.map_err(|_| Report::new(Error::Lost))?;
        Ok((status, body.to_bytes()))
    }
}

/// Classifies a failed call: if no connection was established, the call can't have taken effect.
fn classify(error: &legacy::Error) -> Error {
    if error.is_connect() { Error::Refused } else { Error::Lost }
}

fn expect_status(status: StatusCode, expected: StatusCode) -> Result<(), Report<Error>> {
    if status == expected {
        return Ok(());
    }
    Err(Report::new(Error::Refused))
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Report<Error>> {
    serde_json::from_slice(body).map_err(|_| Report::new(Error::Malformed))
}

fn parse_value((status, body): (StatusCode, Bytes)) -> Result<Option<(String, u64)>, Report<Error>> {
    if matches!(status, StatusCode::NOT_FOUND | StatusCode::NO_CONTENT) {
        return Ok(None);
    }
    expect_status(status, StatusCode::OK)?;
    let value: Value = parse(&body)?;
    Ok(Some((value.value, value.revision)))
}
