//! The watch decoder must yield the same items however the byte stream is split into chunks.

use sillward_discovery::decoder::{WatchDecoder, WatchItem};

/// Decodes a text received in chunks of the given size; each item is returned as a string.
fn decode(text: &str, chunk_size: usize) -> Vec<String> {
    let mut decoder = WatchDecoder::default();
    let mut items = Vec::new();
    for bytes in text.as_bytes().chunks(chunk_size) {
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
fn decodes_lists_regardless_of_chunk_and_line_boundaries() {
    let indented = "{\n  \"index\": 1,\n  \"snapshot\": true,\n  \"endpoints\": [\n    {\"name\":\n\"a[{\\\"}\"}\n  ]\n}\n";
    let truncated_between_tokens = "{\n\"index\":1,\n";
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
        // Truncated inside a string: a JSON string can't contain a line feed.
        (
            format!("{{\"index\":1,\"snap\n{LIST}\n"),
            vec!["{\"index\":1,\"snap", LIST],
        ),
        // Truncated between two tokens: the next line is a complete list.
        (
            format!("{truncated_between_tokens}{LIST}\n"),
            vec!["truncated", LIST],
        ),
        (
            format!("{truncated_between_tokens}\n{LIST}\n"),
            vec!["truncated", "heartbeat", LIST],
        ),
        (
            format!("\u{1}\u{2}]]\n{LIST}\n"),
            vec!["\u{1}\u{2}]]", LIST],
        ),
        // An incomplete value yields no item.
        (format!("{LIST}\n{truncated_between_tokens}"), vec![LIST]),
    ] {
        for chunk_size in 1..=text.len() {
            assert_eq!(
                decode(&text, chunk_size),
                expected,
                "{text:?} in chunks of {chunk_size}"
            );
        }
    }
}
