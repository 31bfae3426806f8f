//! The framing of JSON values: lists are returned completely, however their bytes are split and indented.

use alderstile_node::discovery::endpoint_list::{EndpointList, EndpointRecord, Health};
use alderstile_node::discovery::json_framer::JsonFramer;
use proptest::prelude::*;

/// A list whose texts contain characters that could be mistaken for its end.
fn list_with_hosts(names: &[String]) -> EndpointList {
    let host = |name: &String| EndpointRecord {
        name: name.clone(),
        address: None,
        zone: "}]\\\"".to_owned(),
        cell: 1,
        health: Health::Up,
        weight: 0.5,
        started_ms: 0,
    };
    EndpointList { version: 7, complete: true, endpoints: names.iter().map(host).collect() }
}

proptest! {
    #[test]
    fn lists_are_framed_completely_whatever_their_chunks_and_indentation(
        lists in prop::collection::vec((prop::collection::vec("[a-z{}\\[\\]\"\\\\ ]{0,6}", 0..4), any::<bool>()), 1..4),
        cuts in prop::collection::vec(1_usize..40, 0..60),
    ) {
        let mut stream = Vec::new();
        for (names, indented) in &lists {
            let list = list_with_hosts(names);
            let text = if *indented { serde_json::to_string_pretty(&list) } else { serde_json::to_string(&list) };
            stream.extend_from_slice(text.expect("JSON").as_bytes());
            // A watch sends empty lines between lists.
            stream.extend_from_slice(b"\r\n\r\n");
        }
        let (mut framer, mut parsed, mut empty_lines) = (JsonFramer::default(), Vec::new(), 0);
        let mut cuts = cuts.into_iter();
        let mut rest = &stream[..];
        while !rest.is_empty() {
            let (chunk, after) = rest.split_at(cuts.next().unwrap_or(usize::MAX).min(rest.len()));
            rest = after;
            for piece in chunk.split_inclusive(|byte| *byte == b'\n') {
                match framer.push(piece) {
                    Some(value) if value.is_empty() => empty_lines += 1,
                    Some(value) => parsed.push(serde_json::from_slice::<EndpointList>(&value).expect("a complete list")),
                    None => {}
                }
            }
        }
        prop_assert_eq!(empty_lines, lists.len());
        prop_assert_eq!(framer.buffered(), 0);
        let names = |list: &EndpointList| list.endpoints.iter().map(|host| host.name.clone()).collect::<Vec<_>>();
        prop_assert_eq!(parsed.iter().map(names).collect::<Vec<_>>(), lists.into_iter().map(|(names, _)| names).collect::<Vec<_>>());
    }

    #[test]
    fn returned_and_buffered_bytes_never_exceed_the_input(
        pieces in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..30), 0..30),
    ) {
        let (mut framer, mut received_bytes, mut returned_bytes) = (JsonFramer::default(), 0, 0);
        for piece in pieces {
            for piece in piece.split_inclusive(|byte| *byte == b'\n') {
                received_bytes += piece.len();
                returned_bytes += framer.push(piece).map_or(0, |value| value.len());
                prop_assert!(returned_bytes + framer.buffered() <= received_bytes);
            }
        }
    }
}
