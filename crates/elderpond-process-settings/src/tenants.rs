//! The operator's own file of tenants.

use std::path::Path;

use serde::{Deserialize, Serialize};
use validator::{Validate, ValidationError};

use crate::ProcessSettingsError;

/// Who owns which hosts. A host that nobody owns is a tenant by itself.
#[derive(Clone, Debug, Default, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
#[validate(schema(function = one_owner))]
pub struct Tenants {
    /// The tenants.
    #[serde(default)]
    #[validate(length(max = 256), nested)]
    tenants: Vec<Tenant>,
}

#[derive(Clone, Debug, Deserialize, Serialize, Validate)]
#[serde(deny_unknown_fields)]
struct Tenant {
    /// As it is told to people.
    #[validate(length(min = 1))]
    name: String,
    #[validate(length(min = 1))]
    hosts: Vec<String>,
    /// Its part of what is guaranteed, against the other tenants' weights.
    #[serde(default = "one")]
    #[validate(range(min = 1, max = 1000))]
    weight: u32,
}

fn one() -> u32 {
    1
}

fn one_owner(tenants: &Tenants) -> Result<(), ValidationError> {
    let mut names: Vec<&str> = tenants.tenants.iter().map(|it| it.name.as_str()).collect();
    let mut hosts: Vec<String> = (tenants.tenants.iter().flat_map(|tenant| &tenant.hosts))
        .map(|host| host.to_ascii_lowercase())
        .collect();
    names.sort_unstable();
    hosts.sort_unstable();
    let twice = (names.windows(2).find(|pair| pair[0] == pair[1]))
        .map(|pair| format!("tenant {:?} is there twice", pair[0]))
        .or_else(|| {
            let pair = hosts.windows(2).find(|pair| pair[0] == pair[1])?;
            Some(format!("host {:?} has two owners", pair[0]))
        });
    match twice {
        Some(said) => Err(ValidationError::new("tenants").with_message(said.into())),
        None => Ok(()),
    }
}

impl Tenants {
    /// Reads and checks a file of tenants.
    ///
    /// # Errors
    ///
    /// What is wrong, with the file and the field.
    pub fn read(path: &Path) -> Result<Self, ProcessSettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| ProcessSettingsError::Unreadable(path.to_owned(), error))?;
        Self::parse(path, &text)
    }

    /// Checks the text of a file of tenants; `path` is named in errors.
    ///
    /// # Errors
    ///
    /// What is wrong, with the file and the field.
    pub fn parse(path: &Path, text: &str) -> Result<Self, ProcessSettingsError> {
        let read: Self = serde_norway::from_str(text)
            .map_err(|error| ProcessSettingsError::Mistyped(path.to_owned(), error))?;
        read.validate().map_err(|errors| {
            let line = errors.to_string().replace('\n', "; ");
            ProcessSettingsError::Invalid(path.to_owned(), line)
        })?;
        Ok(read)
    }

    /// Whose a host is, which is given in small letters.
    pub fn of<'a>(&'a self, host: &'a str) -> &'a str {
        let owns = |tenant: &&Tenant| tenant.hosts.iter().any(|it| it.eq_ignore_ascii_case(host));
        (self.tenants.iter().find(owns)).map_or(host, |tenant| &tenant.name)
    }

    /// A tenant's part of what is guaranteed, against the others'.
    pub fn weight(&self, name: &str) -> u32 {
        let named = self.tenants.iter().find(|tenant| tenant.name == name);
        named.map_or(1, |tenant| tenant.weight)
    }
}
