//! Release notes that are read, or told what is wrong with them.

use gentianlane::note::{Faults, Note, Problem};
use quickcheck::{Arbitrary, Gen};

const SEED: u64 = 0x0007_0001;
const RUNS: usize = 4_000;

/// A note with nothing wrong in it.
const WHOLE: &str = r#"{
  // The third note.
  "number": 3, "base": 2,
  "add": {
    "workloads": {
      "route": { "kind": "batch", "size": { "cpu": 1000, "memory": 1000000 }, "idempotent": true },
      "inbox": { "kind": "service", "size": { "cpu": 500, "memory": 1000000 },
                 "count": 3, "idempotent": true, "team": "reminders" }
    },
    "teams": { "reminders": { "size": { "cpu": 9000, "memory": 9000000 }, "weight": 2 } },
    "settings": { "packing": 30 }
  },
  "change": { "workloads": {} },
  "withdraw": { "workloads": ["old"], "teams": [] }
}
"#;

fn faults(text: &str) -> Vec<(usize, usize, Problem)> {
    let Err(Faults(faults)) = Note::read(text) else {
        return Vec::new();
    };
    let place = |it: gentianlane::note::Fault| (it.line, it.column, it.problem);
    faults.into_iter().map(place).collect()
}

/// The one fault of the whole note after a change to it.
fn fault(old: &str, new: &str) -> (usize, usize, Problem) {
    assert!(WHOLE.contains(old), "{old}");
    let mut found = faults(&WHOLE.replacen(old, new, 1));
    assert_eq!(found.len(), 1, "{new}: {found:?}");
    found.remove(0)
}

#[test]
fn a_whole_note_is_read() {
    assert_eq!(faults(WHOLE), []);
    assert_eq!(Note::read(WHOLE).map(|note| note.number), Ok(3));
}

#[test]
fn a_note_with_an_unknown_field_a_wrong_type_or_unit_is_refused_at_its_line() {
    let cases = [
        ("\"number\": 3", "\"numbr\": 3", 3),
        ("\"number\": 3", "\"number\": -3", 3),
        ("\"number\": 3", "\"number\": \"3\"", 3),
        ("\"cpu\": 1000", "\"cpu\": \"1 core\"", 6),
        ("\"cpu\": 1000", "\"cpu\": 0.5", 6),
        (
            "\"memory\": 1000000 }, \"idem",
            "\"memory_mb\": 10 }, \"idem",
            6,
        ),
        ("\"kind\": \"batch\"", "\"kind\": \"bach\"", 6),
        ("\"packing\": 30", "\"packing\": 300", 11),
        ("\"change\"", "\"changed\"", 13),
        ("\"teams\": []", "\"teams\": [], \"settings\": {}", 14),
    ];
    for (old, new, line) in cases {
        let (found, _, problem) = fault(old, new);
        assert_eq!(found, line, "{new}: {problem}");
        assert!(matches!(problem, Problem::Syntax(_)), "{new}: {problem}");
    }
}

#[test]
fn a_quantity_out_of_its_limits_is_refused_at_its_field() {
    let cases = [
        ("\"cpu\": 1000,", "\"cpu\": 0,", 6, 45),
        (
            "\"memory\": 1000000 }, \"idem",
            "\"memory\": 0 }, \"idem",
            6,
            58,
        ),
        ("\"cpu\": 1000,", "\"cpu\": 99999999999999,", 6, 45),
        ("\"count\": 3", "\"count\": 4000000000", 8, 18),
        (
            "\"kind\": \"batch\"",
            "\"attempts\": 0, \"kind\": \"batch\"",
            6,
            18,
        ),
        (
            "\"kind\": \"batch\"",
            "\"count\": 0, \"kind\": \"batch\"",
            6,
            18,
        ),
        (
            "\"kind\": \"batch\"",
            "\"expected\": 0, \"kind\": \"batch\"",
            6,
            18,
        ),
        ("\"weight\": 2", "\"weight\": 0", 10, 75),
        ("\"packing\": 30", "\"packing\": 101", 11, 19),
        ("\"number\": 3", "\"number\": 2", 3, 3),
        ("\"number\": 3", "\"number\": 18446744073709551615", 3, 3),
    ];
    for (old, new, line, column) in cases {
        let found = fault(old, new);
        assert!(matches!(found.2, Problem::Range { .. }), "{new}: {found:?}");
        assert_eq!((found.0, found.1), (line, column), "{new}: {found:?}");
    }
}

#[test]
fn a_name_that_is_none_is_refused() {
    let long = "x".repeat(65);
    for name in [
        "", " ", "Route", "-route", "ro ute", "ro/ute", "röute", "a\\n", &long,
    ] {
        let (line, _, problem) = fault("\"route\"", &format!("\"{name}\""));
        assert_eq!(line, 6);
        assert!(
            matches!(problem, Problem::InvalidName(_)),
            "{name}: {problem}"
        );
    }
    let (line, _, problem) = fault("[\"old\"]", "[\"old\", \"O\"]");
    assert_eq!((line, problem), (14, Problem::InvalidName("O".to_owned())));
}

#[test]
fn a_key_given_twice_is_refused_at_the_second() {
    let (line, column, problem) = fault("\"inbox\"", "\"route\"");
    assert_eq!((line, column), (7, 7));
    assert_eq!(problem, Problem::DuplicateKey("route".to_owned()));
    let (line, _, problem) = fault("\"inbox\"", "\"rou\\u0074e\"");
    assert_eq!(
        (line, problem),
        (7, Problem::DuplicateKey("route".to_owned()))
    );
}

#[test]
fn a_name_in_two_sections_is_refused() {
    let route = Problem::RepeatedName("route".to_owned());
    assert_eq!(fault("[\"old\"]", "[\"route\"]"), (14, 31, route));
    let old = Problem::RepeatedName("old".to_owned());
    assert_eq!(fault("[\"old\"]", "[\"old\", \"old\"]"), (14, 38, old));
    let team = Problem::RepeatedName("reminders".to_owned());
    let change = r#""change": { "teams": { "reminders": { "size": { "cpu": 1, "memory": 1 } } } }"#;
    let found = fault(r#""change": { "workloads": {} }"#, change);
    assert_eq!(found, (13, 26, team.clone()));
    let found = fault("\"teams\": []", "\"teams\": [\"reminders\"]");
    assert_eq!(found.2, team);
}

#[test]
fn a_service_without_a_team_is_refused() {
    let found = fault(", \"team\": \"reminders\"", "");
    assert_eq!(found, (7, 7, Problem::MissingTeam));
}

#[test]
fn several_faults_are_told_at_once_in_the_order_of_the_text() {
    let text = WHOLE
        .replace("\"route\"", "\"Route\"")
        .replace("\"count\": 3", "\"count\": 30000")
        .replace("\"packing\": 30", "\"packing\": 101");
    let lines: Vec<usize> = faults(&text).iter().map(|it| it.0).collect();
    assert_eq!(lines, [6, 8, 11]);
    let told = Note::read(&text).unwrap_err().to_string();
    assert_eq!(told.lines().count(), 3, "{told}");
}

#[test]
fn a_note_that_is_too_long_is_refused_before_it_is_read() {
    let text = format!("{WHOLE}{}", " ".repeat(1 << 20));
    assert!(matches!(
        faults(&text)[..],
        [(1, 1, Problem::TooLong { .. })]
    ));
}

/// A text that may have been a note once.
fn garbled(random: &mut Gen) -> String {
    const PIECES: [&str; 12] = [
        "{", "}", "[", "]", "\"", ",", ":", "\\", "//", "/*", "\n", "\u{0}",
    ];
    let mut bytes = match u8::arbitrary(random) % 4 {
        0 => String::arbitrary(random).into_bytes(),
        _ => WHOLE.as_bytes().to_vec(),
    };
    for _ in 0..u8::arbitrary(random) % 6 {
        let at = usize::arbitrary(random) % (bytes.len() + 1);
        match u8::arbitrary(random) % 4 {
            0 => bytes.truncate(at),
            1 => {
                let piece = random.choose(&PIECES).copied().unwrap_or_default();
                bytes.splice(at..at, piece.bytes());
            }
            2 if at < bytes.len() => {
                bytes.remove(at);
            }
            _ => {
                let from = usize::arbitrary(random) % (bytes.len() + 1);
                let copied = bytes[from.min(at)..from.max(at)].to_vec();
                bytes.splice(at..at, copied);
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

#[test]
fn no_text_makes_the_reader_panic_and_every_fault_has_a_place() {
    for run in 0..RUNS {
        let mut random = Gen::from_size_and_seed(60, SEED + run as u64);
        let text = garbled(&mut random);
        let Err(Faults(faults)) = Note::read(&text) else {
            continue;
        };
        assert!(!faults.is_empty(), "seed {}", SEED + run as u64);
        let lines = text.lines().count() + 1;
        for fault in faults {
            let is_place = (1..=lines).contains(&fault.line) && fault.column >= 1;
            assert!(is_place, "seed {}: {fault}", SEED + run as u64);
        }
    }
}

#[test]
fn deep_nesting_is_refused() {
    for (open, close) in [("[", "]"), ("{\"a\":", "}")] {
        let text = format!("{}1{}", open.repeat(100_000), close.repeat(100_000));
        assert_eq!(faults(&text).len(), 1, "{open}");
    }
}
