//! What another interface starts a control node with, and asks of it.
//!
//! Any core answers. One that has no contact with a majority of the core disks tries to reach one
//! first, and else answers that it cannot.

use crate::{Control, config, layout, quorum_contact};
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::adapter::{ConfigurationFormat, NativeFormat, ServerCatalogue};
use yewcross_common::process_settings::Role;
pub use yewcross_common::protocol::operator_orders::{PutAnswer, RetireOutcome};

/// When a put is acknowledged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Rollout {
    /// Once no front can serve by an older version any more: fronts hold serving leases.
    #[default]
    Proved,
    /// Once a majority of the core disks has synced it: fronts serve by what they hold, and apply
    /// it within `Bounds::apply`.
    Majority,
}

/// How a control node is built.
#[derive(Clone)]
pub struct Options {
    /// How an operator's text becomes a configuration.
    pub dialect: Arc<dyn ConfigurationFormat>,
    /// How the platform's list is polled; none for the product's own JSON.
    pub catalogue: Option<Arc<dyn ServerCatalogue>>,
    /// When a put is acknowledged.
    pub rollout: Rollout,
    /// Serve the product's own operators' interface at `ProcessSettings::http`.
    pub bind_http: bool,
    /// Maintain the layout without an operator: bootstrap the tier, admit new disks, replace lost
    /// ones.
    pub tends: bool,
    /// Never give way to a younger process of the same name: outrank it instead.
    pub stays: bool,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            dialect: Arc::new(NativeFormat),
            catalogue: None,
            rollout: Rollout::Proved,
            bind_http: true,
            tends: false,
            stays: false,
        }
    }
}

/// The answer to [`Control::read_config`].
#[derive(Clone, Debug, PartialEq)]
pub enum ReadAnswer {
    /// The newest configuration: its number and the operator's text, byte for byte.
    Text(u64, Arc<str>),
    /// No configuration was ever put.
    None,
    /// No majority of core disks could be asked, or this node does not know the layout yet, or the
    /// decided document cannot be read.
    Away,
}

/// The answer to [`Control::retire_state`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetireState {
    /// Its keys are being moved to other disks.
    Running,
    /// The layout without the machine is in force and swept: machine and disk may be removed.
    Finished,
    /// It was never asked to retire.
    Unknown,
    /// No majority of core disks could be asked.
    Away,
}

impl Control {
    /// Puts an operator's text in force on top of version `base` (0: the first). Any core node may
    /// be asked; answers within `Bounds::ack`.
    pub async fn put(self: &Arc<Self>, base: u64, text: Vec<u8>) -> PutAnswer {
        if !quorum_contact::ensure_quorum_contact(self).await {
            return if self.documents.layout.load().0 == 0 {
                PutAnswer::NotBootstrapped
            } else {
                PutAnswer::NoMajority
            };
        }
        config::order(self, base, text).await
    }

    /// The newest decided configuration, by a majority of core disks.
    pub async fn read_config(self: &Arc<Self>) -> ReadAnswer {
        if !quorum_contact::ensure_quorum_contact(self).await {
            return ReadAnswer::Away;
        }
        config::newest(self).await
    }

    /// Orders a store machine to be emptied for good. Any core node may be asked, repeatedly.
    pub async fn retire_begin(self: &Arc<Self>, node: &str) -> RetireOutcome {
        if !quorum_contact::ensure_quorum_contact(self).await {
            return RetireOutcome::Unavailable;
        }
        layout::retire(self, node).await
    }

    /// How far the emptying of a store machine has come.
    pub async fn retire_state(self: &Arc<Self>, node: &str) -> RetireState {
        if !quorum_contact::ensure_quorum_contact(self).await {
            return RetireState::Away;
        }
        layout::retirement_state(self, node).await
    }

    /// The tier is bootstrapped, this disk works, and no younger process carries this name.
    pub fn ready(&self) -> bool {
        let has_layout = self.documents.layout.load().0 > 0;
        let has_documents = self.settings.role != Role::Core || self.is_bootstrapped.load(SeqCst);
        has_layout
            && has_documents
            && !self.storage.failed.load(SeqCst)
            && !self.members.replaced.is_set()
    }
}
