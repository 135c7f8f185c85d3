//! Who asks what when: decided beforehand by a seed, so that two policies get the same load.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::chat::Chat;

/// The load's shape.
#[derive(Clone, Debug)]
pub struct Shape {
    /// How long it lasts.
    pub seconds: f64,
    /// Chat turns a second.
    pub rate: f64,
    /// Plain calls a second.
    pub plain_rate: f64,
    /// Customers, the first the largest.
    pub customers: usize,
    /// Mean turns of a chat.
    pub turns: f64,
    /// Median gap between an answer's end and the next turn, in seconds; the tail is long.
    pub gap: f64,
    /// Median tokens of a chat's first prompt; the tail is long.
    pub prompt: f64,
    /// Mean tokens of an answer.
    pub answer: f64,
    /// Share of turns that are urgent lookups.
    pub urgent: f64,
    /// Share of chats that are long jobs.
    pub bulk: f64,
    /// From the middle of the run on, the first customer asks so many times its rate; 1 for no surge.
    pub surge: f64,
}

impl Default for Shape {
    fn default() -> Self {
        Self {
            seconds: 10.0,
            rate: 100.0,
            plain_rate: 10.0,
            customers: 4,
            turns: 6.0,
            gap: 1.0,
            prompt: 600.0,
            answer: 40.0,
            urgent: 0.1,
            bulk: 0.03,
            surge: 1.0,
        }
    }
}

/// A chat's turn.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Turn {
    /// When it is due.
    pub at: Duration,
    /// Which chat.
    pub chat: usize,
    /// Which turn of it, from 0.
    pub turn: usize,
}

/// A plain call.
#[derive(Clone, Debug, PartialEq)]
pub struct Plain {
    /// When it is due.
    pub at: Duration,
    /// The customer.
    pub customer: usize,
    /// Its number; a repeated call has the number of the first.
    pub number: usize,
}

/// A whole run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// All chats.
    pub chats: Vec<Chat>,
    /// All turns, by time.
    pub turns: Vec<Turn>,
    /// All plain calls, by time.
    pub plains: Vec<Plain>,
}

/// The spread of gaps and prompts: the standard deviation of their logarithm.
const SPREAD: f64 = 0.8;
/// What a token takes, for the plan only, in seconds.
const TOKEN: f64 = 0.009;
/// One plain call in this many is repeated under its key.
const REPEATED: u32 = 8;
/// Tokens of a long job's first prompt, times the usual.
const BULK_PROMPT: f64 = 6.0;
/// The longest prompt, in tokens.
const MAX_PROMPT: f64 = 20_000.0;

impl Plan {
    /// Decides a run.
    #[must_use]
    pub fn new(shape: &Shape, seed: u64) -> Self {
        let mut maker = Maker { rng: ChaCha8Rng::seed_from_u64(seed), shape, seed };
        let (chats, turns) = maker.chats();
        let plains = maker.plains();
        Self { chats, turns, plains }
    }
}

struct Maker<'a> {
    rng: ChaCha8Rng,
    shape: &'a Shape,
    seed: u64,
}

impl Maker<'_> {
    fn exponential(&mut self, rate: f64) -> f64 {
        let unit: f64 = self.rng.random_range(f64::EPSILON..1.0);
        -unit.ln() / rate
    }

    /// By the method of Box and Muller.
    fn lognormal(&mut self, median: f64) -> f64 {
        let u: f64 = self.rng.random_range(f64::EPSILON..1.0);
        let v: f64 = self.rng.random();
        let normal = (-2.0 * u.ln()).sqrt() * (std::f64::consts::TAU * v).cos();
        median * (SPREAD * normal).exp()
    }

    /// The first customer has half of all, the next half of the rest, and so on.
    fn customer(&mut self) -> usize {
        let mut customer = 0;
        while customer + 1 < self.shape.customers && self.rng.random_bool(0.5) {
            customer += 1;
        }
        customer
    }

    fn chats(&mut self) -> (Vec<Chat>, Vec<Turn>) {
        let mut chats = Vec::new();
        let mut turns = Vec::new();
        let rate = self.shape.rate / self.shape.turns;
        let mut at = 0.0;
        while at < self.shape.seconds {
            at += self.exponential(rate);
            self.chat(at, &mut chats, &mut turns, None);
            // The surge is an extra stream of the first customer's chats.
            let surges = self.shape.surge > 1.0 && at > self.shape.seconds / 2.0;
            if surges {
                let extra = (self.shape.surge - 1.0) / 2.0;
                for _ in 0..whole(extra) {
                    let offset = self.exponential(rate);
                    self.chat(at + offset, &mut chats, &mut turns, Some(0));
                }
            }
        }
        turns.sort_by_key(|turn| (turn.at, turn.chat, turn.turn));
        (chats, turns)
    }

    fn chat(&mut self, begins: f64, chats: &mut Vec<Chat>, turns: &mut Vec<Turn>, customer: Option<usize>) {
        let customer = customer.unwrap_or_else(|| self.customer());
        let bulk = self.rng.random_bool(self.shape.bulk);
        let size = if bulk { BULK_PROMPT } else { 1.0 };
        let prompt = self.lognormal(self.shape.prompt * size).min(MAX_PROMPT);
        let name = format!("chat-{}-{}", self.seed, chats.len());
        let mut chat = Chat::new(name, customer, whole(prompt));
        chat.bulk = bulk;
        let number = chats.len();
        let mut at = begins;
        loop {
            if at < self.shape.seconds {
                turns.push(Turn { at: Duration::from_secs_f64(at), chat: number, turn: chat.turns() });
            }
            let answer = self.exponential(1.0 / self.shape.answer).clamp(4.0, 400.0);
            let urgent = !bulk && self.rng.random_bool(self.shape.urgent);
            chat.add_turn(whole(answer), urgent);
            let ends = self.rng.random_bool((1.0 / self.shape.turns).min(1.0));
            at += answer * TOKEN + 0.5 + self.lognormal(self.shape.gap);
            if ends || at >= self.shape.seconds {
                break;
            }
        }
        chats.push(chat);
    }

    fn plains(&mut self) -> Vec<Plain> {
        let mut plains = Vec::new();
        if self.shape.plain_rate <= 0.0 {
            return plains;
        }
        let mut at = 0.0;
        let mut number = 0;
        loop {
            at += self.exponential(self.shape.plain_rate);
            if at >= self.shape.seconds {
                break;
            }
            let customer = self.customer();
            plains.push(Plain { at: Duration::from_secs_f64(at), customer, number });
            if self.rng.random_ratio(1, REPEATED) {
                let later = at + self.rng.random_range(0.0..1.0);
                plains.push(Plain { at: Duration::from_secs_f64(later), customer, number });
            }
            number += 1;
        }
        plains.sort_by_key(|plain| (plain.at, plain.number));
        plains
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn whole(value: f64) -> usize {
    value.round().max(0.0) as usize
}
