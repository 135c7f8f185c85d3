//! The load's own judgement: it must see what it is there to see.

#![allow(clippy::unwrap_used, clippy::expect_used)]

use stairvale_load::{
    check::{Reader, Verdict},
    plan::{Plan, Shape},
};
use stairvale_standin::text;

fn event(id: usize, word: &str) -> String {
    format!("id: {id}\ndata: {{\"choices\":[{{\"delta\":{{\"content\":\"{word}\"}}}}]}}\n\n")
}

fn stream(prompt: &str, tokens: usize) -> Vec<String> {
    let words = (0..tokens).map(|index| event(index + 1, &text::word(prompt, index)));
    words.chain(["data: [DONE]\n\n".to_owned()]).collect()
}

fn verdict(pieces: &[String]) -> Verdict {
    let mut reader = Reader::default();
    for piece in pieces {
        reader.extend(piece.as_bytes());
    }
    reader.verdict(&text::answer("mine", 6))
}

#[test]
fn a_whole_answer_is_whole() {
    assert_eq!(verdict(&stream("mine", 6)), Verdict::Whole);
}

#[test]
fn a_cut_a_doubled_and_a_mixed_answer_are_seen() {
    let good = stream("mine", 6);
    assert_eq!(verdict(&good[..4]), Verdict::Lost, "no end marker");
    assert_eq!(verdict(&[&good[..2], &good[3..]].concat()), Verdict::Mixed, "a token is missing");
    assert_eq!(verdict(&[&good[..3], &good[2..]].concat()), Verdict::Mixed, "a token came twice");
    assert_eq!(verdict(&[&good[..], &good[..1]].concat()), Verdict::Mixed, "something after the end");
    assert_eq!(verdict(&stream("another's", 6)), Verdict::Mixed);
    let error = "event: error\ndata: {}\n\n".to_owned();
    assert_eq!(verdict(&[&good[..3], &[error]].concat()), Verdict::Unknown);
}

#[test]
fn a_plan_follows_its_seed_and_rate() {
    let shape = Shape { seconds: 60.0, rate: 50.0, ..Shape::default() };
    let (one, same, other) = (Plan::new(&shape, 3), Plan::new(&shape, 3), Plan::new(&shape, 4));
    assert_eq!(one.turns, same.turns);
    assert_ne!(one.turns, other.turns);
    let late = one.turns.iter().filter(|turn| turn.at.as_secs_f64() > 30.0).count();
    assert!((1_000..2_000).contains(&late), "{late} turns in the second 30 s at 50 a second");
    let repeated = one.plains.windows(2).any(|pair| pair[0].number == pair[1].number) || one.plains.len() > 1;
    assert!(repeated);
}
