//! Binds a stream to the version that began it, within its answer and for clients that take it up again.

use std::time::Duration;

use stairvale_table as table;
use stairvale_types::id;

use super::{Exchange, millis};
use crate::{
    Dialect, Shared,
    core::{Lookup, RETURN_TIME, Reply},
    fingerprint,
    frame::{Finding, Origin},
    permit::{Permit, next},
    problem::Problem,
};

/// How long peers have to answer what they know of a stream, a new connection to them included.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(150);

/// A question to peers, which is closed on drop.
struct Question<'a> {
    shared: &'a Shared,
    attempt: id::Attempt,
}

impl Drop for Question<'_> {
    fn drop(&mut self) {
        self.shared.close_replies(self.attempt);
    }
}

impl<D: Dialect> Exchange<D> {
    /// Finds where a stream began that the client takes up again.
    ///
    /// # Errors
    /// [`Problem::UnknownStream`] if no router in reach knows, and upstreams of several versions may have served.
    pub(super) async fn find_origin(&mut self) -> Result<(), Problem> {
        if !self.is_resumable() || self.head.last_event.is_none() {
            return Ok(());
        }
        let stream = self.head.resumes.as_deref().map(|first| self.stream(first));
        let attempt = id::Attempt(uuid::Uuid::new_v4().as_u128());
        let mut replies = self.shared.open_replies(attempt);
        let _question = Question { shared: &self.shared, attempt };
        let mut lookup = Lookup::Asked(0);
        self.shared.with(|core, now| {
            let (found, effects) = core.find_stream(now, &self.service, stream, attempt);
            lookup = found;
            effects
        });
        let asked = match lookup {
            Lookup::Known(origin) => {
                self.log_lookup("stream-known", 0, 0);
                self.origin = Some(origin);
                return Ok(());
            }
            Lookup::SingleVersion(origin) => {
                self.log_lookup("stream-any-version", 0, 0);
                self.origin = Some(origin);
                return Ok(());
            }
            Lookup::Asked(peers) => peers,
        };
        let (mut answered, mut presumed) = (0, Vec::new());
        let end = self.shared.now() + LOOKUP_TIMEOUT.min(self.time_left());
        for _ in 0..asked {
            match next(&mut replies, end.since(self.shared.now())).await {
                Some(Reply::StreamFound(Finding::Recorded(origin))) => {
                    self.log_lookup("stream-found", asked, answered + 1);
                    self.origin = Some(origin);
                    return Ok(());
                }
                Some(Reply::StreamFound(Finding::SingleVersion(origin))) => {
                    answered += 1;
                    presumed.push(origin);
                }
                Some(Reply::StreamFound(Finding::Unknown)) => answered += 1,
                Some(Reply::Waits | Reply::Decided(_)) => {}
                None => break,
            }
        }
        if let Some(origin) = presumed.pop()
            && presumed.iter().all(|other| *other == origin)
            && self.shared.query(|core, _| core.knows_no_other_version(&self.service, &origin))
        {
            self.log_lookup("stream-any-version", asked, answered);
            self.origin = Some(origin);
            return Ok(());
        }
        self.log_lookup("stream-unknown", asked, answered);
        let retry_after = self.shared.query(|core, _| core.retry_unknown_after(answered == asked));
        Err(Problem::UnknownStream { retry_after })
    }

    /// Counts and logs how the search for a stream's origin ended: `asked` peers were asked, and `answered` replied.
    fn log_lookup(&self, result: &'static str, asked: usize, answered: usize) {
        self.shared.metrics.count(result);
        let known = self.shared.query(|core, now| core.version_knowledge(now, &self.service));
        tracing::info!(
            id = self.head.id, route = self.route.name, service = %self.service, resumes = self.head.resumes, result,
            asked, answered, versions_seen = known.seen, versions_listed = known.listed,
            versions_complete = known.is_complete,
            uptime_ms = millis(known.uptime), copy_age_ms = known.copy_age.map(millis), "a client takes up a stream"
        );
    }

    /// Records where a stream began, when its first event has arrived.
    pub(super) fn record_origin(&mut self, permit: &Permit) {
        if !self.is_resumable() {
            return;
        }
        let origin = self.origin.get_or_insert_with(|| Origin { version: permit.upstream.version.clone() }).clone();
        let resumed = self.head.resumes.as_deref().filter(|_| self.head.last_event.is_some());
        let stream = self.stream(resumed.unwrap_or(&self.head.id));
        let lasts = self.time_left() + RETURN_TIME;
        self.shared.with(|core, now| core.record_stream(now, &self.service, stream, origin, lasts));
    }

    /// The upstreams at which this stream must not be continued.
    ///
    /// # Errors
    /// A [`Problem`] if no upstream is left.
    pub(super) fn upstreams_of_other_versions(&self) -> Result<Vec<id::Upstream>, Problem> {
        let Some(origin) = &self.origin else {
            return Ok(Vec::new());
        };
        self.shared.query(|core, _| {
            if core.has_upstream_for(&self.service, origin, &self.attempts.avoid) {
                return Ok(core.upstreams_of_other_versions(&self.service, origin));
            }
            let retry_after = core.retry_version_after(&self.service, origin);
            let unavailable = Problem::VersionUnavailable { retry_after };
            Err(if self.attempts.runs > 0 { Problem::UpstreamFailed } else { unavailable })
        })
    }

    fn is_resumable(&self) -> bool {
        self.route.kind == table::Kind::Stream && self.route.resumable
    }

    /// The stream whose first event a client's attempt brought.
    fn stream(&self, first_attempt: &str) -> id::Stream {
        fingerprint::stream(&self.service, self.customer.as_ref(), first_attempt)
    }
}
