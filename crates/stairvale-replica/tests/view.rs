//! A copy never goes back, knows its age, and tells a lapse from a leave.

#![allow(clippy::unwrap_used)]

use std::{sync::Arc, time::Duration};

use quickcheck::{Arbitrary, Gen, quickcheck};
use stairvale_replica::{Item, News, State, Subject, Upstream, Value, View};
use stairvale_table::Document;
use stairvale_types::{Moment, id};

fn upstream(name: &str, state: State) -> Value {
    Value::Upstream(Upstream {
        id: name.parse().unwrap(),
        service: "chat".parse().unwrap(),
        address: "127.0.0.1:9000".parse().unwrap(),
        zone: "a".parse().unwrap(),
        slots: 4,
        state,
        cold: Duration::ZERO,
        version: None,
    })
}

fn item(name: &str, revision: u64, state: Option<State>) -> Item {
    let id: id::Upstream = name.parse().unwrap();
    Item::new(Subject::Upstream(id), revision, state.map(|state| upstream(name, state)))
}

fn configuration(version: u64, revision: u64) -> Item {
    let document = Document { version, ..Document::default() };
    Item::new(Subject::Configuration, revision, Some(Value::Configuration(Arc::new(document))))
}

fn evacuation(revision: u64, stands: bool) -> Item {
    Item::new(Subject::Evacuation("a".parse().unwrap()), revision, stands.then_some(Value::Evacuation))
}

#[test]
fn an_evacuation_holds_for_what_lapsed_too_and_until_it_is_taken_back() {
    let mut view = View::default();
    let e = |name: &str| name.parse::<id::Upstream>().unwrap();
    let ready = |name, revision| item(name, revision, Some(State::Ready));
    assert!(view.read(at(0), at(0), changes(0, vec![ready("u1", 1), ready("u2", 2)])));
    view.disturb(at(10));
    assert!(view.read(at(20), at(15), changes(2, vec![item("u1", 3, None)])));
    assert!(view.is_usable(&e("u1")) && view.is_usable(&e("u2")));
    assert!(view.take(changes(3, vec![evacuation(4, true)])));
    assert!(!view.is_usable(&e("u1")) && !view.is_usable(&e("u2")));
    assert_eq!(view.evacuated().count(), 1);
    // A peer whose copy is older says nothing against it, nor does a list that is.
    assert!(view.take(News::Everything { to: 3, items: vec![ready("u2", 2)] }));
    assert!(!view.is_usable(&e("u2")));
    // The store has forgotten its history, and the evacuation was taken back in the meantime.
    assert!(view.take(News::Everything { to: 9, items: vec![ready("u2", 2)] }));
    assert!(view.is_usable(&e("u2")));
    assert!(view.take(changes(9, vec![evacuation(10, true)])));
    assert!(!view.is_usable(&e("u2")));
    assert!(view.take(changes(10, vec![evacuation(11, false)])));
    assert!(view.is_usable(&e("u2")));
}

fn changes(after: u64, items: Vec<Item>) -> News {
    let to = items.iter().map(|item| item.revision).max().unwrap_or(after);
    News::Changes { after, to, items }
}

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn usable(view: &View, name: &str) -> bool {
    view.is_usable(&name.parse().unwrap())
}

#[test]
fn a_lower_version_never_replaces_a_higher_one() {
    let mut view = View::default();
    assert!(view.take(News::Everything { to: 5, items: vec![configuration(7, 5)] }));
    assert!(view.take(changes(5, vec![configuration(3, 6)])));
    assert_eq!(view.document().unwrap().version, 7);
    // A list without it is incomplete rather than a removal.
    assert!(view.take(News::Everything { to: 9, items: Vec::new() }));
    assert_eq!(view.document().unwrap().version, 7);
}

#[test]
fn changes_that_skip_something_are_refused() {
    let mut view = View::default();
    assert!(view.take(changes(0, vec![item("e1", 3, Some(State::Ready))])));
    assert!(!view.take(changes(4, vec![item("e2", 5, Some(State::Ready))])));
    assert_eq!(view.revision(), 3);
}

#[test]
fn an_entry_that_goes_in_calm_times_is_gone() {
    let mut view = View::default();
    view.take(changes(0, vec![item("e1", 1, Some(State::Ready))]));
    view.take(changes(1, vec![item("e1", 2, None)]));
    assert!(!usable(&view, "e1"));
}

#[test]
fn an_entry_that_lapses_with_the_store_is_back_or_gone_soon_after() {
    let mut view = View::default();
    let first = changes(0, vec![item("e1", 1, Some(State::Ready)), item("e2", 2, Some(State::Draining))]);
    view.read(at(0), at(0), first);
    view.disturb(at(1_000));
    view.read(at(1_100), at(1_100), changes(2, vec![item("e1", 3, None), item("e2", 4, None)]));
    assert!(usable(&view, "e1"), "the store was disturbed, so its absence says nothing yet");
    assert!(!usable(&view, "e2"), "it was leaving before");
    view.read(at(2_000), at(2_000), changes(4, Vec::new()));
    assert!(!view.tick(at(2_000)));
    view.read(at(4_000), at(4_000), changes(4, Vec::new()));
    assert!(view.tick(at(4_000)), "the store has been back long enough");
    assert!(!usable(&view, "e1"));
}

#[test]
fn a_reader_whom_the_store_does_not_fail_decides() {
    let (mut cut, mut sound) = (View::default(), View::default());
    for view in [&mut cut, &mut sound] {
        view.read(at(0), at(0), changes(0, vec![item("e1", 1, Some(State::Ready))]));
    }
    cut.disturb(at(5_000));
    sound.read(at(5_100), at(5_100), changes(1, vec![item("e1", 2, None)]));
    assert!(!usable(&sound, "e1"), "another router's trouble is not the store's");
    // What the sound one tells is relied upon, also where the store failed.
    assert!(cut.take(sound.since(1).unwrap()));
    assert!(!usable(&cut, "e1"));
}

#[test]
fn a_peer_that_reads_in_calm_ends_a_lapse() {
    let mut view = View::default();
    view.read(at(0), at(0), changes(0, vec![item("e1", 1, Some(State::Ready))]));
    view.disturb(at(100));
    view.read(at(200), at(200), changes(1, vec![item("e1", 2, None)]));
    assert!(!view.settle_lapses(None), "who doesn't read can't tell");
    assert!(!view.settle_lapses(Some(Duration::from_millis(500))));
    assert!(usable(&view, "e1"));
    assert!(view.settle_lapses(Some(Duration::from_secs(9))));
    assert!(!usable(&view, "e1"));
}

#[test]
fn an_entry_that_comes_back_takes_the_place_of_its_lapse() {
    let mut view = View::default();
    view.read(at(0), at(0), changes(0, vec![item("e1", 1, Some(State::Ready))]));
    view.disturb(at(100));
    view.read(at(200), at(200), changes(1, vec![item("e1", 2, None)]));
    view.read(at(900), at(900), changes(2, vec![item("e1", 3, Some(State::Ready))]));
    view.read(at(9_000), at(9_000), changes(3, Vec::new()));
    view.tick(at(9_000));
    assert!(usable(&view, "e1"));
    assert_eq!(view.upstreams().count(), 1);
}

#[test]
fn a_list_removes_what_it_does_not_name() {
    let mut view = View::default();
    view.take(changes(0, vec![item("e1", 1, Some(State::Ready)), item("e2", 2, Some(State::Ready))]));
    view.take(News::Everything { to: 9, items: vec![item("e2", 2, Some(State::Ready))] });
    assert!(!usable(&view, "e1"));
    assert!(usable(&view, "e2"));
    // An older list, late: it takes nothing back.
    view.take(News::Everything { to: 1, items: vec![item("e1", 1, Some(State::Ready))] });
    assert!(!usable(&view, "e1"));
}

#[test]
fn age_counts_from_the_latest_proof() {
    let mut view = View::default();
    assert_eq!(view.age(at(5)), None);
    view.confirm(at(100));
    view.confirm(at(50));
    assert_eq!(view.age(at(130)), Some(Duration::from_millis(30)));
}

#[test]
fn a_peer_may_vouch_for_a_time_before_this_process_began() {
    let mut view = View::default();
    assert!(!view.is_confirmed());
    view.confirm_by_peer(at(20), Duration::from_millis(500));
    assert!(view.is_confirmed());
    assert_eq!(view.age(at(50)), Some(Duration::from_millis(530)));
    // An older word changes nothing, a newer one does.
    view.confirm_by_peer(at(30), Duration::from_millis(900));
    assert_eq!(view.age(at(50)), Some(Duration::from_millis(530)));
    view.confirm_by_peer(at(40), Duration::from_millis(100));
    assert_eq!(view.age(at(50)), Some(Duration::from_millis(110)));
}

/// What happens to a few upstreams, in the store's order.
#[derive(Clone, Debug)]
struct History(Vec<(u8, Option<State>)>);

impl Arbitrary for History {
    fn arbitrary(g: &mut Gen) -> Self {
        let states = [None, Some(State::Ready), Some(State::Draining)];
        let changes = Vec::<u8>::arbitrary(g).into_iter();
        Self(changes.map(|which| (which % 4, *g.choose(&states).unwrap_or(&None))).collect())
    }
}

impl History {
    fn items(&self) -> Vec<Item> {
        let numbered = self.0.iter().zip(1..);
        numbered.map(|((which, state), revision)| item(&format!("e{which}"), revision, *state)).collect()
    }
}

#[test]
fn upstreams_that_come_and_go_for_good_leave_bounded_memory_and_do_not_come_back() {
    let mut view = View::default();
    for life in 0..30_000_u64 {
        let name = format!("e{life}");
        let items = vec![item(&name, 2 * life + 1, Some(State::Ready)), item(&name, 2 * life + 2, None)];
        assert!(view.take(changes(2 * life, items)));
        view.take_changed();
    }
    assert!(view.remembered() < 10_000, "{}", view.remembered());
    // A peer whose copy is from long ago names some of them.
    let old = News::Everything { to: 50, items: vec![item("e2", 5, Some(State::Ready))] };
    assert!(view.take(old));
    assert_eq!(view.upstreams().count(), 0);
}

#[test]
fn what_changed_is_told_once() {
    let mut view = View::default();
    view.take(changes(0, vec![item("e1", 1, Some(State::Ready)), item("e2", 2, Some(State::Ready))]));
    assert_eq!(view.take_changed().len(), 2);
    assert_eq!(view.take_changed().len(), 0);
    view.take(changes(2, vec![item("e2", 3, None), item("e1", 1, Some(State::Ready))]));
    assert_eq!(view.take_changed().into_iter().collect::<Vec<_>>(), [Subject::Upstream("e2".parse().unwrap())]);
}

quickcheck! {
    /// Two copies, one of which lagged anywhere, agree after one exchange.
    fn a_copy_that_lags_catches_up(history: History, lag: usize) -> bool {
        let items = history.items();
        let lag = if items.is_empty() { 0 } else { lag % items.len() };
        let (mut ahead, mut behind) = (View::default(), View::default());
        for (after, one) in items.iter().enumerate() {
            ahead.take(changes(after as u64, vec![one.clone()]));
        }
        behind.take(changes(0, items[..lag].to_vec()));
        if let Some(news) = ahead.since(behind.revision()) && !behind.take(news) {
            return false;
        }
        let names = ["e0", "e1", "e2", "e3"];
        names.iter().all(|name| usable(&ahead, name) == usable(&behind, name)) && ahead.revision() == behind.revision()
    }

    /// News that come twice, late and out of order leave what the store said last.
    fn order_does_not_matter(history: History, shuffle: Vec<u8>) -> bool {
        let items = history.items();
        let mut view = View::default();
        for index in shuffle {
            if !items.is_empty() {
                view.take(changes(0, vec![items[usize::from(index) % items.len()].clone()]));
            }
        }
        for one in items.iter().rev() {
            view.take(changes(0, vec![one.clone()]));
        }
        (0..4).all(|which| {
            let name = format!("e{which}");
            let last = items.iter().rev().find(|item| item.subject == Subject::Upstream(name.parse().unwrap()));
            let ready = last.is_some_and(|last| matches!(&last.value, Some(Value::Upstream(u)) if u.state == State::Ready));
            usable(&view, &name) == ready
        })
    }
}

/// A whole copy of so many upstreams of a few services and zones, beside a configuration.
fn whole(upstreams: usize) -> News {
    let zones = ["north-a", "north-b", "south-a"];
    let named = (0..upstreams).map(|number| {
        let name = format!("i-{number:010x}");
        let id: id::Upstream = name.parse().unwrap();
        let value = Value::Upstream(Upstream {
            id: id.clone(),
            service: format!("writing-models-{}", number % 2).parse().unwrap(),
            address: std::net::SocketAddr::from(([10, 1, 0, 1], 8_000)),
            zone: zones[number % zones.len()].parse().unwrap(),
            slots: 64,
            state: if number % 7 == 0 { State::Draining } else { State::Ready },
            cold: Duration::from_millis(number as u64 % 3),
            version: (number % 5 > 0).then(|| format!("v{}", number % 2).parse().unwrap()),
        });
        Item { sure: number % 11 > 0, ..Item::new(Subject::Upstream(id), number as u64 + 10, Some(value)) }
    });
    let items = [configuration(3, 7), evacuation(8, true)].into_iter().chain(named).collect();
    News::Everything { to: 90_000, items }
}

#[test]
fn what_is_written_of_a_whole_copy_is_what_is_read() {
    for upstreams in [0, 1, 100, 3_000] {
        let news = whole(upstreams);
        let bytes = stairvale_wire::codec::pack(&news).unwrap();
        assert_eq!(stairvale_wire::codec::unpack::<News>(&bytes).unwrap(), news);
        let News::Everything { items, .. } = &news else { unreachable!() };
        let apart = stairvale_wire::codec::pack(items).unwrap().len();
        let told = format!("{} bytes for {upstreams} upstreams, {apart} one by one", bytes.len());
        assert!(bytes.len() < 200 + upstreams * 36, "{told}");
        assert!(upstreams < 100 || bytes.len() * 2 < apart, "{told}");
    }
}

quickcheck! {
    /// No bytes make a router stumble that reads them as news.
    fn any_bytes_are_news_or_none(bytes: Vec<u8>, cut: usize) -> bool {
        let whole = stairvale_wire::codec::pack(&whole(3)).unwrap();
        let spoilt: Vec<u8> = whole.iter().enumerate().map(|(at, byte)| {
            let other = bytes.get(at).copied().unwrap_or_default();
            if at % 13 == cut % 13 { *byte ^ other } else { *byte }
        }).collect();
        let _ = stairvale_wire::codec::unpack::<News>(&spoilt);
        let _ = stairvale_wire::codec::unpack::<News>(&bytes);
        true
    }
}

/// Lives of one name: the present one is that of the newest entry, whichever copy says so first.
#[test]
fn of_two_lives_of_a_name_only_the_newest_entry_counts() {
    let entry = |revision, start: u64| {
        let value = upstream(&format!("e0@{start}"), State::Ready);
        Item::new(Subject::Upstream("e0".parse().unwrap()), revision, Some(value))
    };
    let mut view = View::default();
    view.take(News::Everything { to: 5, items: vec![entry(5, 2_000)] });
    let (earlier, present) = ("e0@1000".parse().unwrap(), "e0@2000".parse().unwrap());
    assert!(view.is_usable(&present) && !view.is_usable(&earlier) && !view.is_usable(&"e0".parse().unwrap()));
    // An older copy, as of a router that was cut off, doesn't bring the earlier life back.
    view.take(News::Changes { after: 3, to: 4, items: vec![entry(4, 1_000)] });
    assert!(view.is_usable(&present) && !view.is_usable(&earlier));
    // What a lapsed entry said of an earlier life ends with the next one.
    view.disturb(Moment::from_millis(10));
    let gone = Item { sure: false, ..Item::new(Subject::Upstream("e0".parse().unwrap()), 6, None) };
    view.take(News::Changes { after: 5, to: 6, items: vec![gone] });
    assert!(view.is_usable(&present), "it may be back");
    view.take(News::Changes { after: 6, to: 7, items: vec![entry(7, 3_000)] });
    assert!(!view.is_usable(&present) && view.is_usable(&"e0@3000".parse().unwrap()));
}

/// Each router looks several times a second which routers the store names. In a copy of 10,000 upstreams it went through all of
/// them to find thirty names, at each of a thousand routers, and twice more whenever a router came or went.
#[test]
fn what_is_no_upstream_stands_before_all_upstreams() {
    let mut subjects = [
        Subject::Upstream("0".parse().unwrap()),
        Subject::Quarantine(id::Fingerprint(u64::MAX)),
        Subject::Rollout("z".parse().unwrap()),
        Subject::Order("z".parse().unwrap()),
        Subject::Evacuation("z".parse().unwrap()),
        Subject::Router("z".parse().unwrap()),
        Subject::Upstream("1".parse().unwrap()),
        Subject::Configuration,
    ];
    subjects.sort();
    let (upstreams, others): (Vec<_>, Vec<_>) =
        subjects.iter().partition(|subject| matches!(subject, Subject::Upstream(_)));
    assert_eq!(subjects.iter().skip(others.len()).collect::<Vec<_>>(), upstreams);
    assert_eq!(upstreams.len(), 2);
}

/// 10,000 upstreams that register with a fleet are as many changes in a few seconds. A copy that lagged by more than 512 of them was
/// told everything again, as often as each second: 985 routers sent each other 4.1 GB so, a quarter of it between zones.
#[test]
fn a_copy_that_lags_by_thousands_of_changes_is_told_these_alone() {
    const KNOWN: u64 = 6_000;
    const CHANGED: u64 = 2_000;
    let mut view = View::default();
    let items = (1..=KNOWN).map(|number| item(&format!("u{number}"), number, Some(State::Ready))).collect();
    assert!(view.take(News::Changes { after: 0, to: KNOWN, items }));
    let mut lagging = View::default();
    assert!(lagging.take(view.since(0).unwrap()));
    for number in 1..=CHANGED {
        let state = (number % 3 != 0).then_some(State::Draining);
        let revision = KNOWN + number;
        let items = vec![item(&format!("u{number}"), revision, state)];
        assert!(view.take(News::Changes { after: revision - 1, to: revision, items }));
    }
    let news = view.since(lagging.revision()).unwrap();
    let News::Changes { items, .. } = &news else {
        panic!("told everything");
    };
    assert_eq!(items.len() as u64, CHANGED);
    assert!(lagging.take(news));
    let known = |view: &View| view.upstreams().map(|(known, at)| (known.clone(), at)).collect::<Vec<_>>();
    assert_eq!(known(&lagging), known(&view));
    // What was known before the copy that this one began with can't be told apart from what has gone by then.
    assert!(matches!(lagging.since(KNOWN - 1), Some(News::Everything { .. })));
    assert!(matches!(lagging.since(KNOWN), Some(News::Changes { .. })));
}
