//! Unit tests of a single voter: its replies without a hard state, and its votes.

use alderstile::types::Micros;
use alderstile_cluster::replicated_config::{
    AppendEntry, HardState, LogPosition, Raft, RaftEffects, RaftMessage, RaftPayload, Role, StepTime,
    VersionHeader,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

/// Returns one of three voters; without a hard state it starts as a learner.
fn voter(index: u8, hard_state: Option<HardState>) -> Raft {
    let rng = Pcg64Mcg::seed_from_u64(u64::from(index));
    Raft::new(index, 3, Micros::from_millis(500), hard_state, rng, Micros(0))
}

fn at_ms(ms: u64) -> StepTime {
    StepTime { now: Micros::from_millis(ms), clock_us: ms, commit_age: Micros(0) }
}

#[test]
fn a_learner_neither_votes_nor_acknowledges_until_all_other_voters_have_replied() {
    let mut learner = voter(0, None);
    let step = |voter: &mut Raft, peer: u8, term: u64, payload: RaftPayload| {
        let mut effects = RaftEffects::default();
        voter.step(at_ms(10), RaftMessage { peer, term, payload }, |_| true, &mut effects);
        effects
    };
    let position = LogPosition { term: 7, version: 9 };
    let entry = VersionHeader { position, digest: 1, length: 1 };
    let append = AppendEntry { round: 1, entry, committed: None, commit_age_us: 0, latest_at_us: 0 };
    for payload in [
        RaftPayload::PreVote { last_entry: position },
        RaftPayload::RequestVote { last_entry: position },
        RaftPayload::AppendEntry(append),
        RaftPayload::HardStateRequest { nonce: 4 },
    ] {
        let effects = step(&mut learner, 1, 8, payload);
        assert!(effects.messages.is_empty() && !effects.persist, "{payload:?}: {effects:?}");
    }
    let mut effects = RaftEffects::default();
    learner.tick(at_ms(1), &mut effects);
    let nonce = match effects.messages[0].payload {
        RaftPayload::HardStateRequest { nonce } => nonce,
        other => panic!("{other:?}"),
    };
    assert_eq!(effects.messages.len(), 2);
    // A reply to a request of an earlier start is ignored.
    step(&mut learner, 1, 8, RaftPayload::HardStateReply { nonce: nonce ^ 1, entry });
    step(&mut learner, 2, 8, RaftPayload::HardStateReply { nonce, entry });
    assert_eq!(learner.role(), Role::Learner, "one reply of two is not enough");
    let higher = VersionHeader { position: LogPosition { term: 8, version: 9 }, ..entry };
    let effects = step(&mut learner, 1, 11, RaftPayload::HardStateReply { nonce, entry: higher });
    assert!(effects.persist);
    assert_eq!(learner.hard_state(), Some(&HardState { term: 12, vote: None, entry: higher }));
    // Any vote that it gave before losing its state was in term 11 at most.
    let effects = step(&mut learner, 2, 11, RaftPayload::RequestVote { last_entry: position });
    let denied = RaftPayload::VoteReply { granted: false };
    assert!(effects.messages.iter().all(|message| message.payload == denied), "{effects:?}");
}

#[test]
fn a_voter_votes_once_per_term_and_for_no_candidate_with_an_older_entry() {
    let position = LogPosition { term: 3, version: 5 };
    let entry = VersionHeader { position, digest: 1, length: 1 };
    let mut voter = voter(0, Some(HardState { term: 3, vote: None, entry }));
    let mut vote = |peer: u8, term: u64, last_entry: LogPosition| {
        let mut effects = RaftEffects::default();
        let payload = RaftPayload::RequestVote { last_entry };
        voter.step(at_ms(9_000), RaftMessage { peer, term, payload }, |_| true, &mut effects);
        let granted = RaftPayload::VoteReply { granted: true };
        (effects.messages[0].payload == granted, effects.persist)
    };
    assert_eq!(
        vote(1, 4, LogPosition { term: 2, version: 9 }),
        (false, true),
        "the candidate's entry is older"
    );
    assert_eq!(vote(2, 4, position), (true, true));
    assert_eq!(vote(1, 4, position), (false, false), "it has voted for another candidate");
    assert_eq!(vote(2, 4, position), (true, true), "a repeated request of the same candidate");
    assert_eq!(vote(1, 3, position), (false, false), "the term is outdated");
}
