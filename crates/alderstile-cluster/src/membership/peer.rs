//! A peer: another member's process, as seen by this member.

use std::fmt;

use alderstile::types::Micros;

use super::record::{InstanceId, MemberRecord};
use super::replay_window::ReplayWindow;

/// The state of a member in this view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    /// The member answers, or no suspicion about it is known.
    Alive,
    /// The member did not answer a probe, and has time to refute the suspicion (SWIM section 4.2).
    Suspect,
    /// The member did not refute a suspicion in time.
    Dead,
    /// The member left the cluster voluntarily.
    Left,
}

impl MemberState {
    /// Whether the member counts as part of the cluster.
    pub fn is_live(self) -> bool {
        self <= MemberState::Suspect
    }
}

/// Formats the state as the admin interface shows it.
impl fmt::Display for MemberState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            MemberState::Alive => "alive",
            MemberState::Suspect => "suspect",
            MemberState::Dead => "dead",
            MemberState::Left => "left",
        })
    }
}

/// Another member's process, as seen by this member.
#[derive(Clone, Debug)]
pub struct Peer {
    /// The last record that the peer published.
    pub record: MemberRecord,
    /// The state of the peer.
    pub state: MemberState,
    /// When the peer entered this state. For a suspected peer, the durations of this process's stalls are
    /// added, so that the suspicion lasts longer.
    pub state_since: Micros,
    /// The members that reported the suspicion, while the peer is suspected (Lifeguard section IV-B).
    pub(super) reporters: Vec<InstanceId>,
    pub(super) final_probe: FinalProbe,
    /// When this process last probed for recovery, while the peer is dead.
    pub(super) rejoin_probed_at: Micros,
    pub(super) replay_window: ReplayWindow,
}

/// Whether this process pings a suspect once more before it declares it dead.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FinalProbe {
    /// Other members send the final probe, and this process waits for their result.
    ByOthers,
    /// This process will send the final probe.
    Scheduled,
    /// This process has sent the final probe and waits for an ack until the given time.
    AwaitingAck(Micros),
}

impl Peer {
    /// Creates an alive peer that has just become known.
    pub(super) fn new(record: MemberRecord, now: Micros) -> Self {
        Peer {
            record,
            state: MemberState::Alive,
            state_since: now,
            reporters: Vec::new(),
            final_probe: FinalProbe::ByOthers,
            rejoin_probed_at: Micros(0),
            replay_window: ReplayWindow::default(),
        }
    }
}
