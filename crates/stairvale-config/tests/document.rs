//! Documents are checked as a whole; faults name line, field and reason. Chunks put the text together again.

#![allow(clippy::unwrap_used, clippy::expect_used)]

use quickcheck::quickcheck;
use stairvale_config::{
    Change, Document, Generation, Manifest,
    chunk::{self, Digest},
    document::key_hash,
    fault::Reason,
    manifest::HISTORY,
};

const GOOD: &str = "\
zones:
  - name: a
    region: r
services:
  - name: chat
    kind: model
    model: m
    slots: 8
  - name: points
    kind: plain
customers:
  - name: c
    key_hash: e48d73857dd8cca1c1e1dabdd93525cb9a44f99a87bd89e0aed84d5a38252fe7
operators: []
";

fn fault(text: &str) -> stairvale_config::Fault {
    Document::parse(text).expect_err("the document is wrong").current_context().clone()
}

#[test]
fn a_good_document_has_its_defaults() {
    let document = Document::parse(GOOD).unwrap();
    assert_eq!(document.service("chat").unwrap().slots, 8);
    assert!((document.service("points").unwrap().load_multiple.get() - 1.25).abs() < 1e-9);
    assert_eq!(document.region(&"a".parse().unwrap()).unwrap().as_str(), "r");
}

#[test]
fn the_examples_are_valid() {
    for file in ["prairie-commons", "calibration-ledger"] {
        let path = format!("{}/../../examples/{file}.yaml", env!("CARGO_MANIFEST_DIR"));
        let text = std::fs::read_to_string(path).unwrap();
        let document = Document::parse(&text).unwrap();
        assert_eq!(document.zones.len(), 3);
        assert_eq!(document.customers.len(), 10);
    }
}

#[test]
fn a_number_out_of_range_is_found_with_its_line() {
    let fault = fault(&GOOD.replace("slots: 8", "slots: 0"));
    assert_eq!(fault.line, Some(8));
    assert_eq!(fault.field, "services[0].slots");
    assert_eq!(fault.reason, Reason::Range(1, 100_000));
}

#[test]
fn an_unknown_field_is_a_fault() {
    let fault = fault(&GOOD.replace("slots: 8", "slotz: 8"));
    assert!(fault.to_string().contains("slotz"), "{fault}");
    assert!(fault.line.is_some());
}

#[test]
fn a_name_that_stands_twice_is_a_fault() {
    let fault = fault(&GOOD.replace("name: points", "name: chat"));
    assert_eq!(fault.reason, Reason::Twice("chat".into()));
}

#[test]
fn a_key_must_be_a_hash_and_belong_to_one() {
    let bad = GOOD.replace("e48d73857", "E48d73857");
    assert_eq!(fault(&bad).reason, Reason::KeyHash);
    let hash = "e48d73857dd8cca1c1e1dabdd93525cb9a44f99a87bd89e0aed84d5a38252fe7";
    let shared = GOOD.replace("operators: []", &format!("operators:\n  - name: o\n    key_hash: {hash}"));
    assert_eq!(fault(&shared).reason, Reason::SharedKey("customers[0]".into()));
}

#[test]
fn a_model_service_names_its_model_and_a_plain_one_has_none() {
    assert_eq!(fault(&GOOD.replace("    model: m\n", "")).reason, Reason::NoModel);
    assert_eq!(fault(&GOOD.replace("kind: plain", "kind: plain\n    model: m")).reason, Reason::PlainService);
    assert_eq!(
        fault(&GOOD.replace("kind: plain", "kind: plain\n    not_repeatable: [SEND]")).reason,
        Reason::Method("SEND".into())
    );
}

#[test]
fn keys_are_only_written_as_hashes() {
    assert_eq!(key_hash("member-assistant-key").len(), 64);
}

#[test]
fn a_small_change_to_a_large_document_changes_few_chunks() {
    let line = |n: usize| format!("  - name: customer-{n}\n    key_hash: {}\n", key_hash(&n.to_string()));
    let before: String = (0..1_500).map(line).collect();
    let after = before.replace("name: customer-700\n", "name: customer-700-renamed\n");
    let digests =
        |text: &str| chunk::split(text).into_iter().map(|chunk| Digest::of(chunk.as_bytes())).collect::<Vec<_>>();
    let (before, after) = (digests(&before), digests(&after));
    let new = after.iter().filter(|digest| !before.contains(digest)).count();
    assert!(before.len() > 10 && new <= 2, "{new} of {} chunks are new", after.len());
}

#[test]
fn the_history_is_bounded_and_finds_submissions() {
    let change = |generation| Change {
        generation: Generation(generation),
        submission: format!("s{generation}"),
        operator: "op".parse().unwrap(),
        at_ms: 0,
        document: Digest::of(b""),
    };
    let mut manifest = Manifest::after(None, change(1), Vec::new());
    for generation in 2..200 {
        manifest = Manifest::after(Some(&manifest), change(generation), Vec::new());
    }
    assert_eq!(manifest.history.len(), HISTORY);
    assert!(manifest.find("s198").is_some() && manifest.find("s199").is_some());
    assert!(manifest.find("s1").is_none());
}

quickcheck! {
    fn any_text_gives_a_document_or_a_fault(text: String) -> bool {
        let _ = Document::parse(&text);
        true
    }

    fn any_damage_gives_a_document_or_a_fault(at: usize, byte: u8) -> bool {
        let mut bytes = GOOD.as_bytes().to_vec();
        let at = at % bytes.len();
        bytes[at] = byte;
        if let Ok(text) = String::from_utf8(bytes) {
            let _ = Document::parse(&text);
        }
        true
    }

    fn chunks_make_up_the_text(text: String) -> bool {
        chunk::split(&text).concat() == text
    }
}
