//! The instances of the decisions in this process; they share nothing.

use std::collections::BTreeMap;

use alderstile::policy::Policy;
use alderstile::settings::{self, SettingValues, SettingsError};
use alderstile::types::Action;
use thiserror::Error;

use crate::wire::{Header, Record, RecordBody, Records, Reply, WireError};

/// Why the adapter cannot go on.
#[derive(Debug, Error)]
pub enum AdapterError {
    /// A frame is malformed.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// The input ends inside a header.
    #[error("the input ends inside a batch's header, after {got} bytes")]
    HeaderCutOff {
        /// The number of bytes before the end.
        got: usize,
    },
    /// The input ends inside a batch.
    #[error("batch {batch}, offset {offset}: the input ends inside the batch")]
    CutOff {
        /// The batch.
        batch: u32,
        /// Where it ends, in bytes from the start of the frame.
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

/// All instances of this process, by their numbers.
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
    /// [`AdapterError::Wire`] for a malformed record, [`AdapterError::Settings`] for settings that cannot be
    /// used.
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
            RecordBody::Launch { seed, settings } => self.launch(header, instance, seed, &settings)?,
            RecordBody::PowerOff => {
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

    fn launch(
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
