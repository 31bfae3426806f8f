//! The table of instances: each has its own decisions, and they share nothing.

use std::collections::BTreeMap;

use alderstile::policy::Policy;
use alderstile::settings::{self, SettingValues, SettingsError};
use alderstile::types::Action;
use thiserror::Error;

use crate::wire::{Body, Header, Records, Reply, WireError};

/// Why the host cannot go on.
#[derive(Debug, Error)]
pub enum HostError {
    /// A frame is malformed.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// The input ends inside a header.
    #[error("the input ends inside a batch's header, after {got} bytes")]
    HeaderCutOff {
        /// The bytes that came.
        got: usize,
    },
    /// The input ends inside a batch.
    #[error("batch {batch}, offset {offset}: the input ends inside the batch")]
    CutOff {
        /// The batch.
        batch: u32,
        /// Where it ends.
        offset: usize,
    },
    /// An instance was given settings that cannot be used.
    #[error("batch {batch}, instance {instance}: settings: {error}")]
    Settings {
        /// The batch.
        batch: u32,
        /// The instance.
        instance: u16,
        /// What is wrong.
        error: SettingsError,
    },
    /// Reading or writing failed.
    #[error("input or output failed: {0}")]
    Io(#[from] std::io::Error),
}

/// All instances of this process.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u16, Policy>,
    actions: Vec<Action>,
    reply: Reply,
}

impl Host {
    /// Takes in a batch and returns the reply's frame.
    pub fn batch(&mut self, header: &Header, body: &[u8]) -> Result<&[u8], HostError> {
        self.reply.begin(header.batch);
        let mut records = Records::new(*header, body);
        while let Some(record) = records.next_record()? {
            match record.body {
                Body::Launch(seed, options) => {
                    let settings =
                        settings::parse(&SettingValues::from_lines(&options)).map_err(|error| {
                            HostError::Settings { batch: header.batch, instance: record.instance, error }
                        })?;
                    let mut policy = Policy::new(settings, seed, header.now);
                    policy.start(&mut self.actions);
                    self.instances.insert(record.instance, policy);
                }
                Body::PowerOff => {
                    self.instances.remove(&record.instance);
                }
                Body::Event(event) => {
                    if let Some(policy) = self.instances.get_mut(&record.instance) {
                        policy.handle(header.now, event, &mut self.actions);
                    }
                }
            }
            for action in self.actions.drain(..) {
                self.reply.push(record.instance, &action);
            }
        }
        Ok(self.reply.finish())
    }
}
