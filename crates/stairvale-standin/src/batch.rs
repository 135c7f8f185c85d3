//! Continuous batching: each step gives every running stream a token and prefills a chunk of what waits.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use crate::{cache::Cache, text};

/// How fast an engine is.
#[derive(Clone, Copy, Debug)]
pub struct Speed {
    /// A step without prefill.
    pub step: Duration,
    /// What one prefilled token adds to a step.
    pub prefill: Duration,
    /// Tokens prefilled in one step at the most.
    pub chunk: u32,
    /// Streams that decode at once.
    pub slots: usize,
}

/// A request as the batch knows it.
#[derive(Clone, Debug)]
pub struct Job {
    /// The router's attempt id.
    pub attempt: String,
    /// What the answer is a function of.
    pub prompt: String,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens to generate.
    pub max_tokens: usize,
    /// The chat, if any.
    pub chat: Option<String>,
    /// Zero is the most urgent.
    pub class: u8,
}

/// A stream's state.
#[derive(Clone, Debug)]
pub struct Stream {
    /// The request.
    pub job: Job,
    /// Tokens of the prompt that were found in the cache.
    pub cached: u32,
    /// Tokens generated so far.
    pub generated: usize,
    /// Whether it ended.
    pub done: bool,
    /// Whether somebody reads it.
    pub readers: usize,
    /// Since when nobody does.
    pub orphaned: Option<Instant>,
    to_prefill: u32,
}

/// A stream that nobody reads for this long is given up.
const ORPHAN: Duration = Duration::from_secs(2);
/// A whole stream stays this long, so that its end can be fetched again.
const KEEP: Duration = Duration::from_secs(5);

/// All streams of an engine.
#[derive(Debug)]
pub struct Batch {
    /// The prefix cache.
    pub cache: Cache,
    streams: HashMap<String, Stream>,
    waiting: VecDeque<String>,
    running: Vec<String>,
    finished: VecDeque<(Instant, String)>,
    speed: Speed,
}

impl Batch {
    /// A batch without streams.
    #[must_use]
    pub fn new(speed: Speed, cache: Cache) -> Self {
        Self {
            cache,
            streams: HashMap::new(),
            waiting: VecDeque::new(),
            running: Vec::new(),
            finished: VecDeque::new(),
            speed,
        }
    }

    /// Requests that run or wait.
    #[must_use]
    pub fn load(&self) -> usize {
        self.waiting.len() + self.running.len()
    }

    /// A stream.
    #[must_use]
    pub fn get(&self, attempt: &str) -> Option<&Stream> {
        self.streams.get(attempt)
    }

    /// A stream, to change it.
    pub fn get_mut(&mut self, attempt: &str) -> Option<&mut Stream> {
        self.streams.get_mut(attempt)
    }

    /// Takes a request; returns how many of its prompt's tokens are cached.
    pub fn add(&mut self, job: Job) -> u32 {
        let cached = job.chat.as_ref().map_or(0, |chat| self.cache.get(chat)).min(job.prompt_tokens);
        let attempt = job.attempt.clone();
        let to_prefill = job.prompt_tokens - cached;
        let stream = Stream { job, cached, generated: 0, done: false, readers: 0, orphaned: None, to_prefill };
        self.streams.insert(attempt.clone(), stream);
        self.waiting.push_back(attempt);
        cached
    }

    /// Gives a stream up.
    pub fn cancel(&mut self, attempt: &str) {
        self.waiting.retain(|other| other != attempt);
        self.running.retain(|other| other != attempt);
        if let Some(stream) = self.streams.get_mut(attempt) {
            stream.done = true;
        }
        self.streams.remove(attempt);
    }

    /// One step; returns how long it takes.
    pub fn step(&mut self) -> Duration {
        self.sweep();
        self.decode();
        self.admit();
        let prefilled = self.prefill();
        self.speed.step + self.speed.prefill * prefilled
    }

    // ------------------------------------------------------------------------

    /// Every running stream whose prompt is prefilled gets a token.
    fn decode(&mut self) {
        let mut ended = Vec::new();
        for attempt in &self.running {
            let Some(stream) = self.streams.get_mut(attempt) else {
                continue;
            };
            if stream.to_prefill > 0 {
                continue;
            }
            stream.generated += 1;
            if stream.generated >= stream.job.max_tokens {
                stream.done = true;
                ended.push(attempt.clone());
            }
        }
        for attempt in ended {
            self.finish(&attempt);
        }
    }

    fn finish(&mut self, attempt: &str) {
        self.running.retain(|other| other != attempt);
        self.finished.push_back((Instant::now(), attempt.to_owned()));
        let Some(stream) = self.streams.get(attempt) else {
            return;
        };
        let generated = u32::try_from(stream.generated).unwrap_or(u32::MAX);
        let tokens = stream.job.prompt_tokens + generated;
        if let Some(chat) = stream.job.chat.clone() {
            self.cache.put(&chat, tokens);
        }
    }

    /// The most urgent of those who wait come in while there are slots.
    fn admit(&mut self) {
        while self.running.len() < self.speed.slots {
            let class = |attempt: &String| self.streams.get(attempt).map_or(u8::MAX, |stream| stream.job.class);
            let next = (0..self.waiting.len()).min_by_key(|index| (class(&self.waiting[*index]), *index));
            let Some(attempt) = next.and_then(|index| self.waiting.remove(index)) else {
                return;
            };
            self.running.push(attempt);
        }
    }

    /// A chunk of prompts is prefilled, the most urgent first.
    fn prefill(&mut self) -> u32 {
        let mut left = self.speed.chunk;
        let class = |attempt: &String| self.streams.get(attempt).map_or(u8::MAX, |stream| stream.job.class);
        let mut order: Vec<_> = self.running.clone();
        order.sort_by_key(class);
        for attempt in order {
            let Some(stream) = self.streams.get_mut(&attempt) else {
                continue;
            };
            let part = stream.to_prefill.min(left);
            stream.to_prefill -= part;
            left -= part;
        }
        self.speed.chunk - left
    }

    /// Gives up what nobody reads, and forgets what ended a while ago.
    fn sweep(&mut self) {
        let orphaned =
            |stream: &&Stream| stream.orphaned.is_some_and(|since| since.elapsed() >= ORPHAN) && !stream.done;
        let orphans: Vec<_> = self.streams.values().filter(orphaned).map(|stream| stream.job.attempt.clone()).collect();
        for attempt in orphans {
            self.cancel(&attempt);
        }
        while self.finished.front().is_some_and(|(at, _)| at.elapsed() >= KEEP) {
            if let Some((_, attempt)) = self.finished.pop_front() {
                self.streams.remove(&attempt);
            }
        }
    }
}

impl Stream {
    /// The server-sent event at a position, from 1; the one after the last token is the end marker.
    #[must_use]
    pub fn event(&self, position: usize) -> Option<String> {
        if position <= self.generated {
            let word = text::word(&self.job.prompt, position - 1);
            return Some(format!(
                "id: {position}\ndata: {{\"choices\":[{{\"delta\":{{\"content\":\"{word}\"}}}}]}}\n\n"
            ));
        }
        let is_end = self.done && position == self.generated + 1;
        is_end.then(|| format!("id: {position}\ndata: [DONE]\n\n"))
    }
}
