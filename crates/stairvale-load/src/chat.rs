//! The prompts of a chat. Each holds all earlier turns with their answers, which can be computed in advance.

use serde_json::{Value, json};
use stairvale_standin::text;

/// Approximate number of text bytes per token.
const BYTES_PER_TOKEN: usize = 4;

#[derive(Clone, Debug)]
struct Message {
    user: String,
    answer_tokens: usize,
    urgent: bool,
}

/// A chat of one customer, with the contents of its turns.
#[derive(Clone, Debug)]
pub struct Chat {
    /// The name, as sent in the `stairvale-chat` header.
    pub name: String,
    /// The index of the customer.
    pub customer: usize,
    /// Whether the chat is a long-running job of bulk priority.
    pub bulk: bool,
    first_prompt_tokens: usize,
    messages: Vec<Message>,
}

impl Chat {
    /// Creates a chat without turns, whose first prompt will have about `first_prompt_tokens` tokens.
    #[must_use]
    pub fn new(name: String, customer: usize, first_prompt_tokens: usize) -> Self {
        Self { name, customer, bulk: false, first_prompt_tokens, messages: Vec::new() }
    }

    /// Adds a turn whose answer has `answer_tokens` tokens.
    pub fn add_turn(&mut self, answer_tokens: usize, urgent: bool) {
        let number = self.messages.len();
        let padding = if number == 0 { self.first_prompt_tokens * BYTES_PER_TOKEN } else { 40 };
        let user = format!("{} turn {number} {}", self.name, "x".repeat(padding));
        self.messages.push(Message { user, answer_tokens, urgent });
    }

    /// The number of turns added so far.
    #[must_use]
    pub fn turn_count(&self) -> usize {
        self.messages.len()
    }

    /// The JSON body of the request of a turn, with all earlier turns and their answers.
    #[must_use]
    pub fn request_body(&self, turn: usize) -> String {
        let mut messages: Vec<Value> = Vec::new();
        for earlier in &self.messages[..turn] {
            messages.push(json!({ "role": "user", "content": earlier.user }));
            messages
                .push(json!({ "role": "assistant", "content": text::answer(&earlier.user, earlier.answer_tokens) }));
        }
        let last = &self.messages[turn];
        messages.push(json!({ "role": "user", "content": last.user }));
        json!({ "messages": messages, "max_tokens": last.answer_tokens, "stream": true }).to_string()
    }

    /// The expected answer of a turn.
    #[must_use]
    pub fn expected_answer(&self, turn: usize) -> String {
        let message = &self.messages[turn];
        text::answer(&message.user, message.answer_tokens)
    }

    /// The value of the `priority` header of a turn's request.
    #[must_use]
    pub fn priority(&self, turn: usize) -> &'static str {
        match (self.bulk, self.messages[turn].urgent) {
            (true, _) => "u=6",
            (false, true) => "u=1",
            (false, false) => "u=3",
        }
    }
}
