//! The checks of the load generator must detect the faults that they are made for, and its plans must follow their
//! settings.

#![allow(clippy::unwrap_used, clippy::expect_used)]

use stairvale_load::{
    check::{AnswerReader, Verdict},
    plan::{Plan, Shape},
};
use stairvale_standin::text;

fn event(id: usize, token: &str) -> String {
    format!("id: {id}\ndata: {{\"choices\":[{{\"delta\":{{\"content\":\"{token}\"}}}}]}}\n\n")
}

fn stream(prompt: &str, tokens: usize) -> Vec<String> {
    let events = (0..tokens).map(|index| event(index + 1, &text::word(prompt, index)));
    events.chain(["data: [DONE]\n\n".to_owned()]).collect()
}

fn verdict(chunks: &[String]) -> Verdict {
    let mut reader = AnswerReader::default();
    for chunk in chunks {
        reader.extend(chunk.as_bytes());
    }
    reader.verdict(&text::answer("mine", 6))
}

#[test]
fn complete_answer_is_accepted() {
    assert_eq!(verdict(&stream("mine", 6)), Verdict::Complete);
}

#[test]
fn truncated_repeated_and_mixed_answers_are_detected() {
    let correct = stream("mine", 6);
    assert_eq!(verdict(&correct[..4]), Verdict::Lost, "no end marker");
    assert_eq!(verdict(&[&correct[..2], &correct[3..]].concat()), Verdict::Mixed, "a token is missing");
    assert_eq!(verdict(&[&correct[..3], &correct[2..]].concat()), Verdict::Mixed, "a token is repeated");
    assert_eq!(verdict(&[&correct[..], &correct[..1]].concat()), Verdict::Mixed, "data after the end marker");
    assert_eq!(verdict(&stream("another's", 6)), Verdict::Mixed);
    let error = "event: error\ndata: {}\n\n".to_owned();
    assert_eq!(verdict(&[&correct[..3], &[error]].concat()), Verdict::Unknown);
}

#[test]
fn plan_follows_its_seed_and_rate() {
    let shape = Shape { seconds: 60.0, rate: 50.0, ..Shape::default() };
    let (one, same, other) = (Plan::new(&shape, 3), Plan::new(&shape, 3), Plan::new(&shape, 4));
    assert_eq!(one.turns, same.turns);
    assert_ne!(one.turns, other.turns);
    let late = one.turns.iter().filter(|turn| turn.at.as_secs_f64() > 30.0).count();
    assert!((1_000..2_000).contains(&late), "{late} turns in the second 30 s at 50 a second");
    let repeated = one.plain_calls.windows(2).any(|pair| pair[0].number == pair[1].number) || one.plain_calls.len() > 1;
    assert!(repeated);
}
