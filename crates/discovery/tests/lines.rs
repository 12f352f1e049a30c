//! A watch's bytes come cut anywhere; what they say does not depend on that.

use sillward_discovery::lines::{Item, Lines};

/// What all of it comes to, fed in pieces of that size, in words.
fn said(text: &str, piece: usize) -> Vec<String> {
    let (mut lines, mut said) = (Lines::default(), Vec::new());
    for bytes in text.as_bytes().chunks(piece) {
        lines.push(bytes);
        while let Some(item) = lines.next_item() {
            said.push(match item {
                Item::Empty => "empty".to_owned(),
                Item::Text(text) => {
                    let text = String::from_utf8_lossy(&text).into_owned();
                    text.split_whitespace().collect()
                }
                Item::Broken(_) => "broken".to_owned(),
            });
        }
    }
    said
}

const LIST: &str = r#"{"index":1,"snapshot":true,"endpoints":[{"name":"a[{\"}"}]}"#;

#[test]
fn lists_are_found_whole_however_they_are_cut_and_broken_into_lines() {
    let indented = "{\n  \"index\": 1,\n  \"snapshot\": true,\n  \"endpoints\": [\n    {\"name\":\n\"a[{\\\"}\"}\n  ]\n}\n";
    let between = "{\n\"index\":1,\n";
    for (text, expected) in [
        (format!("{LIST}\n"), vec![LIST]),
        (format!("  {LIST}  \r\n\n \n"), vec![LIST, "empty", "empty"]),
        (indented.to_owned(), vec![LIST]),
        (format!("{indented}\n{LIST}\n"), vec![LIST, "empty", LIST]),
        // Cut within a string: no string goes over the end of a line.
        (
            format!("{{\"index\":1,\"snap\n{LIST}\n"),
            vec!["{\"index\":1,\"snap", LIST],
        ),
        // Cut between two words: what follows stands for itself.
        (format!("{between}{LIST}\n"), vec!["broken", LIST]),
        (
            format!("{between}\n{LIST}\n"),
            vec!["broken", "empty", LIST],
        ),
        (
            format!("\u{1}\u{2}]]\n{LIST}\n"),
            vec!["\u{1}\u{2}]]", LIST],
        ),
        // What has no end yet is nothing.
        (format!("{LIST}\n{between}"), vec![LIST]),
    ] {
        for piece in 1..=text.len() {
            assert_eq!(
                said(&text, piece),
                expected,
                "{text:?} in pieces of {piece}"
            );
        }
    }
}
