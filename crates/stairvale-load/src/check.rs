//! Checks that a streamed answer is complete, belongs to its request, and has nothing else in it.

use serde_json::Value;

/// The result of checking a streamed answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The answer is complete and correct.
    Complete,
    /// The stream ended with an error event, so the caller knows that the answer is incomplete.
    Unknown,
    /// The stream ended without an error event, but the answer is incomplete.
    Lost,
    /// The stream has data of another answer, data out of order or repeated, or data after its end.
    Mixed,
}

/// Parses a streamed answer chunk by chunk.
#[derive(Debug, Default)]
pub struct AnswerReader {
    buffer: String,
    text: String,
    done: bool,
    failed: bool,
    data_after_end: bool,
    /// The number of tokens received so far.
    pub tokens: usize,
}

impl AnswerReader {
    /// Parses the next chunk and returns the number of tokens in it.
    pub fn extend(&mut self, chunk: &[u8]) -> usize {
        let before = self.tokens;
        self.buffer.push_str(&String::from_utf8_lossy(chunk));
        while let Some(end) = self.buffer.find("\n\n") {
            let event: String = self.buffer.drain(..end + 2).collect();
            self.handle_event(&event);
        }
        self.tokens - before
    }

    fn handle_event(&mut self, event: &str) {
        self.data_after_end |= self.done;
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
        let token = json["choices"][0]["delta"]["content"].as_str().unwrap_or("?");
        self.text.push_str(token);
        self.tokens += 1;
    }

    /// Whether the end marker `[DONE]` was received.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// The verdict on what was received, given the expected answer.
    #[must_use]
    pub fn verdict(&self, expected: &str) -> Verdict {
        if self.data_after_end || !expected.starts_with(&self.text) {
            return Verdict::Mixed;
        }
        if self.failed {
            return Verdict::Unknown;
        }
        if !self.done || self.text != expected {
            return Verdict::Lost;
        }
        Verdict::Complete
    }
}
