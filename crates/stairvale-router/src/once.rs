//! Runs requests that must not be repeated. A request with an idempotency key is claimed before it is sent, is sent at
//! most once, and its answer is stored for repetitions of the same key.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Response, StatusCode, header};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use stairvale_control::Input;
use stairvale_types::{Moment, Reason, Refusal, id};
use stairvale_wire::{ClaimVerdict, StoredAnswer};

use crate::{
    Problem, Shared,
    body::Body,
    caller::{PendingRequest, with_permit_wait},
    end::End,
    guard::Permit,
    metrics::Outcome,
    problem::{InvalidRequest, Unknown},
    shared::{Command, Endpoint},
    upstream::{Call, Client, Failure, forwarded_headers},
};

/// Limits the answer to a request that must not be repeated.
const MAX_ANSWER_BYTES: usize = 1 << 20;
/// Limits the age of a claim at which its request may still be sent. Claims are kept far longer than this, so no other
/// request can hold the key while this one is sent.
const CLAIM_SEND_TIMEOUT: Duration = Duration::from_secs(60);
/// Limits how many upstreams are tried for one request.
const MAX_TRIES: u32 = 3;
/// Limits how long a complete answer is held back until the claim's owner confirms that it has recorded it.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(1);
/// The retry delay sent to the caller if the request could not be placed: the control thread gave no answer, the
/// deadline passed or no upstream was left.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A claim on an idempotency key. If it is dropped before the first byte of the request was sent, the claim is
/// released.
#[derive(Debug)]
struct Claim {
    shared: Arc<Shared>,
    key: id::Key,
    attempt: id::Attempt,
    fence: u64,
    claimed_at: Moment,
    maybe_sent: Arc<AtomicBool>,
}

impl Claim {
    async fn acquire(shared: &Arc<Shared>, key: id::Key, attempt: id::Attempt) -> Result<Self, EarlyAnswer> {
        let claimed_at = shared.now();
        let maybe_sent = Arc::default();
        let mut claim = Self { shared: shared.clone(), key, attempt, fence: 0, claimed_at, maybe_sent };
        let verdict = shared.call_control(|reply| Command::Claim(key, attempt, reply)).await;
        // Only `Yours` leaves a claim that has to be released on drop.
        match verdict {
            Some(ClaimVerdict::Yours { fence }) => {
                claim.fence = fence;
                return Ok(claim);
            }
            Some(ClaimVerdict::Running) => Err(EarlyAnswer::Problem(Unknown::Claimed.into())),
            Some(ClaimVerdict::Ran(stored)) => Err(EarlyAnswer::Stored(stored)),
            Some(ClaimVerdict::Unavailable { retry_after }) => {
                Err(EarlyAnswer::Problem(Refusal::new(Reason::Platform, retry_after).into()))
            }
            None => Err(EarlyAnswer::Problem(Refusal::new(Reason::NotReady, DEFAULT_RETRY_AFTER).into())),
        }
        .inspect_err(|_| claim.maybe_sent.store(true, Ordering::Relaxed))
    }

    /// Sends the answer to the claim's owner and waits until the owner has recorded it, so that a caller that repeats
    /// the request at any router gets the same answer.
    async fn settle(&self, stored: StoredAnswer) {
        let settled = self.shared.call_control(|reply| Command::Settle(self.key, self.attempt, stored, reply));
        // If the owner doesn't confirm in time, the answer is sent to the caller anyway, since it is complete. A
        // request that repeats the key then gets the outcome `unknown`.
        let _ = tokio::time::timeout(SETTLE_TIMEOUT, settled).await;
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        if !self.maybe_sent.load(Ordering::Relaxed) {
            self.shared.notify_control(Input::Settle { key: self.key, attempt: self.attempt, stored: None });
        }
    }
}

/// The answer to a request whose claim was not granted; nothing is run for it.
enum EarlyAnswer {
    Problem(Problem),
    Stored(StoredAnswer),
}

/// Runs a request at most once.
///
/// # Errors
/// A [`Problem`]. Its outcome is `not-run` only if no byte of the request was sent to an upstream.
pub async fn serve(
    shared: &Arc<Shared>,
    client: &Client,
    mut pending: PendingRequest,
) -> Result<Response<Body>, Problem> {
    let Some(key) = pending.key else {
        let maybe_sent = Arc::default();
        let sent = send(shared, client, &mut pending, &maybe_sent, None).await;
        return sent.map(|(response, _)| with_permit_wait(response, pending.waited));
    };
    let fingerprint = fingerprint(&pending.call);
    let claim = match Claim::acquire(shared, key, pending.attempt).await {
        Ok(claim) => claim,
        Err(EarlyAnswer::Problem(problem)) => return Err(problem),
        Err(EarlyAnswer::Stored(stored)) if stored.print != fingerprint => return Err(InvalidRequest::KeyReused.into()),
        Err(EarlyAnswer::Stored(stored)) => return replay(stored),
    };
    pending.call.fence = Some(claim.fence);
    let (response, stored) = send(shared, client, &mut pending, &claim.maybe_sent, Some(&claim)).await?;
    claim.settle(stored).await;
    Ok(with_permit_wait(response, pending.waited))
}

/// Sends the request to the first upstream that accepts a connection, and waits for the complete answer.
async fn send(
    shared: &Arc<Shared>,
    client: &Client,
    pending: &mut PendingRequest,
    maybe_sent: &AtomicBool,
    claim: Option<&Claim>,
) -> Result<(Response<Body>, StoredAnswer), Problem> {
    let deadline = pending.deadline;
    let work = async {
        let mut refused_before = false;
        for _ in 0..MAX_TRIES {
            let mut permit = Permit::new(shared.clone(), pending.next_attempt());
            let (endpoint, grant) = match pending.acquire_permit(shared, &permit).await {
                Ok(granted) => granted,
                Err(_) if refused_before => return Err(Unknown::IncompleteAnswer.into()),
                Err(refusal) => return Err(refusal.into()),
            };
            if claim.is_some_and(|claim| shared.now().since(claim.claimed_at) >= CLAIM_SEND_TIMEOUT) {
                return Err(no_more_tries(refused_before, Reason::Deadline));
            }
            pending.prepare_call(shared, &grant, false);
            let answer = client.send_once(&endpoint, &pending.call, || maybe_sent.store(true, Ordering::Relaxed)).await;
            match answer {
                Ok(response) => {
                    return collect(client, &endpoint, response, permit, fingerprint(&pending.call)).await;
                }
                Err(Failure::Unreachable) => {
                    permit.fail(true);
                    pending.avoid.push(grant.upstream);
                }
                Err(Failure::Refused) => {
                    permit.fail(false);
                    refused_before = true;
                    pending.avoid.push(grant.upstream);
                }
                Err(Failure::Incomplete) => {
                    permit.fail(false);
                    return Err(Unknown::IncompleteAnswer.into());
                }
            }
        }
        Err(no_more_tries(refused_before, Reason::NoUpstream))
    };
    let result = shared.clock.with_deadline(deadline, work).await;
    result
        .unwrap_or_else(|_| {
            if maybe_sent.load(Ordering::Relaxed) {
                return Err(Unknown::Deadline.into());
            }
            Err(Refusal::new(Reason::Deadline, DEFAULT_RETRY_AFTER).into())
        })
        .inspect(|_| shared.metrics.count(Outcome::Ok))
}

/// The answer when no further upstream is tried. If an upstream received the request and refused it, the outcome is
/// `unknown`: that the request was not run is only the upstream's statement, which the fleet can't guarantee.
fn no_more_tries(refused_before: bool, reason: Reason) -> Problem {
    if refused_before {
        return Unknown::IncompleteAnswer.into();
    }
    Refusal::new(reason, DEFAULT_RETRY_AFTER).into()
}

/// Reads the complete answer. If it is incomplete or too large, the outcome of the request is unknown.
async fn collect(
    client: &Client,
    endpoint: &Endpoint,
    response: Response<Incoming>,
    mut permit: Permit,
    fingerprint: id::Print,
) -> Result<(Response<Body>, StoredAnswer), Problem> {
    let end = End::of(&response);
    let (head, body) = response.into_parts();
    let collected = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
    let Ok(body) = collected else {
        permit.fail(false);
        return Err(Unknown::IncompleteAnswer.into());
    };
    let body = body.to_bytes();
    if !end.is_shown(client, endpoint, body.len()).await {
        permit.fail(false);
        return Err(Unknown::IncompleteAnswer.into());
    }
    permit.succeed();
    let stored = stored(fingerprint, head.status, &head.headers, &body);
    let mut response = Response::new(Body::complete(body));
    *response.status_mut() = head.status;
    *response.headers_mut() = forwarded_headers(&head.headers);
    Ok((response, stored))
}

fn stored(fingerprint: id::Print, status: StatusCode, headers: &HeaderMap, body: &Bytes) -> StoredAnswer {
    let content_type = headers.get(header::CONTENT_TYPE).and_then(|value| value.to_str().ok());
    StoredAnswer {
        print: fingerprint,
        status: status.as_u16(),
        content_type: content_type.unwrap_or("application/octet-stream").to_owned(),
        body: String::from_utf8(body.to_vec()).ok(),
    }
}

/// The fingerprint of a request's method, path and body. It detects that a key is used again for a different request.
fn fingerprint(call: &Call) -> id::Print {
    let mut hasher = blake3::Hasher::new();
    hasher.update(call.method.as_str().as_bytes());
    hasher.update(b" ");
    hasher.update(call.path.as_bytes());
    hasher.update(b"\n");
    for part in call.body.parts() {
        hasher.update(part);
    }
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    id::Print(u64::from_be_bytes(bytes))
}

/// Repeats the stored answer to an earlier request with the same key.
fn replay(stored: StoredAnswer) -> Result<Response<Body>, Problem> {
    let Some(body) = stored.body else {
        return Err(Unknown::AnswerNotStored.into());
    };
    let mut response = Response::new(Body::complete(body));
    *response.status_mut() = StatusCode::from_u16(stored.status).unwrap_or(StatusCode::OK);
    let headers = response.headers_mut();
    if let Ok(content_type) = HeaderValue::try_from(stored.content_type) {
        headers.insert(header::CONTENT_TYPE, content_type);
    }
    headers.insert("stairvale-replayed", HeaderValue::from_static("?1"));
    Ok(response)
}
