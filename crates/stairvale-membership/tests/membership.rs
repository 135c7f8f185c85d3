//! Routers discover and suspect each other, refute suspicions and declare peers dead; upstreams are judged by the best
//! evidence.

#![allow(clippy::unwrap_used, clippy::expect_used)]

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use quickcheck::quickcheck;
use stairvale_membership::{
    Swim, Upstreams,
    swim::{Effect, Settings},
    upstreams::UNLISTED_RETENTION,
};
use stairvale_types::{Moment, id};
use stairvale_wire as wire;
use stairvale_wire::{
    Member, Packet, Status, UpstreamReport, Vm,
    packet::{Role, UpstreamState},
};

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + number))
}

fn member(number: u16) -> Member {
    Member {
        router: format!("r{number}").parse().unwrap(),
        zone: "a".parse().unwrap(),
        address: address(number),
        incarnation: id::Incarnation(1),
        status: Status::Alive,
        strength: Member::DEFAULT_STRENGTH,
    }
}

/// A network that delivers at once, except to and from unresponsive routers.
struct Net {
    routers: HashMap<SocketAddr, Swim>,
    unresponsive: Vec<SocketAddr>,
    /// Routers from this number on are partitioned from those below it.
    partition: Option<u16>,
    now: Moment,
    loss: u8,
    sent: u64,
    died: Vec<(id::Router, Moment)>,
    /// Which router declared which peer dead.
    declared_dead: Vec<(u16, id::Router)>,
}

fn number(router: &id::Router) -> u16 {
    router.as_str()[1..].parse().unwrap()
}

impl Net {
    fn new(count: u16) -> Self {
        let router = |number| {
            let seeds = (0..count).filter(|other| *other != number).map(address).collect();
            let swim = Swim::new(member(number), Settings::default(), u64::from(number)).with_seeds(seeds);
            (address(number), swim)
        };
        let routers = (0..count).map(router).collect();
        Self {
            routers,
            unresponsive: Vec::new(),
            partition: None,
            now: Moment::ZERO,
            loss: 0,
            sent: 0,
            died: Vec::new(),
            declared_dead: Vec::new(),
        }
    }

    fn deliver(&mut self, from: SocketAddr, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send { to, packet } => self.packet(from, to, packet),
                Effect::Died(router) => {
                    self.declared_dead.push((from.port() - address(0).port(), router.clone()));
                    self.died.push((router, self.now));
                }
                _ => {}
            }
        }
    }

    fn packet(&mut self, from: SocketAddr, to: SocketAddr, packet: Packet) {
        self.sent += 1;
        let lost = self.loss > 0 && self.sent.wrapping_mul(2_654_435_761) % 100 < u64::from(self.loss);
        let above_cut = |at: SocketAddr, first: u16| at.port() >= address(first).port();
        let is_cut = self.partition.is_some_and(|first| above_cut(from, first) != above_cut(to, first));
        if is_cut || lost || self.unresponsive.contains(&from) || self.unresponsive.contains(&to) {
            return;
        }
        let Some(router) = self.routers.get_mut(&to) else {
            return;
        };
        let effects = router.receive(self.now, from, packet);
        self.deliver(to, effects);
    }

    fn run(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            self.now = self.now + Duration::from_millis(10);
            let mut addresses: Vec<_> = self.routers.keys().copied().collect();
            addresses.sort();
            for address in addresses {
                let effects = self.routers.get_mut(&address).unwrap().tick(self.now);
                self.deliver(address, effects);
            }
        }
    }

    fn live(&self, number: u16) -> usize {
        self.routers[&address(number)].live().count()
    }
}

#[test]
fn all_routers_discover_each_other() {
    let mut net = Net::new(9);
    net.run(Duration::from_secs(4));
    assert!((0..9).all(|number| net.live(number) == 9));
}

#[test]
fn an_unresponsive_router_is_dead_within_seconds_and_rejoins() {
    let mut net = Net::new(9);
    net.run(Duration::from_secs(4));
    let since = net.now;
    net.unresponsive.push(address(3));
    net.run(Duration::from_secs(6));
    let first = net.died.iter().filter(|(router, _)| router.as_str() == "r3").map(|(_, at)| *at).min().unwrap();
    assert!(first.since(since) < Duration::from_secs(5), "declared dead after {:?}", first.since(since));
    assert_eq!(net.live(0), 8);
    net.unresponsive.clear();
    net.run(Duration::from_secs(8));
    assert_eq!(net.live(0), 9, "it refutes its death with a higher incarnation number");
}

#[test]
fn after_a_healed_partition_no_router_is_declared_dead_by_its_own_side() {
    // There are so many routers that the deaths on the other side are still being gossiped when the partition is
    // healed.
    let mut net = Net::new(100);
    net.run(Duration::from_secs(12));
    net.partition = Some(80);
    net.run(Duration::from_secs(6));
    net.partition = None;
    net.declared_dead.clear();
    net.run(Duration::from_secs(25));
    let own_side = net.declared_dead.iter().filter(|(at, router)| (*at < 80) == (number(router) < 80)).count();
    assert_eq!(own_side, 0);
    assert!((0..100).all(|number| net.live(number) == 100));
}

#[test]
fn packet_loss_alone_leaves_no_router_dead() {
    let mut net = Net::new(9);
    net.run(Duration::from_secs(4));
    net.loss = 15;
    net.run(Duration::from_secs(20));
    net.loss = 0;
    net.run(Duration::from_secs(5));
    assert!((0..9).all(|number| net.live(number) == 9));
}

/// A router without peers that assumes the listed ones to be alive.
fn assuming_alive(listed: &[u16]) -> (Swim, Vec<Effect>) {
    let mut swim = Swim::new(member(0), Settings::default(), 7);
    let effects = swim.assume_alive(Moment::ZERO, listed.iter().map(|number| member(*number)).collect());
    (swim, effects)
}

#[test]
fn a_listed_router_is_assumed_alive_until_it_does_not_answer() {
    let mut net = Net::new(1);
    let listed = vec![member(1), member(2)];
    let effects = net.routers.get_mut(&address(0)).unwrap().assume_alive(Moment::ZERO, listed.clone());
    let pinged = effects.iter().filter(|effect| matches!(effect, Effect::Send { .. })).count();
    assert_eq!((net.live(0), pinged), (3, 2));
    // Only one of the listed routers runs.
    net.routers.insert(address(1), Swim::new(member(1), Settings::default(), 1));
    net.deliver(address(0), effects);
    let received = net.routers[&address(0)].peer(&member(1).router).unwrap().incarnation;
    assert_eq!(received, member(1).incarnation);
    net.run(Duration::from_secs(3));
    assert_eq!(net.live(0), 2);
    // An observed death takes precedence over the list, which may be old.
    let again = net.routers.get_mut(&address(0)).unwrap().assume_alive(net.now, listed);
    assert!(again.is_empty());
    // A dead router that is listed with another address may be alive.
    let moved = wire::Member { address: address(9), ..member(2) };
    let again = net.routers.get_mut(&address(0)).unwrap().assume_alive(net.now, vec![moved]);
    assert!(again.iter().any(|effect| matches!(effect, Effect::Send { to, .. } if *to == address(9))));
}

/// A fleet whose routers all have each other on record.
fn connected_fleet(count: u16) -> Net {
    let mut net = Net::new(count);
    let all: Vec<_> = (0..count).map(member).collect();
    for router in net.routers.values_mut() {
        router.merge_members(Moment::ZERO, all.clone());
    }
    net.run(Duration::from_secs(1));
    net.died.clear();
    net
}

/// Small VMs pause for a third of a second while they apply a configuration. In a fleet of 985 the suspicion that
/// followed reached all routers sooner than its refutation, because the suspect first had to receive the suspicion by
/// gossip: each second some two routers were declared dead by hundreds, homes of services among them, and gossip was
/// full of it for the whole day.
#[test]
fn in_a_large_fleet_no_router_that_pauses_briefly_is_declared_dead() {
    const ROUTERS: u16 = 300;
    let mut net = connected_fleet(ROUTERS);
    for round in 0..12 {
        net.unresponsive = (0..ROUTERS).filter(|number| number % 12 == round).map(address).collect();
        net.run(Duration::from_millis(330));
        net.unresponsive.clear();
        net.run(Duration::from_millis(170));
    }
    net.run(Duration::from_secs(4));
    assert!(net.died.is_empty(), "{} deaths, the first {:?}", net.died.len(), &net.died[..3]);
}

#[test]
fn in_a_large_fleet_the_loss_of_a_zone_is_detected_within_seconds() {
    const ROUTERS: u16 = 300;
    let mut net = connected_fleet(ROUTERS);
    net.unresponsive = (0..ROUTERS / 5).map(address).collect();
    net.run(Duration::from_secs(6));
    let live: Vec<_> = (ROUTERS / 5..ROUTERS).map(|number| net.live(number)).collect();
    let expected = usize::from(ROUTERS - ROUTERS / 5);
    assert!(live.iter().all(|live| *live == expected), "{:?} to {:?}", live.iter().min(), live.iter().max());
}

#[test]
fn a_suspicion_is_resolved_when_the_router_that_raised_it_dies() {
    let mut net = Net::new(9);
    net.run(Duration::from_secs(4));
    net.unresponsive.push(address(3));
    // By this time some router suspects it.
    net.run(Duration::from_millis(1_200));
    net.unresponsive.push(address(4));
    net.run(Duration::from_secs(8));
    assert!([0, 1, 2, 5, 6, 7, 8].iter().all(|number| net.live(*number) == 7));
}

#[test]
fn a_router_whose_address_belongs_to_another_one_is_dead() {
    let (mut swim, _) = assuming_alive(&[1]);
    let mut other = Swim::new(wire::Member { address: address(1), ..member(5) }, Settings::default(), 5);
    let mut died = Vec::new();
    for step in 1..60 {
        let now = Moment::from_millis(step * 10);
        for effect in swim.tick(now) {
            let Effect::Send { to, packet } = effect else { continue };
            assert_eq!(to, address(1));
            for answer in other.receive(now, address(0), packet) {
                if let Effect::Send { packet, .. } = answer {
                    died.extend(swim.receive(now, address(1), packet));
                }
            }
        }
    }
    assert!(died.contains(&Effect::Died(member(1).router)), "{died:?}");
    assert!(swim.live().any(|known| known.router == member(5).router));
}

#[test]
fn a_probe_in_flight_is_not_evaluated_early_when_another_router_is_to_be_probed() {
    let (mut swim, _) = assuming_alive(&[1, 2]);
    // Both routers are recorded as alive.
    let effects = swim.merge_members(Moment::ZERO, vec![member(1), member(2)]);
    assert!(effects.is_empty() || swim.live().count() == 3);
    let sent = swim.tick(Moment::from_millis(10));
    let probed = sent.iter().find_map(|effect| match effect {
        Effect::Send { to, .. } => Some(*to),
        _ => None,
    });
    let other = if probed == Some(address(1)) { member(2) } else { member(1) };
    swim.probe_next(Moment::from_millis(12), &other.router);
    swim.tick(Moment::from_millis(14));
    assert!(swim.peers().all(|peer| peer.status == Status::Alive), "a probe isn't overdue after 2 ms");
}

#[test]
fn an_older_list_of_members_changes_nothing() {
    let (mut swim, _) = assuming_alive(&[]);
    let later = wire::Member { incarnation: id::Incarnation(4), status: Status::Leaving, ..member(1) };
    swim.merge_members(Moment::ZERO, vec![later.clone(), member(2)]);
    let effects = swim.merge_members(Moment::ZERO, vec![member(1), member(2), member(0)]);
    assert!(effects.is_empty());
    assert_eq!(swim.peer(&later.router), Some(&later));
    assert_eq!(swim.live_members().len(), 2, "this router and the live peer");
}

#[test]
fn a_leaving_router_notifies_its_peers_at_once() {
    let mut net = Net::new(5);
    net.run(Duration::from_secs(4));
    let effects = net.routers.get_mut(&address(2)).unwrap().leave();
    net.deliver(address(2), effects);
    assert!([0, 1, 3, 4].into_iter().all(|number| net.live(number) == 4));
}

/// A router of zone `a` with 30 peers each in zones `a` and `b`, all weak except the first of them.
fn among_zones(strength: u32, seed: u64) -> Swim {
    const EACH: u16 = 30;
    let me = Member { strength, ..member(0) };
    let mut swim = Swim::new(me, Settings::default(), seed);
    let others = (1..=EACH * 2).map(|number| {
        let zone = if number <= EACH { "a" } else { "b" }.parse().unwrap();
        let strength = if number == 1 { 50 } else { 12 };
        Member { zone, strength, ..member(number) }
    });
    swim.merge_members(Moment::ZERO, others.collect());
    swim
}

/// Counts the packets with an update about `subject` that a router sends in ten seconds in which all peers answer:
/// those to its own zone and those to other zones.
fn packets_about(swim: &mut Swim, subject: &id::Router) -> (usize, usize) {
    let (mut near, mut far) = (0, 0);
    for step in 1..=1_000_u64 {
        let now = Moment::from_millis(step * 10);
        for effect in swim.tick(now) {
            let Effect::Send { to, packet } = effect else {
                continue;
            };
            let contains_subject =
                packet.updates.iter().any(|update| matches!(update, wire::Update::Member(m) if &m.router == subject));
            let is_far = to.port() > address(30).port();
            near += usize::from(contains_subject && !is_far);
            far += usize::from(contains_subject && is_far);
            if let wire::packet::Body::Ping { probe } = packet.body {
                let from = member(to.port() - address(0).port());
                let body = wire::packet::Body::Ack { probe };
                swim.receive(now, to, Packet { from: from.router, body, updates: Vec::new(), ..packet });
            }
        }
    }
    (near, far)
}

#[test]
fn updates_go_to_other_zones_from_several_routers_rather_than_many_times_from_each() {
    let left = Member { status: Status::Leaving, incarnation: id::Incarnation(2), ..member(9) };
    let packet = Packet {
        version: wire::VERSION,
        from: member(2).router,
        generation: 0,
        vms: 0,
        words: 0,
        body: wire::packet::Body::News,
        updates: vec![wire::Update::Member(left.clone())],
    };
    // One run for each of the 31 routers of a zone.
    let (mut total_far, mut min_near) = (0, usize::MAX);
    for seed in 0..31 {
        let mut swim = among_zones(12, seed);
        swim.receive(Moment::ZERO, address(2), packet.clone());
        let (near, far) = packets_about(&mut swim, &left.router);
        (total_far, min_near) = (total_far + far, min_near.min(near));
    }
    assert!(min_near >= 8, "{min_near} times in its zone");
    assert!((20..=52).contains(&total_far), "{total_far} times to other zones, by all");
}

#[test]
fn a_weak_router_that_leaves_notifies_its_zone_and_a_strong_one_all_peers() {
    let sent_by_leaving = |strength| {
        let mut swim = among_zones(strength, 7);
        let sent = swim.leave();
        let bytes = sent.iter().map(|effect| match effect {
            Effect::Send { packet, .. } => wire::codec::pack(packet).unwrap().len(),
            _ => 0,
        });
        assert!(bytes.max().unwrap() < 150, "only the urgent update");
        sent.len()
    };
    assert_eq!((sent_by_leaving(12), sent_by_leaving(50)), (30, 60));
}

#[test]
fn packets_fit_an_ethernet_frame_whatever_is_gossiped() {
    let mut swim = Swim::new(member(0), Settings::default(), 1).with_seeds(vec![address(1)]);
    for number in 0..2_000 {
        let upstream = format!("a-rather-long-upstream-name-{number}").parse().unwrap();
        let report = UpstreamReport { upstream, boot: u64::MAX, change: 3, reach: 4, state: UpstreamState::Draining };
        swim.gossip_report(report);
    }
    let effects = swim.tick(Moment::from_millis(300));
    let Some(Effect::Send { packet, .. }) = effects.first() else {
        panic!("{effects:?}");
    };
    let size = stairvale_wire::codec::pack(packet).unwrap().len();
    assert!(size <= stairvale_wire::codec::MAX_PACKET - 16, "{size} bytes");
    assert!(packet.updates.len() > 10);
}

// ----------------------------------------------------------------------------

fn vm(name: &str, leaving: bool) -> Vm {
    Vm {
        name: name.into(),
        role: Role::Upstream,
        zone: "a".parse().unwrap(),
        service: Some("chat".parse().unwrap()),
        address: address(900),
        weight: 1,
        leaving,
    }
}

fn report(boot: u64, change: u64, reach: u64, state: UpstreamState) -> UpstreamReport {
    UpstreamReport { upstream: "e".parse().unwrap(), boot, change, reach, state }
}

fn listed() -> Upstreams {
    let mut upstreams = Upstreams::new();
    assert!(upstreams.apply_vm_list(Moment::ZERO, 1, &[vm("e", false)]));
    upstreams
}

fn usable(upstreams: &Upstreams, now: Moment) -> bool {
    upstreams.get(&"e".parse().unwrap()).is_some_and(|upstream| upstream.usable(now))
}

#[test]
fn the_list_alone_makes_no_upstream_usable_but_withdraws_it() {
    let mut upstreams = listed();
    assert!(!usable(&upstreams, Moment::ZERO), "it hasn't sent a report itself");
    upstreams.record_report(Moment::ZERO, &report(1, 0, 0, UpstreamState::Serving));
    assert!(usable(&upstreams, Moment::ZERO));
    upstreams.apply_vm_list(Moment::ZERO, 2, &[vm("e", true)]);
    assert!(!usable(&upstreams, Moment::ZERO));
    assert!(!upstreams.apply_vm_list(Moment::ZERO, 1, &[vm("e", false)]), "an older list changes nothing");
}

#[test]
fn an_upstreams_own_report_takes_precedence_over_the_list() {
    let mut upstreams = listed();
    upstreams.record_report(Moment::ZERO, &report(1, 1, 0, UpstreamState::Draining));
    assert!(!usable(&upstreams, Moment::ZERO), "it drains, whatever the list says");
    upstreams.record_report(Moment::ZERO, &report(1, 0, 5, UpstreamState::Serving));
    assert!(!usable(&upstreams, Moment::ZERO), "an earlier report that arrives late changes nothing");
    upstreams.record_report(Moment::ZERO, &report(2, 0, 0, UpstreamState::Serving));
    assert!(usable(&upstreams, Moment::ZERO), "a new incarnation starts afresh");
}

#[test]
fn failed_connections_cool_down_and_double() {
    let mut upstreams = listed();
    let name = "e".parse().unwrap();
    upstreams.record_report(Moment::ZERO, &report(1, 0, 0, UpstreamState::Serving));
    upstreams.record_connection_failure(Moment::ZERO, &name);
    assert!(!usable(&upstreams, Moment::from_millis(499)));
    assert!(usable(&upstreams, Moment::from_millis(500)));
    upstreams.record_connection_failure(Moment::from_millis(500), &name);
    assert!(!usable(&upstreams, Moment::from_millis(1_499)));
    upstreams.succeeded(&name);
    upstreams.record_connection_failure(Moment::from_millis(2_000), &name);
    assert!(usable(&upstreams, Moment::from_millis(2_500)));
}

#[test]
fn a_flapping_upstream_is_suppressed_but_keeps_its_rank() {
    let mut upstreams = listed();
    let mut reach = 0;
    for flap in 0..6 {
        let now = Moment::from_millis(flap * 500);
        upstreams.record_report(now, &report(1, 0, reach + 1, UpstreamState::Unreachable));
        upstreams.record_report(now, &report(1, 0, reach + 2, UpstreamState::Serving));
        reach += 2;
    }
    let now = Moment::from_millis(3_000);
    assert!(!usable(&upstreams, now));
    assert!(upstreams.get(&"e".parse().unwrap()).is_some(), "its chats keep their first choice");
    let later = Moment::from_millis(90_000);
    upstreams.tick(later);
    assert!(usable(&upstreams, later));
}

#[test]
fn an_unlisted_upstream_keeps_its_rank_for_a_while() {
    let mut upstreams = listed();
    upstreams.record_report(Moment::ZERO, &report(1, 0, 0, UpstreamState::Serving));
    upstreams.apply_vm_list(Moment::ZERO, 2, &[]);
    assert!(!usable(&upstreams, Moment::ZERO));
    assert!(upstreams.remove_unlisted(Moment::from_millis(1_000)).is_empty());
    assert_eq!(upstreams.remove_unlisted(Moment::ZERO + UNLISTED_RETENTION).len(), 1);
}

quickcheck! {
    fn reports_in_any_order_converge(order: Vec<usize>) -> bool {
        let reports = [
            report(1, 0, 0, UpstreamState::Serving),
            report(1, 0, 1, UpstreamState::Unreachable),
            report(1, 0, 2, UpstreamState::Serving),
            report(1, 1, 0, UpstreamState::Draining),
            report(2, 0, 0, UpstreamState::Serving),
            report(2, 1, 0, UpstreamState::Draining),
        ];
        let mut upstreams = listed();
        for index in order {
            upstreams.record_report(Moment::ZERO, &reports[index % reports.len()]);
        }
        for report in &reports {
            upstreams.record_report(Moment::ZERO, report);
        }
        !usable(&upstreams, Moment::from_millis(60_000))
    }
}
