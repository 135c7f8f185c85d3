//! Random walks through the moves of a specification, shared by the tests that perform these moves with the transitions of
//! the implementation.

use std::collections::BTreeSet;

/// The pseudo-random choices of one walk, determined by its number.
pub struct Walk(u64);

impl Walk {
    /// Creates the walk with a number, counted from 1.
    pub fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the index of one of `moves` moves, drawn by Knuth's linear congruential generator (MMIX).
    pub fn pick(&mut self, moves: usize) -> usize {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        usize::try_from(self.0 >> 33).unwrap() % moves
    }
}

/// Returns the names of the moves that a specification marks with `/* move: name */`; `file` is its name below `spec/`.
pub fn spec_moves(file: &str) -> BTreeSet<String> {
    let spec = format!("{}/../../spec/{file}", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(spec).unwrap();
    let labels = text.split("/* move: ").skip(1);
    labels.map(|rest| rest.split([' ', ';']).next().unwrap().to_owned()).collect()
}
