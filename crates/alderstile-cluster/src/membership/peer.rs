//! Another member's process as this one sees it.

use std::fmt;

use alderstile::types::Micros;

use super::record::{InstanceId, MemberRecord};
use super::replay_window::ReplayWindow;

/// How a member is seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    /// It answers, or nobody has said otherwise.
    Alive,
    /// It did not answer somebody, and has time to refute that (SWIM section 4.2).
    Suspect,
    /// It did not refute the suspicion in time.
    Dead,
    /// It left on its own account.
    Left,
}

impl MemberState {
    /// Whether it counts as a member.
    pub fn is_live(self) -> bool {
        self <= MemberState::Suspect
    }
}

/// The words of the admin interface.
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

/// Another member's process as this one sees it.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its last statement about itself.
    pub record: MemberRecord,
    /// How it is seen.
    pub state: MemberState,
    /// Since when.
    pub state_since: Micros,
    /// Who reported that it does not answer, while it is suspected (Lifeguard section IV-B).
    pub(super) reporters: Vec<InstanceId>,
    pub(super) final_probe: FinalProbe,
    /// When this process last probed for whether it is back, while it is dead.
    pub(super) rejoin_probed_at: Micros,
    pub(super) replay_window: ReplayWindow,
}

/// Whether this process pings a suspect once more before it declares it dead.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FinalProbe {
    /// Others do, and this process gives them time for it.
    ByOthers,
    /// It will.
    Scheduled,
    /// It has, and waits for an answer until then.
    AwaitingAck(Micros),
}

impl Peer {
    /// One that has just become known.
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
