//! A voter's store: what is read is what was saved, and nothing damaged is believed.

use std::path::Path;
use std::time::{Duration, Instant};

use alderstile_cluster::replicated_config::{HardState, LogPosition, VersionHeader};
use alderstile_node::config::Config;
use alderstile_node::control::replicated_config::document::ConfigDocument;
use alderstile_node::control::replicated_config::store::{StoreError, VoterStore, decode};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

mod support;
use support::config;
use support::replicated_config::folder;

fn hard_state(version: u64, document: &[u8]) -> HardState {
    let position = LogPosition { term: 4, version };
    let entry = VersionHeader {
        position,
        digest: alderstile_cluster::digest(document),
        length: document.len() as u32,
    };
    HardState { term: 5, vote: Some(2), entry }
}

/// What a store holds. Processes that other tests start at this moment hold its lock until they have become themselves.
fn open(path: &Path) -> Option<(HardState, Vec<u8>)> {
    let began = Instant::now();
    loop {
        match VoterStore::open(path, 7) {
            Err(StoreError::Locked) if began.elapsed() < Duration::from_secs(20) => {}
            opened => return opened.expect("opened").1,
        }
    }
}

#[test]
fn a_memory_is_read_as_it_was_saved_and_belongs_to_one_process_and_one_list_of_voters() {
    let dir = folder("store");
    let path = VoterStore::path(&dir, "n/1");
    assert_eq!(open(&path), None);
    let (store, _) = VoterStore::open(&path, 7).expect("opened");
    assert!(matches!(VoterStore::open(&path, 7), Err(StoreError::Locked)));
    for version in 1..20 {
        store.save(&hard_state(version, &[b'a'; 9_000]), &[b'a'; 9_000]).expect("saved");
    }
    drop(store);
    assert_eq!(open(&path), Some((hard_state(19, &[b'a'; 9_000]), vec![b'a'; 9_000])));
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
fn a_store_that_is_cut_short_or_damaged_at_any_byte_is_not_believed() {
    let dir = folder("damage");
    let path = VoterStore::path(&dir, "n1");
    let document = b"a document";
    let (store, _) = VoterStore::open(&path, 7).expect("opened");
    store.save(&hard_state(3, document), document).expect("saved");
    drop(store);
    let whole = std::fs::read(&path).expect("read");
    assert_eq!(open(&path), Some((hard_state(3, document), document.to_vec())));
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
fn a_memory_that_can_t_be_put_on_disk_is_said_to_be_so_and_the_one_before_stays() {
    let dir = folder("full");
    let path = VoterStore::path(&dir, "n1");
    let (store, _) = VoterStore::open(&path, 7).expect("opened");
    store.save(&hard_state(1, b"one"), b"one").expect("saved");
    // Nothing can be written beside it.
    std::fs::create_dir(path.with_extension("voter-new")).expect("a folder in its place");
    assert!(matches!(store.save(&hard_state(2, b"two"), b"two"), Err(StoreError::Io { .. })));
    drop(store);
    assert_eq!(open(&path), Some((hard_state(1, b"one"), b"one".to_vec())));
    std::fs::remove_dir_all(&dir).expect("taken away");
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(46), ..ProptestConfig::default() })]

    #[test]
    fn no_bytes_are_taken_for_a_memory_and_no_text_for_a_document(
        bytes in proptest::collection::vec(any::<u8>(), 0..200),
        text in "[{}a-z\":,0-9\\[\\] ]{0,60}",
    ) {
        prop_assert_eq!(decode(&bytes), None);
        let file = Config::of_file(config("127.0.0.1:9000", "127.0.0.1:8500"), |_| None).expect("fine");
        for document in [ConfigDocument::parse(&bytes), ConfigDocument::parse(text.as_bytes())].into_iter().flatten() {
            prop_assert!(document.validate(&file).is_err());
        }
    }
}
