//! Counting what is in use.

use std::cell::Cell;
use std::rc::Rc;

/// How many of something are in use.
#[derive(Clone, Default)]
pub struct UseCount(Rc<Cell<usize>>);

impl UseCount {
    /// Counts one more until the guard is dropped.
    pub fn acquire(&self) -> CountGuard {
        self.0.set(self.0.get() + 1);
        CountGuard(self.clone())
    }

    /// The number in use.
    pub fn get(&self) -> usize {
        self.0.get()
    }
}

/// One of something, counted until this is dropped.
pub struct CountGuard(UseCount);

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.0.0.set(self.0.get() - 1);
    }
}
