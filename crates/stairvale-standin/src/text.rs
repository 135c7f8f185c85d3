//! The answers of the stand-ins. An engine's words are a function of the prompt and the position, and a service's receipt
//! is a function of the request body.

/// Returns the word at a position, counted from 0, of the answer to a prompt.
#[must_use]
pub fn word(prompt: &str, index: usize) -> String {
    let hash = rapidhash::v3::rapidhash_v3(format!("{index}/{prompt}").as_bytes());
    format!("w{:04x} ", hash & 0xffff)
}

/// Returns the complete answer of `length` words to a prompt.
#[must_use]
pub fn answer(prompt: &str, length: usize) -> String {
    (0..length).map(|index| word(prompt, index)).collect()
}

/// Returns the receipt with which a stand-in service answers a request body.
#[must_use]
pub fn receipt(body: &[u8]) -> String {
    format!("receipt-{:016x}", rapidhash::v3::rapidhash_v3(body))
}
