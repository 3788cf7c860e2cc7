//! Options of a control node, and the operations that it offers to operator interfaces.
//!
//! Any core can serve them. A core without contact to a majority of the core disks first tries to
//! establish it, and reports an error if it cannot.

use crate::{Control, config, layout, quorum_contact};
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::adapter::{ConfigurationFormat, NativeFormat, ServerCatalogue};
use yewcross_common::process_settings::Role;
pub use yewcross_common::protocol::operator_orders::{PutAnswer, RetireOutcome};

/// When a put is acknowledged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PutAcknowledgement {
    /// Once no front can serve by an older version any more. Requires fronts to hold serving
    /// leases.
    #[default]
    InForce,
    /// Once a majority of the core disks has synced it. Fronts serve by the version that they hold,
    /// and apply the new one within `Bounds::apply`.
    Decided,
}

/// Options of a control node.
#[derive(Clone)]
pub struct Options {
    /// Parses an operator's text into a configuration.
    pub configuration_format: Arc<dyn ConfigurationFormat>,
    /// Reads the platform's list of servers; `None` for the product's own JSON format.
    pub server_catalogue: Option<Arc<dyn ServerCatalogue>>,
    /// When a put is acknowledged.
    pub put_acknowledgement: PutAcknowledgement,
    /// Whether to serve the product's own operator interface at `ProcessSettings::http`.
    pub bind_http: bool,
    /// Whether to maintain the layout without an operator: bootstrap the tier, admit new disks and
    /// replace lost ones.
    pub maintains_layout: bool,
    /// Whether to outrank a younger process of the same name instead of being replaced by it.
    pub outranks_younger_process: bool,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            configuration_format: Arc::new(NativeFormat),
            server_catalogue: None,
            put_acknowledgement: PutAcknowledgement::InForce,
            bind_http: true,
            maintains_layout: false,
            outranks_younger_process: false,
        }
    }
}

/// The answer to [`Control::read_config`].
#[derive(Clone, Debug, PartialEq)]
pub enum ReadAnswer {
    /// The newest configuration: its number and the operator's text, unmodified.
    Text(u64, Arc<str>),
    /// No configuration was ever put.
    None,
    /// No majority of the core disks could be reached, this node has no layout yet, or the decided
    /// document cannot be decoded.
    Unavailable,
}

/// The answer to [`Control::retire_state`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetireState {
    /// The machine's keys are being moved to other disks.
    Running,
    /// The layout without the machine is in force, and the sweep under it is complete: machine and
    /// disk may be removed.
    Finished,
    /// Retirement of the machine was never requested.
    NotRequested,
    /// No majority of the core disks could be reached.
    Unavailable,
}

impl Control {
    /// Puts an operator's configuration text in force as the successor of version `base`; 0 stands
    /// for the first one. Can be called on any core, and answers within `Bounds::ack`.
    pub async fn put(self: &Arc<Self>, base: u64, text: Vec<u8>) -> PutAnswer {
        if !quorum_contact::ensure_quorum_contact(self).await {
            return if self.documents.layout.load().0 == 0 {
                PutAnswer::NotBootstrapped
            } else {
                PutAnswer::NoMajority
            };
        }
        config::submit_order(self, base, text).await
    }

    /// Reads the newest decided configuration from a majority of the core disks.
    pub async fn read_config(self: &Arc<Self>) -> ReadAnswer {
        if !quorum_contact::ensure_quorum_contact(self).await {
            return ReadAnswer::Unavailable;
        }
        config::read_newest_configuration(self).await
    }

    /// Requests the permanent retirement of a store machine, whose keys are moved to other disks.
    /// Can be called on any core, and repeatedly.
    pub async fn retire_begin(self: &Arc<Self>, node: &str) -> RetireOutcome {
        if !quorum_contact::ensure_quorum_contact(self).await {
            return RetireOutcome::Unavailable;
        }
        layout::retire(self, node).await
    }

    /// Reads the progress of a store machine's retirement.
    pub async fn retire_state(self: &Arc<Self>, node: &str) -> RetireState {
        if !quorum_contact::ensure_quorum_contact(self).await {
            return RetireState::Unavailable;
        }
        layout::retirement_state(self, node).await
    }

    /// Whether the tier is bootstrapped, this node's disk has not failed, and no younger process
    /// has replaced this one under its name.
    pub fn ready(&self) -> bool {
        let has_layout = self.documents.layout.load().0 > 0;
        let has_documents = self.settings.role != Role::Core || self.is_bootstrapped.load(SeqCst);
        has_layout
            && has_documents
            && !self.storage.failed.load(SeqCst)
            && !self.members.replaced.is_set()
    }
}
