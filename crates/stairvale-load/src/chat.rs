//! A chat's prompts: each holds all earlier turns with their answers, which are known beforehand.

use serde_json::{Value, json};
use stairvale_standin::text;

/// Text bytes that make about one token.
const BYTES_PER_TOKEN: usize = 4;

#[derive(Clone, Debug)]
struct Said {
    user: String,
    tokens: usize,
    urgent: bool,
}

/// A chat.
#[derive(Clone, Debug)]
pub struct Chat {
    /// Its name.
    pub name: String,
    /// Its customer.
    pub customer: usize,
    /// Whether it is a long job.
    pub bulk: bool,
    opening: usize,
    said: Vec<Said>,
}

impl Chat {
    /// A chat whose first prompt has about so many tokens.
    #[must_use]
    pub fn new(name: String, customer: usize, opening: usize) -> Self {
        Self { name, customer, bulk: false, opening, said: Vec::new() }
    }

    /// Adds a turn that is answered with so many tokens.
    pub fn add_turn(&mut self, tokens: usize, urgent: bool) {
        let number = self.said.len();
        let padding = if number == 0 { self.opening * BYTES_PER_TOKEN } else { 40 };
        let user = format!("{} turn {number} {}", self.name, "x".repeat(padding));
        self.said.push(Said { user, tokens, urgent });
    }

    /// How many turns it has.
    #[must_use]
    pub fn turns(&self) -> usize {
        self.said.len()
    }

    /// The body of a turn's request.
    #[must_use]
    pub fn body(&self, turn: usize) -> String {
        let mut messages: Vec<Value> = Vec::new();
        for said in &self.said[..turn] {
            messages.push(json!({ "role": "user", "content": said.user }));
            messages.push(json!({ "role": "assistant", "content": text::answer(&said.user, said.tokens) }));
        }
        let last = &self.said[turn];
        messages.push(json!({ "role": "user", "content": last.user }));
        json!({ "messages": messages, "max_tokens": last.tokens, "stream": true }).to_string()
    }

    /// What a turn's answer must be.
    #[must_use]
    pub fn answer(&self, turn: usize) -> String {
        let said = &self.said[turn];
        text::answer(&said.user, said.tokens)
    }

    /// The `priority` of a turn's request.
    #[must_use]
    pub fn priority(&self, turn: usize) -> &'static str {
        match (self.bulk, self.said[turn].urgent) {
            (true, _) => "u=6",
            (false, true) => "u=1",
            (false, false) => "u=3",
        }
    }
}
