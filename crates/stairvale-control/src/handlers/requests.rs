//! Callers' requests at their entry: choice of candidate upstreams, permits, and release.

use std::time::Duration;

use stairvale_config::Kind;
use stairvale_permit::{
    request::{Directory, Effect, UpstreamRequest},
    rules::Answer as HomeAnswer,
};
use stairvale_placement::choice::Estimate;
use stairvale_types::{Reason, Refusal, id};
use stairvale_wire::{Frame, Profile, Verdict, frame::token_cost};

use crate::{Node, Output, io::Request, node::Policy};

/// Retry delay given to callers when the retry budget is spent or the service isn't configured at this router.
const RETRY_AFTER: Duration = Duration::from_secs(2);

impl Node {
    pub(crate) fn request(&mut self, request: Request) {
        let attempt = request.attempt;
        self.explain.begin(self.now, attempt, &request.profile);
        if request.retry && !self.budget(&request.profile.service).spend() {
            self.refuse(attempt, Refusal::new(Reason::Budget, RETRY_AFTER));
            return;
        }
        self.attempt_services.insert(attempt, request.profile.service.clone());
        let Some(upstream_request) = self.upstream_request(request) else {
            self.refuse(attempt, Refusal::new(Reason::NotReady, RETRY_AFTER));
            return;
        };
        let effects = self.entry.request_upstream(self.now, &self.fleet, upstream_request);
        self.entry_effects(effects);
    }

    pub(crate) fn upstream_request(&mut self, request: Request) -> Option<UpstreamRequest> {
        let service = self.fleet.service(&request.profile.service)?.clone();
        let is_fleet = self.policy == Policy::Fleet;
        let prefix_affinity = service.kind == Kind::Model && matches!(self.policy, Policy::Fleet | Policy::Hash);
        let random = self.random();
        let key = request.profile.chat.filter(|_| prefix_affinity).map_or(random, |chat| chat.0);
        let mut candidates = self.fleet.rank(&request.profile.service, key);
        candidates.retain(|upstream| !request.avoid.contains(upstream));
        if self.policy == Policy::LeastLoaded {
            self.prefer_emptiest(&request.profile.service, &mut candidates);
        }
        let transfers = is_fleet && service.transfer_us_per_token > 0;
        let estimate = Estimate {
            prefill: token_cost(request.prompt, service.prefill_us_per_token),
            transfer: transfers.then(|| token_cost(request.prompt, service.transfer_us_per_token)),
            max_prefix_wait: if is_fleet { service.prefix_wait } else { Duration::ZERO },
            deadline: request.deadline,
        };
        let chat = request.profile.chat.filter(|_| prefix_affinity && is_fleet);
        let returning = request.profile.returning && prefix_affinity;
        let profile = Profile { chat, returning, ..request.profile };
        Some(UpstreamRequest { attempt: request.attempt, profile, estimate, candidates })
    }

    /// Puts one of the least loaded engines first. The engine is chosen at random among them, so that routers don't all
    /// send their requests to the same one.
    pub(crate) fn prefer_emptiest(&mut self, service: &id::Service, candidates: &mut [id::Upstream]) {
        let random = usize::try_from(self.random() >> 1).unwrap_or(0);
        let Some(emptiest) = self.emptiest.get(service).filter(|emptiest| !emptiest.is_empty()) else {
            return;
        };
        let (pick, _) = &emptiest[random % emptiest.len()];
        if let Some(index) = candidates.iter().position(|candidate| candidate == pick) {
            candidates.swap(0, index);
        }
    }

    pub(crate) fn refuse(&mut self, attempt: id::Attempt, refusal: Refusal) {
        self.attempt_services.remove(&attempt);
        self.explain.refused(attempt, refusal, &[]);
        self.outputs.push(Output::Refused { attempt, refusal });
    }

    pub(crate) fn end(&mut self, attempt: id::Attempt, success: Option<bool>, unreachable: bool) {
        let upstream = self.entry.upstream_of(attempt).cloned();
        if let (Some(service), Some(true)) = (self.attempt_services.remove(&attempt), success) {
            self.budget(&service).earn();
        }
        if let Some(upstream) = upstream {
            if unreachable {
                self.fleet.upstreams.record_connection_failure(self.now, &upstream);
                if let Some(home) = self.fleet.home(&upstream, 0) {
                    self.send(&home, Frame::Trouble { upstream });
                }
            } else if success == Some(true) {
                self.fleet.upstreams.succeeded(&upstream);
            }
        }
        let effects = self.entry.end(attempt);
        self.entry_effects(effects);
    }

    pub(crate) fn entry_effects(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Ask { to, ask } => self.send(&to, Frame::Ask(ask)),
                Effect::Forget { to, upstream, attempt } => self.send(&to, Frame::Forget { upstream, attempt }),
                Effect::Release { to, upstream, attempt } => {
                    self.send(&to, Frame::Release { upstream, attempts: vec![attempt] });
                }
                Effect::Renew { to, held } => {
                    self.send(&to, Frame::Renew { held });
                }
                Effect::Moved { to, chat, first, upstream } => {
                    self.send(&to, Frame::Moved { chat, first, to: upstream });
                }
                Effect::Granted(grant) => {
                    self.explain.granted(grant.attempt, &grant.upstream, &grant.steps);
                    self.outputs.push(Output::Granted(grant));
                }
                Effect::Refused { attempt, refusal, steps } => {
                    self.refuse(attempt, refusal);
                    self.explain.refused(attempt, refusal, &steps);
                }
            }
        }
    }

    pub(crate) fn send_answers(&mut self, answers: Vec<HomeAnswer>) {
        for HomeAnswer { to, upstream, attempt, mut verdict } in answers {
            if let Verdict::NotHome { home } = &mut verdict {
                *home = self.fleet.home(&upstream, 0).filter(|home| home != &self.me);
            }
            self.send(&to, Frame::Answer { upstream, attempt, verdict });
        }
    }
}
