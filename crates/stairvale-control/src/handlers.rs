//! What a node does with each input.

use std::time::Duration;

use stairvale_claim::{Shard, shard, shard_of};
use stairvale_config::{Generation, Kind, Manifest};
use stairvale_membership::swim;
use stairvale_permit::{
    entry::{Directory, Effect, Want},
    home::{Answer as HomeAnswer, Rules},
};
use stairvale_placement::choice::Estimate;
use stairvale_types::{Reason, Refusal, id};
use stairvale_wire::{
    Ask, ClaimVerdict, Frame, Stored, Verdict, Vm, Word,
    frame::rebuild,
    packet::{Role, State},
};

use crate::{
    Event, Input, Node, Output, apply, generation,
    io::{Action, Answer, Call, Purpose, Report, Request},
    node::{Claiming, Policy, TICK, Unsettled},
    orders, sums,
};

/// How often a home probes its upstreams.
const PROBE_EVERY: Duration = Duration::from_millis(200);
/// A probe that isn't answered by then counts as missed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(600);
/// Missed probes in a row after which an upstream counts as unreachable.
const MISSES: u32 = 2;
/// How often an availability zone asks the platform for its list.
const VMS_EVERY: Duration = Duration::from_millis(500);
/// How often a router without a configuration asks for one.
const MANIFEST_EVERY: Duration = Duration::from_millis(500);
/// A watch begins anew this long after the last one ended, so that an outage isn't stormed.
const WATCH_EVERY: Duration = Duration::from_millis(200);
/// A peer's hint of a newer list is followed this often at the most.
const HINT_EVERY: Duration = Duration::from_millis(100);
/// A claim's answer later than this is not used.
const CLAIM_VALID: Duration = Duration::from_secs(5);
/// Settled claims are told to the keeper this many times, a second apart; telling twice changes nothing.
const SETTLE_TRIES: u8 = 3;
const SETTLE_EVERY: Duration = Duration::from_secs(1);
/// When to come back once the retry budget is spent.
const RETRY_BUDGET: Duration = Duration::from_secs(2);

impl Node {
    pub(crate) fn dispatch(&mut self, input: Input) {
        match input {
            Input::Tick => self.tick(),
            Input::Frame { from, frame } => self.frame(&from, frame),
            Input::Datagram { from, packet } => {
                let effects = self.fleet.swim.receive(self.now, from, packet);
                self.rejoining = false;
                self.swim_effects(effects);
            }
            Input::PeerUnreachable(router) => self.peer_unreachable(&router),
            Input::Request(request) => self.request(request),
            Input::End { attempt, success, unreachable } => self.end(attempt, success, unreachable),
            Input::Claim { key, attempt } => self.claim(key, attempt),
            Input::Settle { key, attempt, stored } => self.settle(key, attempt, stored),
            Input::Probed { upstream, report } => self.probed(&upstream, report),
            Input::Store { purpose, answer } => self.stored(purpose, answer),
            Input::Vms(Some((revision, vms))) => self.vms(revision, &vms),
            Input::Vms(None) => {}
            Input::Accepted { manifest, chunks } => self.accepted(*manifest, chunks),
            Input::Ordered { upstream, taken } => self.ordered(&upstream, taken),
            Input::Leave => self.leave(),
        }
    }

    // ------------------------------------------------------------------------
    // Time.

    fn tick(&mut self) {
        self.schedule.ticked = Some(self.now);
        let effects = self.fleet.swim.tick(self.now);
        self.swim_effects(effects);
        self.tick_upstreams();
        let answers = self.home.tick(self.now);
        self.answers(answers);
        let effects = self.entry.tick(self.now, &self.fleet);
        self.entry_effects(effects);
        self.tick_sums();
        self.tick_claims();
        self.tick_config();
        self.tick_orders();
    }

    fn tick_upstreams(&mut self) {
        self.fleet.upstreams.tick(self.now);
        let forgotten = self.fleet.upstreams.forget(self.now);
        for upstream in &forgotten {
            self.home.forget_upstream(upstream);
        }
        if !forgotten.is_empty() {
            self.refresh();
        }
        let due: Vec<_> = self.probing.iter().filter(|(_, p)| self.is_probe_due(p)).map(|(u, _)| u.clone()).collect();
        for upstream in due {
            self.probe(&upstream);
        }
        let homed: Vec<_> = self.home.upstreams().cloned().collect();
        for upstream in homed {
            self.sync_open(&upstream);
        }
    }

    fn is_probe_due(&self, probing: &crate::node::Probing) -> bool {
        let wait = if probing.pending { PROBE_TIMEOUT } else { PROBE_EVERY };
        probing.asked.is_none_or(|asked| self.now.since(asked) >= wait)
    }

    fn tick_sums(&mut self) {
        let loads = self.home.services().iter().map(|service| self.home.load(self.now, service)).collect();
        let zone = self.fleet.zone().clone();
        let effects = self.sums.tick(self.now, &zone, loads);
        for effect in effects {
            self.sum_effect(&zone, effect);
        }
    }

    fn sum_effect(&mut self, zone: &id::Zone, effect: sums::Effect) {
        match effect {
            sums::Effect::Report(load) => {
                if let Some(to) = self.fleet.holder(load.service.as_str(), zone) {
                    self.send(&to, Frame::Load(load));
                }
            }
            sums::Effect::ZoneSum(load) => {
                let others = self.fleet.near_zones().into_iter().filter(|other| other != zone);
                let holders = others.filter_map(|other| self.fleet.holder(load.service.as_str(), &other));
                for to in holders.collect::<Vec<_>>() {
                    self.send(&to, Frame::Load(load.clone()));
                }
            }
            sums::Effect::Mean { to, service, outstanding, engines, emptiest } => {
                self.send(&to, Frame::Mean { service, outstanding, engines, emptiest });
            }
        }
    }

    fn tick_claims(&mut self) {
        for number in self.shards.keys().copied().collect::<Vec<_>>() {
            let Some(shard) = self.shards.get_mut(&number) else {
                continue;
            };
            let effects = shard.tick(self.now, self.now_ms);
            self.shard_effects(number, effects);
        }
        let overdue = self.claiming.iter().filter(|(_, claiming)| self.now.since(claiming.asked) >= CLAIM_VALID);
        let overdue: Vec<_> = overdue.map(|(attempt, claiming)| (*attempt, claiming.key)).collect();
        self.abandon_claims(overdue);
        let now = self.now;
        let due: Vec<_> = self.unsettled.iter().filter(|u| now.since(u.sent) >= SETTLE_EVERY).cloned().collect();
        for settled in due {
            self.send_settled(&settled);
        }
        for settled in self.unsettled.iter_mut().filter(|u| now.since(u.sent) >= SETTLE_EVERY) {
            settled.sent = now;
            settled.left -= 1;
        }
        self.unsettled.retain(|settled| settled.left > 0);
    }

    /// Claims whose keeper doesn't answer are given up: nothing runs, and should they stand they are given back.
    fn abandon_claims(&mut self, claims: Vec<(id::Attempt, id::Key)>) {
        for (attempt, key) in claims {
            let verdict = ClaimVerdict::Unavailable { retry_after: SETTLE_EVERY };
            self.outputs.push(Output::Claimed { attempt, verdict });
            self.settle(key, attempt, None);
        }
    }

    fn tick_config(&mut self) {
        let peer = self.random_peer();
        let effects = self.config.tick(self.now, peer.as_ref());
        self.config_effects(effects);
        let none = self.config.generation() == Generation(0);
        let due = self.schedule.manifest.is_none_or(|at| self.now.since(at) >= MANIFEST_EVERY);
        if none && due {
            self.schedule.manifest = Some(self.now);
            if let Some(peer) = peer {
                self.send(&peer, Frame::FetchManifest);
            }
        }
        let zone = self.fleet.zone().clone();
        let watches = none || self.fleet.holder("config", &zone).as_ref() == Some(&self.me);
        if watches && !self.schedule.watching && self.now >= self.schedule.watch_after {
            self.schedule.watching = true;
            let action = Action::Watch { revision: self.schedule.manifest_revision };
            self.call(Purpose::Manifest, apply::MANIFEST_KEY.to_owned(), action);
        }
        self.tick_vms(&zone);
    }

    fn tick_vms(&mut self, zone: &id::Zone) {
        let due = self.schedule.vms.is_none_or(|at| self.now.since(at) >= VMS_EVERY);
        let asks = self.fleet.upstreams.revision() == 0 || self.fleet.holder("vms", zone).as_ref() == Some(&self.me);
        if due && asks {
            self.schedule.vms = Some(self.now);
            self.outputs.push(Output::FetchVms);
        }
    }

    fn tick_orders(&mut self) {
        let zone = self.fleet.zone().clone();
        let chosen = !self.leaving && self.fleet.holder("orders", &zone).as_ref() == Some(&self.me);
        if let Some(wish) = self.orders.tick(self.now, chosen) {
            let revision = match wish {
                orders::Wish::Acquire => 0,
                orders::Wish::Renew => 1,
            };
            let action = Action::Write { value: self.me.to_string(), revision };
            self.call(Purpose::Orders, format!("orders/{zone}"), action);
        }
        if self.orders.holds(self.now).is_none() {
            return;
        }
        let needs = self.order_needs(&zone);
        if let Some(order) = self.orders.next(self.now, &needs) {
            let model = format!("{}@{}", order.load.model, order.load.version);
            self.audit(Event::Ordered { upstream: order.upstream.clone(), model, token: order.token });
            self.outputs.push(Output::Order(order));
        }
    }

    /// Engines of this zone that have another model than the configuration says, as far as this router probes them.
    fn order_needs(&self, zone: &id::Zone) -> Vec<orders::Need> {
        let engines = self.fleet.upstreams.iter().filter(|u| &u.zone == zone);
        let need = |upstream: &stairvale_membership::upstreams::Upstream| {
            let service = self.fleet.service(&upstream.service)?;
            let loaded = self.probing.get(&upstream.name)?.loaded.as_ref()?;
            let load = orders::Loaded { model: service.model.clone()?, version: service.version.clone()? };
            let checks = service.checks_orders;
            (loaded != &load).then(|| orders::Need {
                upstream: upstream.name.clone(),
                address: upstream.address,
                load,
                checks,
            })
        };
        engines.filter_map(need).collect()
    }

    // ------------------------------------------------------------------------
    // Requests.

    fn request(&mut self, request: Request) {
        let attempt = request.attempt;
        self.explain.begin(self.now, attempt, &request.service, &request.customer, request.chat);
        if request.retry && !self.budget(&request.service).spend() {
            self.refuse(attempt, Refusal::new(Reason::Budget, RETRY_BUDGET));
            return;
        }
        self.services.insert(attempt, request.service.clone());
        let Some(want) = self.want(request) else {
            self.refuse(attempt, Refusal::new(Reason::NotReady, RETRY_BUDGET));
            return;
        };
        let effects = self.entry.want(self.now, &self.fleet, want);
        self.entry_effects(effects);
    }

    fn want(&mut self, request: Request) -> Option<Want> {
        let service = self.fleet.service(&request.service)?.clone();
        let is_fleet = self.policy == Policy::Fleet;
        let keeps_prefix = service.kind == Kind::Model && matches!(self.policy, Policy::Fleet | Policy::Hash);
        let random = self.random();
        let key = request.chat.filter(|_| keeps_prefix).map_or(random, |chat| chat.0);
        let mut candidates = self.fleet.rank(&request.service, key);
        candidates.retain(|upstream| !request.avoid.contains(upstream));
        if self.policy == Policy::LeastLoaded {
            self.prefer_emptiest(&request.service, &mut candidates);
        }
        let moves = is_fleet && service.transfer_us_per_token > 0;
        let estimate = Estimate {
            rebuild: rebuild(request.prompt, service.prefill_us_per_token),
            transfer: moves.then(|| rebuild(request.prompt, service.transfer_us_per_token)),
            allowed: if is_fleet { service.prefix_wait } else { Duration::ZERO },
            deadline: request.deadline,
        };
        Some(Want {
            attempt: request.attempt,
            service: request.service,
            customer: request.customer,
            weight: request.weight,
            class: request.class,
            chat: request.chat.filter(|_| keeps_prefix && is_fleet),
            returning: request.returning && keeps_prefix,
            estimate,
            candidates,
        })
    }

    /// Puts one of the emptiest engines first; which one is left to chance, so that routers don't all rush to it.
    fn prefer_emptiest(&mut self, service: &id::Service, candidates: &mut [id::Upstream]) {
        let random = usize::try_from(self.random() >> 1).unwrap_or(0);
        let Some(hints) = self.hints.get(service).filter(|hints| !hints.is_empty()) else {
            return;
        };
        let (pick, _) = &hints[random % hints.len()];
        if let Some(index) = candidates.iter().position(|candidate| candidate == pick) {
            candidates.swap(0, index);
        }
    }

    fn refuse(&mut self, attempt: id::Attempt, refusal: Refusal) {
        self.services.remove(&attempt);
        self.explain.refused(attempt, refusal, &[]);
        self.outputs.push(Output::Refused { attempt, refusal });
    }

    fn end(&mut self, attempt: id::Attempt, success: Option<bool>, unreachable: bool) {
        let upstream = self.entry.upstream_of(attempt).cloned();
        if let (Some(service), Some(true)) = (self.services.remove(&attempt), success) {
            self.budget(&service).earn();
        }
        if let Some(upstream) = upstream {
            if unreachable {
                self.fleet.upstreams.failed(self.now, &upstream);
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
                    let incarnation = self.fleet.swim.me().incarnation;
                    self.send(&to, Frame::Renew { incarnation, held });
                }
                Effect::Moved { to, chat, first, upstream } => {
                    self.send(&to, Frame::Moved { chat, first, to: upstream })
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

    pub(crate) fn answers(&mut self, answers: Vec<HomeAnswer>) {
        let incarnation = self.home.incarnation();
        for HomeAnswer { to, upstream, attempt, mut verdict } in answers {
            if let Verdict::NotHome { home } = &mut verdict {
                *home = self.fleet.home(&upstream, 0).filter(|home| home != &self.me);
            }
            self.send(&to, Frame::Answer { incarnation, upstream, attempt, verdict });
        }
    }

    // ------------------------------------------------------------------------
    // Frames.

    pub(crate) fn frame(&mut self, from: &id::Router, frame: Frame) {
        match frame {
            Frame::Hello { .. } => {}
            Frame::Ask(ask) => self.ask(from, ask),
            Frame::Forget { upstream, attempt } => {
                let answers = self.home.forget(self.now, from, &upstream, attempt);
                self.answers(answers);
            }
            Frame::Answer { upstream, attempt, verdict, .. } => {
                if let Verdict::Granted { outstanding } = &verdict {
                    self.fleet.saw(&upstream, *outstanding);
                }
                let effects = self.entry.answer(self.now, &self.fleet, from, &upstream, attempt, verdict);
                self.entry_effects(effects);
            }
            Frame::Release { upstream, attempts } => {
                let answers = self.home.release(self.now, from, &upstream, &attempts);
                self.answers(answers);
            }
            Frame::Renew { held, .. } => {
                let answers = self.home.renew(self.now, from, &held);
                self.answers(answers);
            }
            Frame::Moved { chat, first, to } => self.home.moved(self.now, chat, &first, &to),
            Frame::Load(load) => self.sums.hear(self.now, from, load),
            Frame::Mean { service, outstanding, engines, emptiest } => {
                self.hints.insert(service.clone(), emptiest.clone());
                let answers = self.home.mean(self.now, &service, (outstanding, engines), emptiest);
                self.answers(answers);
            }
            Frame::Trouble { upstream } => self.trouble(&upstream),
            Frame::Manifest(manifest) => {
                let effects = self.config.offer(self.now, Some(from), *manifest);
                self.config_effects(effects);
            }
            Frame::FetchManifest => {
                if let Some(manifest) = self.config.manifest().cloned() {
                    self.send(from, Frame::Manifest(Box::new(manifest)));
                }
            }
            Frame::FetchChunks(wanted) => {
                let chunks = self.config.find(&wanted);
                self.send(from, Frame::Chunks(chunks));
            }
            Frame::Chunks(chunks) => {
                let effects = self.config.take(chunks);
                self.config_effects(effects);
            }
            Frame::FetchVms => self.send_vms(from),
            Frame::Vms { revision, vms } => self.vms(revision, &vms),
            Frame::Claim { key, attempt } => self.keep_claim(from, key, attempt),
            Frame::Claimed { key, attempt, verdict } => self.claimed(key, attempt, verdict),
            Frame::Settle { key, attempt, stored } => self.keep_settled(key, attempt, stored),
        }
    }

    fn ask(&mut self, from: &id::Router, ask: Ask) {
        if self.rejoining || self.leaving || !self.home.keeps(&ask.upstream) {
            let verdict = Verdict::NotHome { home: None };
            let answer = HomeAnswer { to: from.clone(), upstream: ask.upstream, attempt: ask.attempt, verdict };
            self.answers(vec![answer]);
            return;
        }
        let answers = self.home.ask(self.now, from, ask);
        self.answers(answers);
    }

    fn trouble(&mut self, upstream: &id::Upstream) {
        let recent = |asked| self.now.since(asked) < TICK;
        let known = self.probing.get(upstream);
        if known.is_some_and(|probing| !probing.pending && !probing.asked.is_some_and(recent)) {
            self.probe(upstream);
        }
    }

    fn peer_unreachable(&mut self, router: &id::Router) {
        self.fleet.swim.doubt(self.now, router);
        let effects = self.entry.unreachable(self.now, &self.fleet, router);
        self.entry_effects(effects);
        let lost = self.claiming.iter().filter(|(_, claiming)| &claiming.keeper == router);
        let lost: Vec<_> = lost.map(|(attempt, claiming)| (*attempt, claiming.key)).collect();
        self.abandon_claims(lost);
    }

    // ------------------------------------------------------------------------
    // Members and upstreams.

    pub(crate) fn swim_effects(&mut self, effects: Vec<swim::Effect>) {
        let mut changed = false;
        for effect in effects {
            match effect {
                swim::Effect::Send { to, packet } => self.outputs.push(Output::Datagram { to, packet }),
                swim::Effect::Joined(router) => {
                    changed = true;
                    self.audit(Event::RouterJoined { router });
                }
                swim::Effect::Died(router) => {
                    changed = true;
                    let answers = self.home.drop_entry(self.now, &router);
                    self.answers(answers);
                    self.audit(Event::RouterDied { router });
                }
                swim::Effect::Leaves(router) => {
                    changed = true;
                    self.audit(Event::RouterLeaves { router });
                }
                swim::Effect::Upstream(word) => self.hear(&word),
                swim::Effect::Versions { from, generation, vms } => self.versions(&from, generation, vms),
            }
        }
        if changed {
            self.refresh();
        }
    }

    fn versions(&mut self, from: &id::Router, generation: u64, vms: u64) {
        self.generations.insert(from.clone(), generation);
        let effects = self.config.hear(self.now, from, Generation(generation));
        self.config_effects(effects);
        let newer = vms > self.fleet.upstreams.revision();
        if newer && self.now.since(self.schedule.vms_hint) >= HINT_EVERY {
            self.schedule.vms_hint = self.now;
            self.send(from, Frame::FetchVms);
        }
    }

    /// Works out homes anew and moves accounts accordingly.
    pub(crate) fn refresh(&mut self) {
        if !self.fleet.refresh() {
            self.outputs.push(Output::FleetChanged);
            return;
        }
        self.move_accounts();
        let effects = self.entry.homes_changed(self.now, &self.fleet);
        self.entry_effects(effects);
        self.outputs.push(Output::FleetChanged);
    }

    /// Takes on the accounts of upstreams whose home is here now, and gives up the others.
    fn move_accounts(&mut self) {
        let mine: Vec<_> =
            self.fleet.homes().filter(|(_, home)| *home == Some(&self.me)).map(|(u, _)| u.clone()).collect();
        let lost: Vec<_> = self.home.upstreams().filter(|upstream| !mine.contains(upstream)).cloned().collect();
        for upstream in lost {
            self.probing.remove(&upstream);
            let answers = self.home.abandon(&upstream);
            self.answers(answers);
        }
        for upstream in mine {
            let Some(rules) = self.rules(&upstream) else {
                continue;
            };
            let load = self.probing.entry(upstream.clone()).or_default().load;
            self.home.adopt(self.now, upstream.clone(), rules, load);
            self.sync_open(&upstream);
        }
    }

    fn rules(&self, upstream: &id::Upstream) -> Option<Rules> {
        let known = self.fleet.upstream(upstream)?;
        let service = self.fleet.service(&known.service)?;
        let queue = usize::try_from(service.queue).unwrap_or(usize::MAX);
        let rules = Rules::new(known.service.clone()).with_slots(service.slots).with_queue(queue);
        Some(match self.policy {
            Policy::Fleet => rules.with_multiple(service.load_multiple),
            Policy::Random | Policy::LeastLoaded | Policy::Hash => rules,
        })
    }

    fn sync_open(&mut self, upstream: &id::Upstream) {
        let usable = self.fleet.usable(upstream);
        let answers = self.home.set_open(self.now, upstream, usable);
        self.answers(answers);
    }

    fn vms(&mut self, revision: u64, vms: &[Vm]) {
        if !self.fleet.upstreams.list(self.now, revision, vms) {
            return;
        }
        let me = self.me.to_string();
        let routers = vms.iter().filter(|vm| vm.role == Role::Router && vm.name != me);
        for router in routers {
            self.fleet.swim.introduce(router.address);
        }
        self.refresh();
        self.tell_versions();
    }

    fn send_vms(&mut self, to: &id::Router) {
        let revision = self.fleet.upstreams.revision();
        if revision == 0 {
            return;
        }
        let vm = |upstream: &stairvale_membership::upstreams::Upstream| Vm {
            name: upstream.name.to_string(),
            role: Role::Upstream,
            zone: upstream.zone.clone(),
            service: Some(upstream.service.clone()),
            address: upstream.address,
            weight: upstream.weight,
            leaving: upstream.leaving,
        };
        let vms = self.fleet.upstreams.iter().filter(|u| u.is_listed()).map(vm).collect();
        self.send(to, Frame::Vms { revision, vms });
    }

    fn tell_versions(&mut self) {
        let generation = self.config.generation().0;
        let revision = self.fleet.upstreams.revision();
        let effects = self.fleet.swim.set_versions(generation, revision);
        self.swim_effects(effects);
    }

    fn probe(&mut self, upstream: &id::Upstream) {
        let Some(address) = self.fleet.upstream(upstream).map(|u| u.address) else {
            return;
        };
        let probing = self.probing.entry(upstream.clone()).or_default();
        probing.asked = Some(self.now);
        probing.pending = true;
        self.outputs.push(Output::Probe { upstream: upstream.clone(), address });
    }

    fn probed(&mut self, upstream: &id::Upstream, report: Option<Report>) {
        let Some(probing) = self.probing.get_mut(upstream) else {
            return;
        };
        probing.pending = false;
        let Some(report) = report else {
            probing.misses += 1;
            let missed = probing.misses >= MISSES;
            let word = self.fleet.upstreams.missed(upstream).filter(|_| missed);
            if let Some(word) = word {
                self.hear(&word);
            }
            return;
        };
        probing.misses = 0;
        probing.load = Some(report.load);
        probing.loaded = report.model;
        let answers = self.home.report(self.now, upstream, report.load);
        self.answers(answers);
        let word = self.fleet.upstreams.reached(upstream, report.boot, report.change, report.state);
        if let Some(word) = word {
            self.hear(&word);
        }
    }

    /// A word of an upstream, from this router's own probe or from a peer; a new one is passed on.
    fn hear(&mut self, word: &Word) {
        let before = self.fleet.upstream(&word.upstream).and_then(|u| u.word.as_ref().map(|word| word.state));
        if !self.fleet.upstreams.hear(self.now, word) {
            return;
        }
        if before != Some(word.state) {
            let from = before.map(|state| state_name(state).to_owned());
            let to = state_name(word.state).to_owned();
            self.audit(Event::UpstreamChanged { upstream: word.upstream.clone(), from, to });
        }
        self.sync_open(&word.upstream);
        let effects = self.fleet.swim.spread(word.clone());
        self.swim_effects(effects);
    }

    // ------------------------------------------------------------------------
    // Configuration.

    fn accepted(&mut self, manifest: Manifest, chunks: Vec<String>) {
        let effects = self.config.offer(self.now, None, manifest);
        let quiet = effects.into_iter().filter(|effect| !matches!(effect, generation::Effect::ReadChunk(_)));
        self.config_effects(quiet.collect());
        let effects = self.config.take(chunks);
        self.config_effects(effects);
    }

    pub(crate) fn config_effects(&mut self, effects: Vec<generation::Effect>) {
        for effect in effects {
            match effect {
                generation::Effect::FetchManifest(peer) => self.send(&peer, Frame::FetchManifest),
                generation::Effect::FetchChunks(peer, wanted) => self.send(&peer, Frame::FetchChunks(wanted)),
                generation::Effect::ReadChunk(digest) => {
                    self.call(Purpose::Chunk(digest), apply::chunk_key(digest), Action::Read);
                }
                generation::Effect::InForce(generation, document) => {
                    self.fleet.document = document.clone();
                    self.fleet.refresh();
                    self.move_accounts();
                    self.outputs.push(Output::InForce { generation, document });
                    self.tell_versions();
                }
                generation::Effect::Audit(event) => self.audit(event),
            }
        }
    }

    fn random_peer(&mut self) -> Option<id::Router> {
        let random = usize::try_from(self.random() >> 1).unwrap_or(0);
        let peers: Vec<_> = self.fleet.swim.live().map(|m| &m.router).filter(|router| **router != self.me).collect();
        if peers.is_empty() {
            return None;
        }
        Some(peers[random % peers.len()].clone())
    }

    // ------------------------------------------------------------------------
    // The store.

    pub(crate) fn call(&mut self, purpose: Purpose, key: String, action: Action) {
        self.outputs.push(Output::Store(Call { purpose, key, action }));
    }

    fn stored(&mut self, purpose: Purpose, answer: Answer) {
        match purpose {
            Purpose::Manifest => {
                self.schedule.watching = false;
                self.schedule.watch_after = self.now + WATCH_EVERY;
                if let Answer::Value(Some((text, revision))) = answer {
                    self.schedule.manifest_revision = revision;
                    self.read_manifest(&text);
                }
            }
            Purpose::Chunk(_) => {
                if let Answer::Value(Some((text, _))) = answer {
                    let effects = self.config.take(vec![text]);
                    self.config_effects(effects);
                }
            }
            Purpose::Claims(number) => self.claims_answer(number, answer),
            Purpose::Orders => {
                let holds = self.orders.answer(self.now, &answer);
                if let Some(holds) = holds {
                    let token = self.orders.holds(self.now).unwrap_or(0);
                    self.audit(Event::OrderHolder { holds, token });
                }
            }
        }
    }

    fn read_manifest(&mut self, text: &str) {
        let Ok(manifest) = serde_json::from_str::<Manifest>(text) else {
            return;
        };
        let peer = self.random_peer();
        let effects = self.config.offer(self.now, peer.as_ref(), manifest);
        self.config_effects(effects);
    }

    fn ordered(&mut self, upstream: &id::Upstream, taken: bool) {
        // A refused order means a later holder: its word counts, so this one only looks again.
        if !taken {
            self.probe(upstream);
        }
    }

    // ------------------------------------------------------------------------
    // Claims.

    fn claim(&mut self, key: id::Key, attempt: id::Attempt) {
        let Some(keeper) = self.claim_keeper(key) else {
            return;
        };
        let claiming = Claiming { key, keeper: keeper.clone(), asked: self.now };
        self.claiming.insert(attempt, claiming);
        self.send(&keeper, Frame::Claim { key, attempt });
    }

    fn claim_keeper(&self, key: id::Key) -> Option<id::Router> {
        self.fleet.keeper(&format!("claims/{}", shard_of(key)))
    }

    fn keep_claim(&mut self, from: &id::Router, key: id::Key, attempt: id::Attempt) {
        let number = shard_of(key);
        let shard = self.shards.entry(number).or_insert_with(Shard::new);
        let effects = shard.claim(self.now, self.now_ms, from.clone(), key, attempt);
        self.shard_effects(number, effects);
    }

    fn claimed(&mut self, key: id::Key, attempt: id::Attempt, verdict: ClaimVerdict) {
        let claiming = self.claiming.remove(&attempt);
        let valid = claiming.is_some_and(|claiming| self.now.since(claiming.asked) < CLAIM_VALID);
        if valid {
            self.outputs.push(Output::Claimed { attempt, verdict });
            return;
        }
        // Nobody waits any more, so nothing will run: the claim is given back.
        if matches!(verdict, ClaimVerdict::Yours { .. }) {
            self.settle(key, attempt, None);
        }
    }

    fn settle(&mut self, key: id::Key, attempt: id::Attempt, stored: Option<Stored>) {
        self.claiming.remove(&attempt);
        let settled = Unsettled { key, attempt, stored, sent: self.now, left: SETTLE_TRIES };
        self.send_settled(&settled);
        self.unsettled.push(settled);
    }

    fn send_settled(&mut self, settled: &Unsettled) {
        let Some(keeper) = self.claim_keeper(settled.key) else {
            return;
        };
        let Unsettled { key, attempt, stored, .. } = settled.clone();
        self.send(&keeper, Frame::Settle { key, attempt, stored });
    }

    fn keep_settled(&mut self, key: id::Key, attempt: id::Attempt, stored: Option<Stored>) {
        let number = shard_of(key);
        let shard = self.shards.entry(number).or_insert_with(Shard::new);
        let effects = shard.settle(self.now, self.now_ms, key, attempt, stored);
        self.shard_effects(number, effects);
    }

    fn claims_answer(&mut self, number: u32, answer: Answer) {
        let reply = match answer {
            Answer::Value(value) => shard::Reply::Read(value),
            Answer::Written(revision) => shard::Reply::Written(revision),
            Answer::Conflict => shard::Reply::Conflict,
            Answer::Lost => shard::Reply::Lost,
        };
        let Some(shard) = self.shards.get_mut(&number) else {
            return;
        };
        let effects = shard.reply(self.now, self.now_ms, reply);
        self.shard_effects(number, effects);
    }

    fn shard_effects(&mut self, number: u32, effects: Vec<shard::Effect>) {
        for effect in effects {
            let key = format!("claims/{number}");
            match effect {
                shard::Effect::Read => self.call(Purpose::Claims(number), key, Action::Read),
                shard::Effect::Write { text, revision } => {
                    self.call(Purpose::Claims(number), key, Action::Write { value: text, revision });
                }
                shard::Effect::Answer { to, key, attempt, verdict } => {
                    self.send(&to, Frame::Claimed { key, attempt, verdict });
                }
            }
        }
    }

    // ------------------------------------------------------------------------
    // Stopping.

    fn leave(&mut self) {
        if self.leaving {
            return;
        }
        self.leaving = true;
        self.audit(Event::Stopping);
        let effects = self.fleet.swim.leave();
        self.swim_effects(effects);
        self.refresh();
    }
}

fn state_name(state: State) -> &'static str {
    match state {
        State::Serving => "serving",
        State::Draining => "draining",
        State::Unreachable => "unreachable",
    }
}
