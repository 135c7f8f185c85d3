//! The builds of peers, which decide the frames that they can be sent.

use std::collections::HashMap;

use stairvale_types::id;

use super::{Core, Effect, Reply};
use crate::frame::{Finding, Frame};

/// Maximum number of frames that wait for the stream to a peer to be opened.
const MAX_WAITING_FRAMES: usize = 256;

/// The builds of peers, and frames that wait until a peer's build is known.
#[derive(Debug, Default)]
pub(super) struct Builds {
    /// The minor versions of peers with an open stream.
    minors: HashMap<id::Router, u16>,
    /// Frames to peers whose minor version isn't known yet.
    waiting: HashMap<id::Router, Vec<Frame>>,
}

impl Builds {
    /// Forgets the build of a peer, whose stream broke.
    pub(super) fn forget(&mut self, peer: &id::Router) {
        self.minors.remove(peer);
        self.waiting.remove(peer);
    }
}

impl Core {
    /// Sends what waits for the stream to a peer, which reads the frames of this minor version.
    pub(super) fn send_waiting(&mut self, peer: &id::Router, minor: u16) -> Vec<Effect> {
        self.builds.minors.insert(peer.clone(), minor);
        let frames = self.builds.waiting.remove(peer).unwrap_or_default();
        frames.into_iter().flat_map(|frame| self.send_to_build(peer, minor, frame)).collect()
    }

    /// Sends a frame to a peer in a form that its build reads; opens a stream first if the build isn't known.
    pub(super) fn send_when_known(&mut self, peer: &id::Router, frame: Frame) -> Vec<Effect> {
        if frame.min_minor_version() == 0 {
            return self.send(peer, frame);
        }
        if let Some(minor) = self.builds.minors.get(peer) {
            return self.send_to_build(peer, *minor, frame);
        }
        let Some((to, address)) = self.responding_peer(peer) else {
            return report_unknown(&frame);
        };
        let waiting = self.builds.waiting.entry(to.clone()).or_default();
        if waiting.len() < MAX_WAITING_FRAMES {
            waiting.push(frame);
        }
        vec![Effect::Connect { to, address }]
    }

    /// Sends a frame to a peer of a minor version, in an earlier form if the peer doesn't read it.
    fn send_to_build(&self, peer: &id::Router, minor: u16, frame: Frame) -> Vec<Effect> {
        if frame.min_minor_version() <= minor {
            return self.send(peer, frame);
        }
        match frame {
            Frame::Evidence { service, evidence } => {
                self.send(peer, Frame::Evidence { service, evidence: evidence.without_parts() })
            }
            Frame::FindOrigin { attempt, stream: Some(stream), .. } => {
                let earlier = Frame::FindStream { attempt, stream };
                if earlier.min_minor_version() <= minor { self.send(peer, earlier) } else { report_unknown(&earlier) }
            }
            frame => report_unknown(&frame),
        }
    }
}

/// Answers a question in place of a peer whose build doesn't know it.
fn report_unknown(frame: &Frame) -> Vec<Effect> {
    match frame {
        Frame::FindStream { attempt, .. } | Frame::FindOrigin { attempt, .. } => {
            vec![Effect::Reply { attempt: *attempt, reply: Reply::StreamFound(Finding::Unknown) }]
        }
        _ => Vec::new(),
    }
}
