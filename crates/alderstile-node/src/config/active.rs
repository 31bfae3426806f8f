//! The configuration in force.

use std::cell::RefCell;
use std::rc::Rc;

use super::Config;

/// The configuration in force, shared by the parts of a node and replaced as a whole.
pub struct ActiveConfig(RefCell<Rc<Config>>);

impl ActiveConfig {
    /// Begins with the configuration of the start.
    pub fn new(config: Config) -> Self {
        ActiveConfig(RefCell::new(Rc::new(config)))
    }

    /// The configuration in force.
    pub fn get(&self) -> Rc<Config> {
        self.0.borrow().clone()
    }

    /// Puts another one in force.
    pub fn set(&self, config: Config) {
        self.0.replace(Rc::new(config));
    }
}
