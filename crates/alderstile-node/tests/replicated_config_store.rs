//! A voter's store: what is read is what was saved, and nothing damaged is believed.

use std::path::Path;
use std::time::{Duration, Instant};

use alderstile_cluster::replicated_config::{HardState, LogPosition, PersistedState, VersionHeader};
use alderstile_node::config::Config;
use alderstile_node::control::replicated_config::document::ConfigDocument;
use alderstile_node::control::replicated_config::store::{StoreError, VoterStore, decode};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

mod support;
use support::node_config;
use support::replicated_config::folder;

fn state(version: u64, document: &[u8]) -> PersistedState {
    let position = LogPosition { term: 4, version };
    let entry = VersionHeader {
        position,
        digest: alderstile_cluster::content_digest(document),
        length: document.len() as u32,
    };
    let hard_state = HardState { term: 5, vote: Some(2), entry };
    PersistedState { hard_state, document: document.to_vec() }
}

/// What a store holds. Processes that other tests start at this moment hold its lock until they have become themselves.
fn open(path: &Path) -> Option<PersistedState> {
    let began = Instant::now();
    loop {
        match VoterStore::open(path, 7) {
            Err(StoreError::Locked) if began.elapsed() < Duration::from_secs(20) => {}
            opened => return opened.expect("opened").1,
        }
    }
}

#[test]
fn a_state_is_read_as_it_was_saved_by_one_process_with_the_same_list_of_voters() {
    let dir = folder("store");
    let path = VoterStore::path(&dir, "n/1");
    assert_eq!(open(&path), None);
    let (store, _) = VoterStore::open(&path, 7).expect("opened");
    assert!(matches!(VoterStore::open(&path, 7), Err(StoreError::Locked)));
    for version in 1..20 {
        store.save(&state(version, &[b'a'; 9_000])).expect("saved");
    }
    drop(store);
    assert_eq!(open(&path), Some(state(19, &[b'a'; 9_000])));
    let other = loop {
        match VoterStore::open(&path, 8) {
            Err(StoreError::Locked) => {}
            opened => break opened.err(),
        }
    };
    assert!(matches!(other, Some(StoreError::VoterListMismatch(_))), "{other:?}");
    std::fs::remove_dir_all(&dir).expect("taken away");
}

#[test]
fn a_store_that_is_truncated_or_damaged_at_any_byte_is_set_aside() {
    let dir = folder("damage");
    let path = VoterStore::path(&dir, "n1");
    let document = b"a document";
    let (store, _) = VoterStore::open(&path, 7).expect("opened");
    store.save(&state(3, document)).expect("saved");
    drop(store);
    let whole = std::fs::read(&path).expect("read");
    assert_eq!(open(&path), Some(state(3, document)));
    for at in 0..whole.len() {
        let mut flipped = whole.clone();
        flipped[at] ^= 0x40;
        for bytes in [&flipped[..], &whole[..at]] {
            std::fs::write(&path, bytes).expect("written");
            assert_eq!(open(&path), None, "{at}");
            assert!(!path.exists() && path.with_extension("damaged").exists(), "it is set aside");
        }
    }
    std::fs::remove_dir_all(&dir).expect("taken away");
}

#[test]
fn a_state_that_can_t_be_written_is_an_error_and_the_one_before_stays() {
    let dir = folder("full");
    let path = VoterStore::path(&dir, "n1");
    let (store, _) = VoterStore::open(&path, 7).expect("opened");
    store.save(&state(1, b"one")).expect("saved");
    // Nothing can be written beside it.
    std::fs::create_dir(path.with_extension("voter-new")).expect("a folder in its place");
    assert!(matches!(store.save(&state(2, b"two")), Err(StoreError::Io { .. })));
    drop(store);
    assert_eq!(open(&path), Some(state(1, b"one")));
    std::fs::remove_dir_all(&dir).expect("taken away");
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(46), ..ProptestConfig::default() })]

    #[test]
    fn random_bytes_are_no_state_and_random_text_is_no_document(
        bytes in proptest::collection::vec(any::<u8>(), 0..200),
        text in "[{}a-z\":,0-9\\[\\] ]{0,60}",
    ) {
        prop_assert_eq!(decode(&bytes), None);
        let file = Config::from_file_value(node_config("127.0.0.1:9000", "127.0.0.1:8500"), |_| None).expect("fine");
        for document in [ConfigDocument::parse(&bytes), ConfigDocument::parse(text.as_bytes())].into_iter().flatten() {
            prop_assert!(document.validate(&file).is_err());
        }
    }
}
