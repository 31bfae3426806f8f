//! The active configuration.

use std::cell::RefCell;
use std::rc::Rc;

use super::Config;

/// The active configuration, shared by the node's components and replaced as a whole.
pub struct ActiveConfig(RefCell<Rc<Config>>);

impl ActiveConfig {
    /// Holds the configuration read at the start.
    pub fn new(config: Config) -> Self {
        ActiveConfig(RefCell::new(Rc::new(config)))
    }

    /// Returns the active configuration.
    pub fn get(&self) -> Rc<Config> {
        self.0.borrow().clone()
    }

    /// Replaces the active configuration.
    pub fn set(&self, config: Config) {
        self.0.replace(Rc::new(config));
    }
}
