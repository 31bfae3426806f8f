//! The policy instances of this process, which share no state.

use std::collections::BTreeMap;

use alderstile::policy::Policy;
use alderstile::settings::{self, SettingValues, SettingsError};
use alderstile::types::Action;
use thiserror::Error;

use crate::wire::{Header, Record, RecordBody, Records, Reply, WireError};

/// Why the adapter stops.
#[derive(Debug, Error)]
pub enum AdapterError {
    /// A frame is malformed.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// The input ends inside a batch's header.
    #[error("input ended inside a batch header, after {bytes_read} bytes")]
    TruncatedHeader {
        /// The number of bytes read of the header.
        bytes_read: usize,
    },
    /// The input ends inside a batch.
    #[error("batch {batch}, offset {offset}: input ended inside the batch")]
    Truncated {
        /// The number of the batch.
        batch: u32,
        /// The position of the input's end, in bytes from the start of the frame.
        offset: usize,
    },
    /// An instance is started with invalid settings.
    #[error("batch {batch}, instance {instance}: invalid settings: {error}")]
    Settings {
        /// The number of the batch.
        batch: u32,
        /// The number of the instance.
        instance: u16,
        /// Why the settings are rejected.
        error: SettingsError,
    },
    /// Reading or writing failed.
    #[error("input/output failed: {0}")]
    Io(#[from] std::io::Error),
}

/// All policy instances of this process, by number.
#[derive(Default)]
pub struct Instances {
    policies: BTreeMap<u16, Policy>,
    actions: Vec<Action>,
    reply: Reply,
}

impl Instances {
    /// Handles a batch and returns the reply's frame.
    ///
    /// # Errors
    ///
    /// Returns [`AdapterError::Wire`] for a malformed record and [`AdapterError::Settings`] for invalid
    /// settings.
    pub fn handle_batch(&mut self, header: &Header, body: &[u8]) -> Result<&[u8], AdapterError> {
        self.reply.begin(header.batch);
        let mut records = Records::new(*header, body);
        while let Some(record) = records.next_record()? {
            self.handle_record(header, record)?;
        }
        Ok(self.reply.finish())
    }

    fn handle_record(&mut self, header: &Header, record: Record) -> Result<(), AdapterError> {
        let instance = record.instance;
        match record.body {
            RecordBody::Start { seed, settings } => self.start(header, instance, seed, &settings)?,
            RecordBody::Stop => {
                self.policies.remove(&instance);
            }
            RecordBody::Event(event) => {
                if let Some(policy) = self.policies.get_mut(&instance) {
                    policy.handle(header.now, event, &mut self.actions);
                }
            }
        }
        for action in self.actions.drain(..) {
            self.reply.push(instance, &action);
        }
        Ok(())
    }

    fn start(
        &mut self,
        header: &Header,
        instance: u16,
        seed: u64,
        settings: &str,
    ) -> Result<(), AdapterError> {
        let settings = settings::parse(&SettingValues::from_lines(settings));
        let settings =
            settings.map_err(|error| AdapterError::Settings { batch: header.batch, instance, error })?;
        let mut policy = Policy::new(settings, seed, header.now);
        policy.start(&mut self.actions);
        self.policies.insert(instance, policy);
        Ok(())
    }
}
