//! The operators' configuration: program classes ("families") that inherit their settings, services,
//! budgets and routes.
//!
//! - `settings`: the settings of each, with defaults and ranges.
//! - `history`: which earlier turns of a session are kept.
//! - `route`: which service takes a request.
//! - `validation`: from the text to a [`Configuration`], or to all that is invalid in it.

mod history;
pub mod route;
mod settings;
mod validation;

pub use history::Rule;
pub use settings::{Budget, Class, Kind, ProgramClass, Service, SettingDefinition};

use crate::configuration::route::Routes;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A program class with all of its settings, inherited ones included.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ResolvedProgramClass {
    /// Where it is defined in the text.
    pub path: String,
    /// The settings in effect.
    #[serde(rename = "eff")]
    pub settings: ProgramClass,
    /// For each setting, the family it comes from; "default" where none sets it.
    #[serde(rename = "from")]
    pub origins: BTreeMap<String, String>,
}

/// A valid configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Configuration {
    /// Program classes by name, without their nesting.
    pub families: BTreeMap<String, ResolvedProgramClass>,
    /// Services by name.
    pub services: BTreeMap<String, Service>,
    /// Budgets by name.
    pub budgets: BTreeMap<String, Budget>,
    /// Names of the fronts that a change must be proved in force for, by a majority of them.
    pub fronts: Vec<String>,
    /// Routes by host and path, besides the families.
    pub routing: Routes,
}

/// Something invalid in a configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct InvalidSetting {
    /// Where it is in the text; empty where the text as a whole is meant.
    pub path: String,
    /// What is wrong with it.
    #[serde(rename = "why")]
    pub reason: String,
}

impl Configuration {
    /// Reads and validates a configuration; `Err` lists all that is invalid.
    pub fn read(text: &[u8]) -> Result<Configuration, Vec<InvalidSetting>> {
        validation::read(text)
    }
}
