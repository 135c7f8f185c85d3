//! Whether an answer is whole, its own, and only that.

use serde_json::Value;

/// How an answered stream looks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Whole and right.
    Whole,
    /// It ended with a typed error: the caller knows that it isn't whole.
    Unknown,
    /// It ended as if it were whole, but it isn't.
    Lost,
    /// It has something that isn't its own, or something twice.
    Mixed,
}

/// Reads a stream piece by piece.
#[derive(Debug, Default)]
pub struct Reader {
    buffer: String,
    text: String,
    done: bool,
    failed: bool,
    extra: bool,
    /// Tokens so far.
    pub tokens: usize,
}

impl Reader {
    /// Takes a piece; says how many tokens came with it.
    pub fn extend(&mut self, piece: &[u8]) -> usize {
        let before = self.tokens;
        self.buffer.push_str(&String::from_utf8_lossy(piece));
        while let Some(end) = self.buffer.find("\n\n") {
            let event: String = self.buffer.drain(..end + 2).collect();
            self.event(&event);
        }
        self.tokens - before
    }

    fn event(&mut self, event: &str) {
        self.extra |= self.done;
        if event.contains("event: error") {
            self.failed = true;
            return;
        }
        let Some(data) = event.lines().find_map(|line| line.strip_prefix("data: ")) else {
            return;
        };
        if data == "[DONE]" {
            self.done = true;
            return;
        }
        let json: Value = serde_json::from_str(data).unwrap_or_default();
        let word = json["choices"][0]["delta"]["content"].as_str().unwrap_or("?");
        self.text.push_str(word);
        self.tokens += 1;
    }

    /// Whether the end marker came.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// The verdict, given what the answer should be.
    #[must_use]
    pub fn verdict(&self, expected: &str) -> Verdict {
        if self.extra || !expected.starts_with(&self.text) {
            return Verdict::Mixed;
        }
        if self.failed {
            return Verdict::Unknown;
        }
        if !self.done || self.text != expected {
            return Verdict::Lost;
        }
        Verdict::Whole
    }
}
