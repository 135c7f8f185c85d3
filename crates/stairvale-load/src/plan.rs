//! The schedule of all requests of a run. It is determined by a seed, so that different policies get the same
//! load.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::chat::Chat;

/// The parameters of the load.
#[derive(Clone, Debug)]
pub struct Shape {
    /// The duration of the run, in seconds.
    pub seconds: f64,
    /// The rate of chat turns per second.
    pub rate: f64,
    /// The rate of plain calls per second.
    pub plain_rate: f64,
    /// The number of customers; the first one is the largest.
    pub customers: usize,
    /// The mean number of turns of a chat.
    pub turns: f64,
    /// The median gap between the end of an answer and the next turn, in seconds; gaps are log-normal, with a long
    /// tail.
    pub gap: f64,
    /// The median number of tokens in a chat's first prompt; prompts are log-normal, with a long tail.
    pub prompt: f64,
    /// The mean number of tokens in an answer.
    pub answer: f64,
    /// The share of turns that are urgent lookups.
    pub urgent: f64,
    /// The share of chats that are long-running jobs.
    pub bulk: f64,
    /// The factor by which the first customer's rate grows in the second half of the run; 1 for a constant rate.
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

/// A scheduled chat turn.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Turn {
    /// When it is due.
    pub at: Duration,
    /// The index of the chat in [`Plan::chats`].
    pub chat: usize,
    /// The index of the turn within the chat, from 0.
    pub turn: usize,
}

/// A scheduled call of the plain service.
#[derive(Clone, Debug, PartialEq)]
pub struct PlainCall {
    /// When it is due.
    pub at: Duration,
    /// The index of the customer.
    pub customer: usize,
    /// The number of the call; a repeated call has the number of the original.
    pub number: usize,
}

/// The schedule of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// All chats, with the contents of their turns.
    pub chats: Vec<Chat>,
    /// All chat turns, ordered by time.
    pub turns: Vec<Turn>,
    /// All plain calls, ordered by time.
    pub plain_calls: Vec<PlainCall>,
}

/// The standard deviation of the logarithm of gaps and prompt sizes.
const LOG_STD_DEV: f64 = 0.8;
/// The time to generate one token that the schedule assumes, in seconds.
const TOKEN_TIME_S: f64 = 0.009;
/// One plain call in this many is repeated with the same idempotency key.
const REPEAT_ONE_IN: u32 = 8;
/// Size of a long-running job's first prompt as a multiple of the usual size.
const BULK_PROMPT_FACTOR: f64 = 6.0;
/// Maximum size of a first prompt, in tokens.
const MAX_PROMPT_TOKENS: f64 = 20_000.0;

impl Plan {
    /// Creates the schedule of a run from its parameters and a seed.
    #[must_use]
    pub fn new(shape: &Shape, seed: u64) -> Self {
        let mut builder = PlanBuilder { rng: ChaCha8Rng::seed_from_u64(seed), shape, seed };
        let (chats, turns) = builder.chats();
        let plain_calls = builder.plain_calls();
        Self { chats, turns, plain_calls }
    }
}

struct PlanBuilder<'a> {
    rng: ChaCha8Rng,
    shape: &'a Shape,
    seed: u64,
}

impl PlanBuilder<'_> {
    fn exponential(&mut self, rate: f64) -> f64 {
        let unit: f64 = self.rng.random_range(f64::EPSILON..1.0);
        -unit.ln() / rate
    }

    /// Draws a log-normal value by the Box-Muller transform.
    fn lognormal(&mut self, median: f64) -> f64 {
        let u: f64 = self.rng.random_range(f64::EPSILON..1.0);
        let v: f64 = self.rng.random();
        let normal = (-2.0 * u.ln()).sqrt() * (std::f64::consts::TAU * v).cos();
        median * (LOG_STD_DEV * normal).exp()
    }

    /// Draws a customer: the first has half of all requests, the next half of the rest, and so on.
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
            // The first customer's higher rate comes from additional chats.
            let is_surge = self.shape.surge > 1.0 && at > self.shape.seconds / 2.0;
            if is_surge {
                let extra = (self.shape.surge - 1.0) / 2.0;
                for _ in 0..round_to_usize(extra) {
                    let offset = self.exponential(rate);
                    self.chat(at + offset, &mut chats, &mut turns, Some(0));
                }
            }
        }
        turns.sort_by_key(|turn| (turn.at, turn.chat, turn.turn));
        (chats, turns)
    }

    fn chat(&mut self, start: f64, chats: &mut Vec<Chat>, turns: &mut Vec<Turn>, customer: Option<usize>) {
        let customer = customer.unwrap_or_else(|| self.customer());
        let bulk = self.rng.random_bool(self.shape.bulk);
        let size = if bulk { BULK_PROMPT_FACTOR } else { 1.0 };
        let prompt = self.lognormal(self.shape.prompt * size).min(MAX_PROMPT_TOKENS);
        let name = format!("chat-{}-{}", self.seed, chats.len());
        let mut chat = Chat::new(name, customer, round_to_usize(prompt));
        chat.bulk = bulk;
        let number = chats.len();
        let mut at = start;
        loop {
            if at < self.shape.seconds {
                turns.push(Turn { at: Duration::from_secs_f64(at), chat: number, turn: chat.turn_count() });
            }
            let answer = self.exponential(1.0 / self.shape.answer).clamp(4.0, 400.0);
            let urgent = !bulk && self.rng.random_bool(self.shape.urgent);
            chat.add_turn(round_to_usize(answer), urgent);
            let ends = self.rng.random_bool((1.0 / self.shape.turns).min(1.0));
            at += answer * TOKEN_TIME_S + 0.5 + self.lognormal(self.shape.gap);
            if ends || at >= self.shape.seconds {
                break;
            }
        }
        chats.push(chat);
    }

    fn plain_calls(&mut self) -> Vec<PlainCall> {
        let mut calls = Vec::new();
        if self.shape.plain_rate <= 0.0 {
            return calls;
        }
        let mut at = 0.0;
        let mut number = 0;
        loop {
            at += self.exponential(self.shape.plain_rate);
            if at >= self.shape.seconds {
                break;
            }
            let customer = self.customer();
            calls.push(PlainCall { at: Duration::from_secs_f64(at), customer, number });
            if self.rng.random_ratio(1, REPEAT_ONE_IN) {
                let later = at + self.rng.random_range(0.0..1.0);
                calls.push(PlainCall { at: Duration::from_secs_f64(later), customer, number });
            }
            number += 1;
        }
        calls.sort_by_key(|call| (call.at, call.number));
        calls
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn round_to_usize(value: f64) -> usize {
    value.round().max(0.0) as usize
}
