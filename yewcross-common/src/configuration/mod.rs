//! The operators' configuration: program classes ("families") that inherit their settings,
//! services, budgets and routes.
//!
//! - `settings`: the settings of each, with defaults and ranges.
//! - `history`: which earlier turns of a session are retained.
//! - `route`: selection of the service for a request.
//! - `validation`: parses and validates the text of a [`Configuration`].

mod history;
pub mod route;
mod settings;
mod validation;

pub use history::Rule;
pub use settings::{Budget, Class, Kind, ProgramClass, Service, SettingDefinition};

use crate::configuration::route::Routes;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A program class with all of its settings, including the inherited ones.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ResolvedProgramClass {
    /// Path of its definition in the text.
    pub path: String,
    /// The settings in effect.
    #[serde(rename = "eff")]
    pub settings: ProgramClass,
    /// For each setting, the name of the family that it is inherited from; "default" if no family
    /// sets it.
    #[serde(rename = "from")]
    pub origins: BTreeMap<String, String>,
}

/// A valid configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Configuration {
    /// Program classes by name, flattened.
    pub families: BTreeMap<String, ResolvedProgramClass>,
    /// Services by name.
    pub services: BTreeMap<String, Service>,
    /// Budgets by name.
    pub budgets: BTreeMap<String, Budget>,
    /// Names of the fronts, a majority of which must confirm that a change is in force.
    pub fronts: Vec<String>,
    /// Routes by host and path, independent of the families.
    pub routing: Routes,
}

/// An invalid setting of a configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct InvalidSetting {
    /// Path of the setting in the text; empty if the entire text is invalid.
    pub path: String,
    /// The reason why it is invalid.
    #[serde(rename = "why")]
    pub reason: String,
}

impl Configuration {
    /// Parses and validates a configuration; `Err` lists all invalid settings.
    pub fn read(text: &[u8]) -> Result<Configuration, Vec<InvalidSetting>> {
        validation::read(text)
    }
}
