//! The lists of a watch are complete however their bytes are split and indented.

use alderstile_node::discovery::endpoint_list::{EndpointList, EndpointRecord, Health};
use alderstile_node::discovery::json_framer::JsonFramer;
use proptest::prelude::*;

/// A list whose names hold what could be taken for its end.
fn a_list(names: &[String]) -> EndpointList {
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
    fn lists_of_a_watch_come_whole_however_they_are_cut_and_indented(
        lists in prop::collection::vec((prop::collection::vec("[a-z{}\\[\\]\"\\\\ ]{0,6}", 0..4), any::<bool>()), 1..4),
        cuts in prop::collection::vec(1_usize..40, 0..60),
    ) {
        let mut said = Vec::new();
        for (names, indented) in &lists {
            let list = a_list(names);
            let text = if *indented { serde_json::to_string_pretty(&list) } else { serde_json::to_string(&list) };
            said.extend_from_slice(text.expect("JSON").as_bytes());
            // An empty line between two, as a watch has them.
            said.extend_from_slice(b"\r\n\r\n");
        }
        let (mut pieces, mut told, mut empty) = (JsonFramer::default(), Vec::new(), 0);
        let mut cuts = cuts.into_iter();
        let mut rest = &said[..];
        while !rest.is_empty() {
            let (chunk, after) = rest.split_at(cuts.next().unwrap_or(usize::MAX).min(rest.len()));
            rest = after;
            for piece in chunk.split_inclusive(|byte| *byte == b'\n') {
                match pieces.push(piece) {
                    Some(whole) if whole.is_empty() => empty += 1,
                    Some(whole) => told.push(serde_json::from_slice::<EndpointList>(&whole).expect("a whole list")),
                    None => {}
                }
            }
        }
        prop_assert_eq!(empty, lists.len());
        prop_assert_eq!(pieces.buffered(), 0);
        let names = |list: &EndpointList| list.endpoints.iter().map(|host| host.name.clone()).collect::<Vec<_>>();
        prop_assert_eq!(told.iter().map(names).collect::<Vec<_>>(), lists.into_iter().map(|(names, _)| names).collect::<Vec<_>>());
    }

    #[test]
    fn whatever_a_watch_brings_is_held_or_told_and_never_more_than_came(
        pieces in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..30), 0..30),
    ) {
        let (mut held, mut came, mut told) = (JsonFramer::default(), 0, 0);
        for piece in pieces {
            for piece in piece.split_inclusive(|byte| *byte == b'\n') {
                came += piece.len();
                told += held.push(piece).map_or(0, |whole| whole.len());
                prop_assert!(told + held.buffered() <= came);
            }
        }
    }
}
