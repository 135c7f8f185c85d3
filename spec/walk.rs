//! Random walks through a specification's moves, shared by the tests that make them with the code's own transitions.

use std::collections::BTreeSet;

/// One walk's choices, decided by its number.
pub struct Walk(u64);

impl Walk {
    /// The walk of a number from 1.
    pub fn new(number: u64) -> Self {
        Self(number)
    }

    /// Picks one of so many moves, by Knuth's linear congruential generator (MMIX).
    pub fn pick(&mut self, moves: usize) -> usize {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        usize::try_from(self.0 >> 33).unwrap() % moves
    }
}

/// The moves that a specification marks with `/* move: name */`; `file` is its name below `spec/`.
pub fn spec_moves(file: &str) -> BTreeSet<String> {
    let spec = format!("{}/../../spec/{file}", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(spec).unwrap();
    let labels = text.split("/* move: ").skip(1);
    labels.map(|rest| rest.split([' ', ';']).next().unwrap().to_owned()).collect()
}
