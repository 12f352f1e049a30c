//! The bytes of a watch come in pieces of any size; what they are decoded into does not depend on that.

use sillward_discovery::decoder::{WatchDecoder, WatchItem};

/// The items of a text that comes in pieces of that size, as texts.
fn decode(text: &str, piece: usize) -> Vec<String> {
    let mut decoder = WatchDecoder::default();
    let mut items = Vec::new();
    for bytes in text.as_bytes().chunks(piece) {
        decoder.push(bytes);
        while let Some(item) = decoder.next_item() {
            items.push(match item {
                WatchItem::Heartbeat => "heartbeat".to_owned(),
                WatchItem::List(text) => {
                    let text = String::from_utf8_lossy(&text).into_owned();
                    text.split_whitespace().collect()
                }
                WatchItem::Truncated(_) => "truncated".to_owned(),
            });
        }
    }
    items
}

const LIST: &str = r#"{"index":1,"snapshot":true,"endpoints":[{"name":"a[{\"}"}]}"#;

#[test]
fn decodes_lists_however_they_are_split_into_pieces_and_lines() {
    let indented = "{\n  \"index\": 1,\n  \"snapshot\": true,\n  \"endpoints\": [\n    {\"name\":\n\"a[{\\\"}\"}\n  ]\n}\n";
    let between = "{\n\"index\":1,\n";
    for (text, expected) in [
        (format!("{LIST}\n"), vec![LIST]),
        (
            format!("  {LIST}  \r\n\n \n"),
            vec![LIST, "heartbeat", "heartbeat"],
        ),
        (indented.to_owned(), vec![LIST]),
        (
            format!("{indented}\n{LIST}\n"),
            vec![LIST, "heartbeat", LIST],
        ),
        // Truncated within a string: no string contains the end of a line.
        (
            format!("{{\"index\":1,\"snap\n{LIST}\n"),
            vec!["{\"index\":1,\"snap", LIST],
        ),
        // Truncated between two tokens: what follows is a value by itself.
        (format!("{between}{LIST}\n"), vec!["truncated", LIST]),
        (
            format!("{between}\n{LIST}\n"),
            vec!["truncated", "heartbeat", LIST],
        ),
        (
            format!("\u{1}\u{2}]]\n{LIST}\n"),
            vec!["\u{1}\u{2}]]", LIST],
        ),
        // An incomplete value is no item yet.
        (format!("{LIST}\n{between}"), vec![LIST]),
    ] {
        for piece in 1..=text.len() {
            assert_eq!(
                decode(&text, piece),
                expected,
                "{text:?} in pieces of {piece}"
            );
        }
    }
}
