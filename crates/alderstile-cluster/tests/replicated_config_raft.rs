//! One voter by itself: what it answers without a hard state, and whom it votes for.

use alderstile::types::Micros;
use alderstile_cluster::replicated_config::{
    AppendEntry, HardState, LogPosition, Raft, RaftEffects, RaftMessage, RaftPayload, Role, StepTime,
    VersionHeader,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

fn voter(me: u8, hard_state: Option<HardState>) -> Raft {
    let rng = Pcg64Mcg::seed_from_u64(u64::from(me));
    Raft::new(me, 3, Micros::from_millis(500), hard_state, rng, Micros(0))
}

fn at_ms(ms: u64) -> StepTime {
    StepTime { now: Micros::from_millis(ms), clock_us: ms, committed_for: Micros(0) }
}

#[test]
fn a_learner_neither_votes_nor_acknowledges_until_all_others_have_answered() {
    let mut blank = voter(0, None);
    let say = |voter: &mut Raft, peer: u8, term: u64, payload: RaftPayload| {
        let mut effects = RaftEffects::default();
        voter.step(at_ms(10), RaftMessage { peer, term, payload }, |_| true, &mut effects);
        effects
    };
    let position = LogPosition { term: 7, version: 9 };
    let entry = VersionHeader { position, digest: 1, length: 1 };
    let append = AppendEntry { round: 1, entry, committed: None, committed_for_us: 0, latest_at_us: 0 };
    for payload in [
        RaftPayload::PreVote { last_entry: position },
        RaftPayload::RequestVote { last_entry: position },
        RaftPayload::AppendEntry(append),
        RaftPayload::HardStateRequest { nonce: 4 },
    ] {
        let effects = say(&mut blank, 1, 8, payload);
        assert!(effects.messages.is_empty() && !effects.persist, "{payload:?}: {effects:?}");
    }
    let mut effects = RaftEffects::default();
    blank.tick(at_ms(1), &mut effects);
    let nonce = match effects.messages[0].payload {
        RaftPayload::HardStateRequest { nonce } => nonce,
        other => panic!("{other:?}"),
    };
    assert_eq!(effects.messages.len(), 2);
    // Of an earlier start.
    say(&mut blank, 1, 8, RaftPayload::HardStateReply { nonce: nonce ^ 1, entry });
    say(&mut blank, 2, 8, RaftPayload::HardStateReply { nonce, entry });
    assert_eq!(blank.role(), Role::Learner, "one of two is not enough");
    let higher = VersionHeader { position: LogPosition { term: 8, version: 9 }, ..entry };
    let effects = say(&mut blank, 1, 11, RaftPayload::HardStateReply { nonce, entry: higher });
    assert!(effects.persist);
    assert_eq!(blank.hard_state(), Some(&HardState { term: 12, vote: None, entry: higher }));
    // Whatever it may have promised before was for a term of 11 at most.
    let effects = say(&mut blank, 2, 11, RaftPayload::RequestVote { last_entry: position });
    let refused = RaftPayload::VoteReply { granted: false };
    assert!(effects.messages.iter().all(|message| message.payload == refused), "{effects:?}");
}

#[test]
fn a_voter_votes_once_a_term_and_for_nobody_with_an_older_entry() {
    let position = LogPosition { term: 3, version: 5 };
    let entry = VersionHeader { position, digest: 1, length: 1 };
    let mut one = voter(0, Some(HardState { term: 3, vote: None, entry }));
    let mut vote = |peer: u8, term: u64, last_entry: LogPosition| {
        let mut effects = RaftEffects::default();
        let payload = RaftPayload::RequestVote { last_entry };
        one.step(at_ms(9_000), RaftMessage { peer, term, payload }, |_| true, &mut effects);
        let granted = RaftPayload::VoteReply { granted: true };
        (effects.messages[0].payload == granted, effects.persist)
    };
    assert_eq!(vote(1, 4, LogPosition { term: 2, version: 9 }), (false, true), "it holds less");
    assert_eq!(vote(2, 4, position), (true, true));
    assert_eq!(vote(1, 4, position), (false, false), "it has voted");
    assert_eq!(vote(2, 4, position), (true, true), "the same again");
    assert_eq!(vote(1, 3, position), (false, false), "an old term");
}
