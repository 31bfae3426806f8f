//! A counter of resources in use, with guards that release them.

use std::cell::Cell;
use std::rc::Rc;

/// The number of resources of one kind in use.
#[derive(Clone, Default)]
pub struct UseCount(Rc<Cell<usize>>);

impl UseCount {
    /// Counts one more resource until the guard is dropped.
    pub fn acquire(&self) -> CountGuard {
        self.0.set(self.0.get() + 1);
        CountGuard(self.clone())
    }

    /// Returns the number in use.
    pub fn get(&self) -> usize {
        self.0.get()
    }
}

/// One resource, counted until the guard is dropped.
pub struct CountGuard(UseCount);

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.0.0.set(self.0.get() - 1);
    }
}
