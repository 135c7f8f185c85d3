//! Distribution of a configuration: what routers send each other more than once.

#![allow(clippy::unwrap_used)]

mod world;

use stairvale_serve::{
    core::Effect,
    frame::{Frame, Sync},
};
use world::World;

/// Time for a starting fleet to find its members and register them, in ms.
const SETTLE_MS: u64 = 8_000;
/// The time in which a configuration has to reach a router whose copy of it was lost, in ms.
const LOST_MS: u64 = 1_000;

/// Whether a router's answer to a peer's sync request contains changes.
fn sends_news(world: &mut World, index: usize, peer: usize, after: u64) -> bool {
    let (now, from) = (world.local_time(index), format!("r{peer}").parse().unwrap());
    let sync = Frame::Sync(Sync { number: 1, after: Some(after), routers: None });
    let effects = world.nodes[index].core.frame(now, &from, sync);
    effects.iter().any(|effect| match effect {
        Effect::Frame { frame, .. } => matches!(&**frame, Frame::Synced { news: Some(_), .. }),
        _ => false,
    })
}

/// Guards against a second copy of a configuration that is still in transit, which makes homes answer too late.
#[test]
fn a_configuration_in_transit_isnt_sent_again() {
    for epochs in [false, true] {
        let mut world = World::new(3, 1, 4);
        if epochs {
            world.enable_epochs();
        }
        world.run(SETTLE_MS);
        let reader = (0..3).find(|index| world.nodes[*index].core.is_reader(world.local_time(*index))).unwrap();
        let peer = (reader + 1) % 3;
        let before = world.nodes[peer].core.view().revision();
        world.configure();
        let newest = world.config_versions.last().unwrap().0;
        while world.version(reader) != newest {
            world.run(5);
        }
        assert!(!sends_news(&mut world, reader, peer, before), "epochs {epochs}");
        // What the peer lacked before that was not sent to it.
        assert!(sends_news(&mut world, reader, peer, before - 1), "epochs {epochs}");
        world.run(LOST_MS);
        assert!(sends_news(&mut world, reader, peer, before), "epochs {epochs}");
        assert_eq!(world.version(peer), newest);
    }
}

/// Guards against a router that waits too long for a configuration whose copy was lost.
#[test]
fn a_lost_configuration_arrives_in_time() {
    let mut world = World::new(9, 3, 4);
    world.enable_epochs();
    world.run(SETTLE_MS);
    for _ in 0..6 {
        world.configure();
        let newest = world.config_versions.last().unwrap().0;
        while (0..9).all(|index| world.version(index) != newest) {
            world.run(5);
        }
        // What is sent now is lost.
        let has = (0..9).find(|index| world.version(*index) == newest).unwrap();
        let others: Vec<_> = (0..9).filter(|other| *other != has).collect();
        others.iter().for_each(|other| world.set_cut(has, *other, true));
        world.run(20);
        others.iter().for_each(|other| world.set_cut(has, *other, false));
        world.run(LOST_MS);
        assert!((0..9).all(|index| world.version(index) == newest));
    }
}
