//! Requests that must not be repeated: claimed first if they carry a key, sent once, and their answer kept.

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
use stairvale_wire::{ClaimVerdict, Stored};

use crate::{
    Problem, Shared,
    body::Body,
    caller::{Ready, with_wait},
    guard::Permit,
    metrics::Outcome,
    problem::{Bad, Unknown},
    shared::Command,
    upstream::{Call, Client, Failure, pass_on},
};

/// The largest answer to a request that must not be repeated, in bytes.
const MAX_ANSWER: usize = 1 << 20;
/// A claim older than this is not sent: claims are kept far longer, so no other can hold the key meanwhile.
const SEND_BY: Duration = Duration::from_secs(60);
/// Upstreams that are tried for a connection.
const TRIES: u32 = 3;
/// An answer in hand waits no longer than this for the claim's keeper to know it.
const NOTED_BY: Duration = Duration::from_secs(1);
/// When to come back if the router has no answer from its own control thread.
const RETRY_STOPPING: Duration = Duration::from_secs(1);

/// A claim. Dropped before the first byte left, it is given back.
#[derive(Debug)]
struct Claim {
    shared: Arc<Shared>,
    key: id::Key,
    attempt: id::Attempt,
    fence: u64,
    since: Moment,
    offered: Arc<AtomicBool>,
}

impl Claim {
    async fn take(shared: &Arc<Shared>, key: id::Key, attempt: id::Attempt) -> Result<Self, Answered> {
        let since = shared.now();
        let offered = Arc::default();
        let mut claim = Self { shared: shared.clone(), key, attempt, fence: 0, since, offered };
        let verdict = shared.ask(|reply| Command::Claim(key, attempt, reply)).await;
        // Whatever happens to this claim from here on, only `Yours` leaves anything to give back.
        match verdict {
            Some(ClaimVerdict::Yours { fence }) => {
                claim.fence = fence;
                return Ok(claim);
            }
            Some(ClaimVerdict::Running) => Err(Answered::Problem(Unknown::Claimed.into())),
            Some(ClaimVerdict::Ran(stored)) => Err(Answered::Stored(stored)),
            Some(ClaimVerdict::Unavailable { retry_after }) => {
                Err(Answered::Problem(Refusal::new(Reason::Platform, retry_after).into()))
            }
            None => Err(Answered::Problem(Refusal::new(Reason::NotReady, RETRY_STOPPING).into())),
        }
        .inspect_err(|_| claim.offered.store(true, Ordering::Relaxed))
    }

    /// Tells the claim's keeper the answer, and waits until it knows it: a caller that has the answer gets the same one
    /// again from any router.
    async fn settle(&self, stored: Stored) {
        let noted = self.shared.ask(|reply| Command::Settle(self.key, self.attempt, stored, reply));
        // Without a keeper the answer goes out all the same: it is whole, and whoever repeats the key is told `unknown`.
        let _ = tokio::time::timeout(NOTED_BY, noted).await;
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        if !self.offered.load(Ordering::Relaxed) {
            self.shared.tell(Input::Settle { key: self.key, attempt: self.attempt, stored: None });
        }
    }
}

/// What is known without running anything.
enum Answered {
    Problem(Problem),
    Stored(Stored),
}

/// Runs a request at most once.
///
/// # Errors
/// A [`Problem`]; `not-run` only if no byte of the request left.
pub async fn serve(shared: &Arc<Shared>, client: &Client, mut ready: Ready) -> Result<Response<Body>, Problem> {
    let Some(key) = ready.key else {
        let offered = Arc::default();
        let sent = send(shared, client, &mut ready, &offered, None).await;
        return sent.map(|(response, _)| with_wait(response, ready.waited));
    };
    let print = print(&ready.call);
    let claim = match Claim::take(shared, key, ready.attempt).await {
        Ok(claim) => claim,
        Err(Answered::Problem(problem)) => return Err(problem),
        Err(Answered::Stored(stored)) if stored.print != print => return Err(Bad::KeyReused.into()),
        Err(Answered::Stored(stored)) => return replay(stored),
    };
    ready.call.fence = Some(claim.fence);
    let (response, stored) = send(shared, client, &mut ready, &claim.offered, Some(&claim)).await?;
    claim.settle(stored).await;
    Ok(with_wait(response, ready.waited))
}

/// Sends the request to the first upstream that takes a connection, and waits for the whole answer.
async fn send(
    shared: &Arc<Shared>,
    client: &Client,
    ready: &mut Ready,
    offered: &AtomicBool,
    claim: Option<&Claim>,
) -> Result<(Response<Body>, Stored), Problem> {
    let deadline = ready.deadline;
    let work = async {
        let mut refused = false;
        for _ in 0..TRIES {
            let mut permit = Permit::new(shared.clone(), ready.next_attempt());
            let (place, grant) = match ready.ask(shared, &permit).await {
                Ok(granted) => granted,
                Err(_) if refused => return Err(Unknown::Broken.into()),
                Err(refusal) => return Err(refusal.into()),
            };
            if claim.is_some_and(|claim| shared.now().since(claim.since) >= SEND_BY) {
                return Err(nothing_left(refused, Reason::Deadline));
            }
            ready.prepare(shared, &grant, false);
            let answer = client.ask_once(&place, &ready.call, || offered.store(true, Ordering::Relaxed)).await;
            match answer {
                Ok(response) => return collect(response, permit, print(&ready.call)).await,
                Err(Failure::Unreachable) => {
                    permit.fail(true);
                    ready.avoid.push(grant.upstream);
                }
                Err(Failure::Refusing) => {
                    permit.fail(false);
                    refused = true;
                    ready.avoid.push(grant.upstream);
                }
                Err(Failure::Broken) => {
                    permit.fail(false);
                    return Err(Unknown::Broken.into());
                }
            }
        }
        Err(nothing_left(refused, Reason::NoUpstream))
    };
    let result = shared.clock.before(deadline, work).await;
    result
        .unwrap_or_else(|_| {
            if offered.load(Ordering::Relaxed) {
                return Err(Unknown::Deadline.into());
            }
            Err(Refusal::new(Reason::Deadline, RETRY_STOPPING).into())
        })
        .inspect(|_| shared.metrics.count(Outcome::Ok))
}

/// The answer once no upstream is left to try. If one had the request, only its own word says that it did not run it, and
/// so the fleet doesn't say it.
fn nothing_left(refused: bool, reason: Reason) -> Problem {
    if refused {
        return Unknown::Broken.into();
    }
    Refusal::new(reason, RETRY_STOPPING).into()
}

/// The whole answer; anything less leaves the request's fate unknown.
async fn collect(
    response: Response<Incoming>,
    mut permit: Permit,
    print: id::Print,
) -> Result<(Response<Body>, Stored), Problem> {
    let (head, body) = response.into_parts();
    let collected = Limited::new(body, MAX_ANSWER).collect().await;
    let Ok(body) = collected else {
        permit.fail(false);
        return Err(Unknown::Broken.into());
    };
    permit.succeed();
    let body = body.to_bytes();
    let stored = stored(print, head.status, &head.headers, &body);
    let mut response = Response::new(Body::whole(body));
    *response.status_mut() = head.status;
    *response.headers_mut() = pass_on(&head.headers);
    Ok((response, stored))
}

fn stored(print: id::Print, status: StatusCode, headers: &HeaderMap, body: &Bytes) -> Stored {
    let content_type = headers.get(header::CONTENT_TYPE).and_then(|value| value.to_str().ok());
    Stored {
        print,
        status: status.as_u16(),
        content_type: content_type.unwrap_or("application/octet-stream").to_owned(),
        body: String::from_utf8(body.to_vec()).ok(),
    }
}

/// What tells a request from another one that has the same key: its method, path and body.
fn print(call: &Call) -> id::Print {
    let mut hasher = blake3::Hasher::new();
    hasher.update(call.method.as_str().as_bytes());
    hasher.update(b" ");
    hasher.update(call.path.as_bytes());
    hasher.update(b"\n");
    hasher.update(&call.body);
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    id::Print(u64::from_be_bytes(bytes))
}

/// The answer that an earlier request with this key got.
fn replay(stored: Stored) -> Result<Response<Body>, Problem> {
    let Some(body) = stored.body else {
        return Err(Unknown::NotKept.into());
    };
    let mut response = Response::new(Body::whole(body));
    *response.status_mut() = StatusCode::from_u16(stored.status).unwrap_or(StatusCode::OK);
    let headers = response.headers_mut();
    if let Ok(content_type) = HeaderValue::try_from(stored.content_type) {
        headers.insert(header::CONTENT_TYPE, content_type);
    }
    headers.insert("stairvale-replayed", HeaderValue::from_static("?1"));
    Ok(response)
}
