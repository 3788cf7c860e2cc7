//! Parses and validates the operators' text. All errors are reported, not only the first one.

use super::route::Routes;
use super::{
    Budget, Configuration, InvalidSetting, Kind, ProgramClass, ResolvedProgramClass, Service,
};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use std::collections::BTreeMap;

/// Largest length of a name in bytes.
const NAME_BYTES_MAX: usize = 64;

/// A family as written by the operators.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawFamily {
    /// Settings that differ from those of the parent family.
    #[serde(default)]
    #[serde(rename = "set")]
    settings: Map<String, Value>,
    /// Families that inherit from this one.
    #[serde(default)]
    #[serde(rename = "under")]
    children: BTreeMap<String, RawFamily>,
}

/// A configuration as written by the operators.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawConfiguration {
    #[serde(default)]
    families: BTreeMap<String, RawFamily>,
    #[serde(default)]
    services: BTreeMap<String, Map<String, Value>>,
    #[serde(default)]
    budgets: BTreeMap<String, Map<String, Value>>,
    #[serde(default)]
    fronts: Vec<String>,
    #[serde(default)]
    routing: Routes,
}

/// Settings of a family and, for each of them, the name of the family that it is inherited from.
#[derive(Clone)]
struct Inherited {
    settings: ProgramClass,
    origins: BTreeMap<String, String>,
}

impl Inherited {
    fn defaults() -> Inherited {
        Inherited {
            settings: ProgramClass::default(),
            origins: ProgramClass::DEFS
                .iter()
                .map(|definition| (definition.key.to_string(), "default".to_string()))
                .collect(),
        }
    }
}

/// The configuration parsed so far, and the errors found in it.
#[derive(Default)]
struct Validation {
    configuration: Configuration,
    errors: Vec<InvalidSetting>,
}

/// Parses and validates a configuration.
pub(super) fn read(text: &[u8]) -> Result<Configuration, Vec<InvalidSetting>> {
    let raw: RawConfiguration = serde_json::from_slice(text).map_err(|error| {
        vec![InvalidSetting {
            path: String::new(),
            reason: error.to_string(),
        }]
    })?;
    let mut validation = Validation::default();
    let defaults = Inherited::defaults();
    for (name, family) in &raw.families {
        validation.add_family("families", name, family, &defaults);
    }
    for (name, settings) in &raw.services {
        validation.add_service(name, settings);
    }
    for (name, settings) in &raw.budgets {
        validation.add_budget(name, settings);
    }
    validation.configuration.fronts = raw.fronts;
    validation.configuration.routing = raw.routing;
    validation.check_references();
    validation.check_routes();
    validation.finish()
}

impl Validation {
    fn reject(&mut self, path: impl Into<String>, reason: impl Into<String>) {
        self.errors.push(InvalidSetting {
            path: path.into(),
            reason: reason.into(),
        });
    }

    fn finish(self) -> Result<Configuration, Vec<InvalidSetting>> {
        if self.errors.is_empty() {
            Ok(self.configuration)
        } else {
            Err(self.errors)
        }
    }

    /// Adds a family and all families that inherit from it.
    fn add_family(&mut self, parent: &str, name: &str, family: &RawFamily, inherited: &Inherited) {
        let path = format!("{parent}/{name}");
        if !is_name(name) {
            self.reject(&path, "not a name: letters, digits, - _ . up to 64");
        }
        if self.configuration.families.contains_key(name) {
            self.reject(&path, "a family of this name stands elsewhere in the tree");
        }
        let mut own = inherited.clone();
        for (key, value) in &family.settings {
            match own.settings.set(key, value) {
                Ok(()) => {
                    own.origins.insert(key.clone(), name.to_string());
                }
                Err(reason) => self.reject(format!("{path}/set/{key}"), reason),
            }
        }
        let resolved = ResolvedProgramClass {
            path: path.clone(),
            settings: own.settings.clone(),
            origins: own.origins.clone(),
        };
        self.configuration.families.insert(name.into(), resolved);
        for (child_name, child) in &family.children {
            self.add_family(&format!("{path}/under"), child_name, child, &own);
        }
    }

    fn add_service(&mut self, name: &str, settings: &Map<String, Value>) {
        let path = format!("services/{name}");
        let mut service = Service::default();
        if !is_name(name) {
            self.reject(&path, "not a name");
        }
        for (key, value) in settings {
            if let Err(reason) = service.set(key, value) {
                self.reject(format!("{path}/{key}"), reason);
            }
        }
        if service.allow.is_empty() {
            self.reject(format!("{path}/allow"), "no server is allowed");
        }
        for method in &service.once {
            if !service.methods.contains(method) {
                self.reject(
                    format!("{path}/once"),
                    format!("{method} is not among the methods"),
                );
            }
        }
        self.configuration.services.insert(name.into(), service);
    }

    fn add_budget(&mut self, name: &str, settings: &Map<String, Value>) {
        let mut budget = Budget::default();
        for (key, value) in settings {
            if let Err(reason) = budget.set(key, value) {
                self.reject(format!("budgets/{name}/{key}"), reason);
            }
        }
        self.configuration.budgets.insert(name.into(), budget);
    }

    /// Checks that the services and budgets referenced by families exist.
    fn check_references(&mut self) {
        let Configuration {
            families,
            services,
            budgets,
            ..
        } = &self.configuration;
        let mut errors = vec![];
        for family in families.values() {
            let ProgramClass {
                service, budget, ..
            } = &family.settings;
            let is_model = services
                .get(service)
                .is_some_and(|service| service.kind == Kind::Model);
            if !is_model {
                errors.push((
                    format!("{}/set/service", family.path),
                    format!("{service} is not a model service"),
                ));
            }
            if !budget.is_empty() && !budgets.contains_key(budget) {
                errors.push((
                    format!("{}/set/budget", family.path),
                    format!("{budget} is not a budget"),
                ));
            }
        }
        for (path, reason) in errors {
            self.reject(path, reason);
        }
    }

    fn check_routes(&mut self) {
        for (path, reason) in self.configuration.routing.validation_errors() {
            self.reject(format!("routing/{path}"), reason);
        }
    }
}

fn is_name(text: &str) -> bool {
    (1..=NAME_BYTES_MAX).contains(&text.len())
        && text
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.'))
}
