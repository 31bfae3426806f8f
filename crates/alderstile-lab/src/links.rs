//! What faults do to ways, without I/O: the same for real processes and emulated ones.

use std::collections::BTreeMap;

use crate::schedule::{FaultKind, LinkDefaults, Party, PlannedFault};

/// What a way does now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkState {
    /// Nothing passes.
    pub cut: bool,
    /// The share that is lost.
    pub loss: f64,
    /// How much later all comes, seconds.
    pub delay_s: f64,
    /// Up to so much later besides, seconds.
    pub jitter_s: f64,
    /// The share that comes twice.
    pub duplicate: f64,
    /// The share that is overtaken.
    pub reorder: f64,
    /// The share that is damaged.
    pub damage: f64,
}

/// The faults of ways that hold now.
#[derive(Clone, Debug, Default)]
pub struct LinkFaults {
    base: LinkDefaults,
    held: BTreeMap<usize, PlannedFault>,
}

impl LinkFaults {
    /// No faults beyond these ways.
    pub fn new(base: LinkDefaults) -> Self {
        LinkFaults { base, held: BTreeMap::new() }
    }

    /// A fault begins, under a number of its own.
    pub fn begin(&mut self, number: usize, fault: &PlannedFault) {
        if fault.kind == FaultKind::Heal {
            self.held.clear();
        } else {
            self.held.insert(number, fault.clone());
        }
    }

    /// It ends.
    pub fn end(&mut self, number: usize) {
        self.held.remove(&number);
    }

    /// Whether any fault holds.
    pub fn any(&self) -> bool {
        !self.held.is_empty()
    }

    /// What the way from one to the other does.
    pub fn link(&self, from: Party, to: Party) -> LinkState {
        let (delay_s, jitter_s) = (self.base.delay_ms / 1e3, self.base.jitter_ms / 1e3);
        let mut link = LinkState { delay_s, jitter_s, loss: self.base.loss, ..LinkState::default() };
        for fault in self.held.values() {
            let forth = fault.from.contains(&from) && fault.to.contains(&to);
            let back = fault.from.contains(&to) && fault.to.contains(&from);
            if !(forth || (back && fault.kind == FaultKind::Cut)) {
                continue;
            }
            match fault.kind {
                FaultKind::Cut | FaultKind::CutOneWay => link.cut = true,
                FaultKind::Loss => link.loss = 1.0 - (1.0 - link.loss) * (1.0 - fault.share),
                FaultKind::Delay => link.delay_s += fault.ms / 1e3,
                FaultKind::Jitter => link.jitter_s += fault.ms / 1e3,
                FaultKind::Duplicate => link.duplicate = link.duplicate.max(fault.share),
                FaultKind::Reorder => link.reorder = link.reorder.max(fault.share),
                FaultKind::Damage => link.damage = link.damage.max(fault.share),
                _ => {}
            }
        }
        link
    }
}
