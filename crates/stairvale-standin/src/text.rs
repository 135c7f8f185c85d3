//! What a stand-in engine says: a function of the prompt and the position.

/// The word at a position of the answer to a prompt.
#[must_use]
pub fn word(prompt: &str, index: usize) -> String {
    let hash = rapidhash::v3::rapidhash_v3(format!("{index}/{prompt}").as_bytes());
    format!("w{:04x} ", hash & 0xffff)
}

/// The whole answer of `length` words.
#[must_use]
pub fn answer(prompt: &str, length: usize) -> String {
    (0..length).map(|index| word(prompt, index)).collect()
}

/// What a stand-in service answers to a body.
#[must_use]
pub fn receipt(body: &[u8]) -> String {
    format!("receipt-{:016x}", rapidhash::v3::rapidhash_v3(body))
}
