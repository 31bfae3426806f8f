//! Tests of a voter's store: a saved state is read back, and a corrupted one is not used.

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
use support::replicated_config::create_test_directory;

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

/// Opens a store and returns its state. Retries while the store is locked, because processes that other tests
/// fork inherit the lock until they exec.
fn open(path: &Path) -> Option<PersistedState> {
    let started_at = Instant::now();
    loop {
        match VoterStore::open(path, 7) {
            Err(StoreError::Locked) if started_at.elapsed() < Duration::from_secs(20) => {}
            opened => return opened.expect("opened").1,
        }
    }
}

#[test]
fn a_state_is_read_as_saved_by_one_process_at_a_time_with_the_same_voter_list() {
    let dir = create_test_directory("store");
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
    std::fs::remove_dir_all(&dir).expect("removed directory");
}

#[test]
fn a_store_that_is_truncated_or_corrupted_at_any_byte_is_renamed() {
    let dir = create_test_directory("damage");
    let path = VoterStore::path(&dir, "n1");
    let document = b"a document";
    let (store, _) = VoterStore::open(&path, 7).expect("opened");
    store.save(&state(3, document)).expect("saved");
    drop(store);
    let stored = std::fs::read(&path).expect("read");
    assert_eq!(open(&path), Some(state(3, document)));
    for at in 0..stored.len() {
        let mut flipped = stored.clone();
        flipped[at] ^= 0x40;
        for bytes in [&flipped[..], &stored[..at]] {
            std::fs::write(&path, bytes).expect("written");
            assert_eq!(open(&path), None, "{at}");
            assert!(!path.exists() && path.with_extension("damaged").exists(), "the file is renamed");
        }
    }
    std::fs::remove_dir_all(&dir).expect("removed directory");
}

#[test]
fn a_failed_write_is_an_error_and_keeps_the_previous_state() {
    let dir = create_test_directory("full");
    let path = VoterStore::path(&dir, "n1");
    let (store, _) = VoterStore::open(&path, 7).expect("opened");
    store.save(&state(1, b"one")).expect("saved");
    // A directory at the temporary path makes the write fail.
    std::fs::create_dir(path.with_extension("voter-new")).expect("created directory");
    assert!(matches!(store.save(&state(2, b"two")), Err(StoreError::Io { .. })));
    drop(store);
    assert_eq!(open(&path), Some(state(1, b"one")));
    std::fs::remove_dir_all(&dir).expect("removed directory");
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(46), ..ProptestConfig::default() })]

    #[test]
    fn random_bytes_are_no_valid_state_and_random_text_is_no_valid_document(
        bytes in proptest::collection::vec(any::<u8>(), 0..200),
        text in "[{}a-z\":,0-9\\[\\] ]{0,60}",
    ) {
        prop_assert_eq!(decode(&bytes), None);
        let file = Config::from_file_value(node_config("127.0.0.1:9000", "127.0.0.1:8500"), |_| None)
            .expect("valid configuration");
        for document in [ConfigDocument::parse(&bytes), ConfigDocument::parse(text.as_bytes())].into_iter().flatten() {
            prop_assert!(document.validate(&file).is_err());
        }
    }
}
