//! Continuous batching: each step decodes one token of every running stream and prefills a chunk of pending prompts.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use crate::{cache::Cache, text};

/// The simulated speed and concurrency of an engine.
#[derive(Clone, Copy, Debug)]
pub struct Speed {
    /// The duration of a step that prefills nothing.
    pub step: Duration,
    /// The time that each prefilled token adds to a step.
    pub prefill_per_token: Duration,
    /// The maximum number of tokens prefilled in one step.
    pub chunk_tokens: u32,
    /// The maximum number of streams in the running batch.
    pub slots: usize,
}

/// A generation request in the batch.
#[derive(Clone, Debug)]
pub struct Job {
    /// The router's attempt id.
    pub attempt: String,
    /// The text of the last message, which determines the generated answer.
    pub prompt: String,
    /// The length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// The number of tokens to generate.
    pub max_tokens: usize,
    /// The chat whose cached prefix the request may reuse, if it belongs to one.
    pub chat: Option<String>,
    /// The priority class; 0 is the most urgent.
    pub class: u8,
}

/// The state of one generated stream.
#[derive(Clone, Debug)]
pub struct Stream {
    /// The request that the stream answers.
    pub job: Job,
    /// The number of prompt tokens that were found in the prefix cache.
    pub cached: u32,
    /// The number of tokens generated so far.
    pub generated: usize,
    /// Whether all tokens were generated or the stream was cancelled.
    pub done: bool,
    /// The number of connected readers.
    pub readers: usize,
    /// When the last reader disconnected; `None` while there are readers.
    pub orphaned_since: Option<Instant>,
    to_prefill: u32,
}

/// An unfinished stream without readers is cancelled after this time.
const ORPHAN_TIMEOUT: Duration = Duration::from_secs(2);
/// A finished stream is retained this long so that a reader can resume it and fetch its end again.
const FINISHED_RETENTION: Duration = Duration::from_secs(5);

/// All streams of an engine: waiting, running and recently finished.
#[derive(Debug)]
pub struct Batch {
    /// The engine's prefix cache.
    pub cache: Cache,
    streams: HashMap<String, Stream>,
    waiting: VecDeque<String>,
    running: Vec<String>,
    finished: VecDeque<(Instant, String)>,
    speed: Speed,
}

impl Batch {
    /// Creates a batch without streams.
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

    /// Returns the number of running and waiting requests.
    #[must_use]
    pub fn load(&self) -> usize {
        self.waiting.len() + self.running.len()
    }

    /// Returns the stream of an attempt.
    #[must_use]
    pub fn get(&self, attempt: &str) -> Option<&Stream> {
        self.streams.get(attempt)
    }

    /// Returns the stream of an attempt for modification.
    pub fn get_mut(&mut self, attempt: &str) -> Option<&mut Stream> {
        self.streams.get_mut(attempt)
    }

    /// Queues a request and returns the number of its prompt tokens that are cached.
    pub fn add(&mut self, job: Job) -> u32 {
        let cached = job.chat.as_ref().map_or(0, |chat| self.cache.get(chat)).min(job.prompt_tokens);
        let attempt = job.attempt.clone();
        let to_prefill = job.prompt_tokens - cached;
        let stream = Stream { job, cached, generated: 0, done: false, readers: 0, orphaned_since: None, to_prefill };
        self.streams.insert(attempt.clone(), stream);
        self.waiting.push_back(attempt);
        cached
    }

    /// Cancels and removes the stream of an attempt.
    pub fn cancel(&mut self, attempt: &str) {
        self.waiting.retain(|other| other != attempt);
        self.running.retain(|other| other != attempt);
        if let Some(stream) = self.streams.get_mut(attempt) {
            stream.done = true;
        }
        self.streams.remove(attempt);
    }

    /// Runs one step and returns its simulated duration.
    pub fn step(&mut self) -> Duration {
        self.sweep();
        self.decode();
        self.admit();
        let prefilled = self.prefill();
        self.speed.step + self.speed.prefill_per_token * prefilled
    }

    // ------------------------------------------------------------------------

    /// Generates one token for every running stream whose prompt is fully prefilled.
    fn decode(&mut self) {
        let mut finished = Vec::new();
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
                finished.push(attempt.clone());
            }
        }
        for attempt in finished {
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

    /// Moves waiting requests into free slots, the most urgent class first.
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

    /// Prefills up to one chunk of tokens, the most urgent streams first, and returns the number of tokens prefilled.
    fn prefill(&mut self) -> u32 {
        let mut budget = self.speed.chunk_tokens;
        let class = |attempt: &String| self.streams.get(attempt).map_or(u8::MAX, |stream| stream.job.class);
        let mut order: Vec<_> = self.running.clone();
        order.sort_by_key(class);
        for attempt in order {
            let Some(stream) = self.streams.get_mut(&attempt) else {
                continue;
            };
            let tokens = stream.to_prefill.min(budget);
            stream.to_prefill -= tokens;
            budget -= tokens;
        }
        self.speed.chunk_tokens - budget
    }

    /// Cancels streams that have been without readers for `ORPHAN_TIMEOUT`, and removes finished streams after
    /// `FINISHED_RETENTION`.
    fn sweep(&mut self) {
        let orphaned = |stream: &&Stream| {
            stream.orphaned_since.is_some_and(|since| since.elapsed() >= ORPHAN_TIMEOUT) && !stream.done
        };
        let orphans: Vec<_> = self.streams.values().filter(orphaned).map(|stream| stream.job.attempt.clone()).collect();
        for attempt in orphans {
            self.cancel(&attempt);
        }
        while self.finished.front().is_some_and(|(at, _)| at.elapsed() >= FINISHED_RETENTION) {
            if let Some((_, attempt)) = self.finished.pop_front() {
                self.streams.remove(&attempt);
            }
        }
    }
}

impl Stream {
    /// Returns the server-sent event at a position, counted from 1, or `None` if it was not generated yet. The event after
    /// the last token is the end marker.
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
