//! Effect of faults on links, without I/O; used by runs on processes and by emulated runs.

use std::collections::BTreeMap;

use crate::schedule::{FaultKind, LinkDefaults, Party, PlannedFault};

/// Current properties of a link in one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkState {
    /// Whether the link is blocked.
    pub cut: bool,
    /// Share of datagrams that are lost.
    pub loss: f64,
    /// Delay, in seconds.
    pub delay_s: f64,
    /// Maximum additional random delay, in seconds.
    pub jitter_s: f64,
    /// Share of datagrams that are duplicated.
    pub duplicate: f64,
    /// Share of datagrams that are reordered.
    pub reorder: f64,
    /// Share of datagrams that are damaged.
    pub damage: f64,
}

/// Link faults that are active.
#[derive(Clone, Debug, Default)]
pub struct LinkFaults {
    base: LinkDefaults,
    active: BTreeMap<usize, PlannedFault>,
}

impl LinkFaults {
    /// Returns a set without faults; `base` applies to all links.
    pub fn new(base: LinkDefaults) -> Self {
        LinkFaults { base, active: BTreeMap::new() }
    }

    /// Adds a fault under a unique number; [`FaultKind::Heal`] removes all instead.
    pub fn begin(&mut self, number: usize, fault: &PlannedFault) {
        if fault.kind == FaultKind::Heal {
            self.active.clear();
        } else {
            self.active.insert(number, fault.clone());
        }
    }

    /// Removes the fault with this number.
    pub fn end(&mut self, number: usize) {
        self.active.remove(&number);
    }

    /// Returns whether any fault is active.
    pub fn any(&self) -> bool {
        !self.active.is_empty()
    }

    /// Returns the properties of the link from `from` to `to` under all active faults.
    pub fn link(&self, from: Party, to: Party) -> LinkState {
        let (delay_s, jitter_s) = (self.base.delay_ms / 1e3, self.base.jitter_ms / 1e3);
        let mut link = LinkState { delay_s, jitter_s, loss: self.base.loss, ..LinkState::default() };
        for fault in self.active.values() {
            let forward = fault.from.contains(&from) && fault.to.contains(&to);
            let reverse = fault.from.contains(&to) && fault.to.contains(&from);
            if !(forward || (reverse && fault.kind == FaultKind::Cut)) {
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
