//! Validation of documents, whose faults give line, field and reason; splitting into chunks; the manifest's history.

#![allow(clippy::unwrap_used, clippy::expect_used)]

use quickcheck::quickcheck;
use stairvale_config::{
    Change, Document, Generation, Manifest,
    chunk::{self, Digest},
    document::key_hash,
    fault::Reason,
    manifest::MAX_HISTORY,
};

const VALID: &str = "\
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
    Document::parse(text).expect_err("the document is invalid").current_context().clone()
}

#[test]
fn omitted_fields_have_defaults() {
    let document = Document::parse(VALID).unwrap();
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
fn a_number_out_of_range_is_reported_with_its_line() {
    let fault = fault(&VALID.replace("slots: 8", "slots: 0"));
    assert_eq!(fault.line, Some(8));
    assert_eq!(fault.field, "services[0].slots");
    assert_eq!(fault.reason, Reason::Range(1, 100_000));
}

#[test]
fn an_unknown_field_is_a_fault() {
    let fault = fault(&VALID.replace("slots: 8", "slotz: 8"));
    assert!(fault.to_string().contains("slotz"), "{fault}");
    assert!(fault.line.is_some());
}

#[test]
fn a_duplicate_name_is_a_fault() {
    let fault = fault(&VALID.replace("name: points", "name: chat"));
    assert_eq!(fault.reason, Reason::DuplicateName("chat".into()));
}

#[test]
fn a_key_hash_must_be_valid_and_unique() {
    let invalid = VALID.replace("e48d73857", "E48d73857");
    assert_eq!(fault(&invalid).reason, Reason::KeyHash);
    let hash = "e48d73857dd8cca1c1e1dabdd93525cb9a44f99a87bd89e0aed84d5a38252fe7";
    let shared = VALID.replace("operators: []", &format!("operators:\n  - name: o\n    key_hash: {hash}"));
    assert_eq!(fault(&shared).reason, Reason::SharedKey("customers[0]".into()));
}

#[test]
fn a_model_service_must_specify_a_model_and_a_plain_one_must_not() {
    assert_eq!(fault(&VALID.replace("    model: m\n", "")).reason, Reason::MissingModel);
    assert_eq!(fault(&VALID.replace("kind: plain", "kind: plain\n    model: m")).reason, Reason::PlainService);
    assert_eq!(
        fault(&VALID.replace("kind: plain", "kind: plain\n    not_repeatable: [SEND]")).reason,
        Reason::UnknownMethod("SEND".into())
    );
}

#[test]
fn a_key_hash_has_64_digits() {
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
fn the_history_is_bounded_and_finds_recent_submissions() {
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
    assert_eq!(manifest.history.len(), MAX_HISTORY);
    assert!(manifest.find("s198").is_some() && manifest.find("s199").is_some());
    assert!(manifest.find("s1").is_none());
}

quickcheck! {
    fn any_text_gives_a_document_or_a_fault(text: String) -> bool {
        let _ = Document::parse(&text);
        true
    }

    fn a_damaged_document_gives_a_document_or_a_fault(at: usize, byte: u8) -> bool {
        let mut bytes = VALID.as_bytes().to_vec();
        let at = at % bytes.len();
        bytes[at] = byte;
        if let Ok(text) = String::from_utf8(bytes) {
            let _ = Document::parse(&text);
        }
        true
    }

    fn chunks_concatenate_to_the_text(text: String) -> bool {
        chunk::split(&text).concat() == text
    }
}
