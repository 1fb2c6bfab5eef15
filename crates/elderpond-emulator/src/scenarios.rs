//! Scenarios by name or by path.

use std::path::Path;

use elderpond_config::Faults;
use elderpond_model::Scenario;

/// The scenarios that come with the program, by name.
pub const OWN: [(&str, &str); 12] = [
    ("base", include_str!("../../../scenarios/base.ini")),
    ("calm", include_str!("../../../scenarios/calm.ini")),
    (
        "wednesday",
        include_str!("../../../scenarios/wednesday.ini"),
    ),
    (
        "bell-time",
        include_str!("../../../scenarios/bell-time.ini"),
    ),
    (
        "zone-lost-and-cold",
        include_str!("../../../scenarios/zone-lost-and-cold.ini"),
    ),
    (
        "rolling-release",
        include_str!("../../../scenarios/rolling-release.ini"),
    ),
    ("ageing", include_str!("../../../scenarios/ageing.ini")),
    (
        "heavy-tail",
        include_str!("../../../scenarios/heavy-tail.ini"),
    ),
    (
        "crash-loop",
        include_str!("../../../scenarios/crash-loop.ini"),
    ),
    (
        "single-owners",
        include_str!("../../../scenarios/single-owners.ini"),
    ),
    ("grown", include_str!("../../../scenarios/grown.ini")),
    ("huge", include_str!("../../../scenarios/huge.ini")),
];

/// Why a scenario cannot be played.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// Neither a file nor a name.
    #[error(
        "{path}: {cause}; the scenarios that come with the program are {}",
        names()
    )]
    Unreadable {
        /// What was asked for.
        path: String,
        /// Why it cannot be read.
        cause: std::io::Error,
    },
    /// The file is faulty.
    #[error(transparent)]
    Faulty(#[from] Faults),
}

fn names() -> String {
    OWN.map(|(name, _)| name).join(", ")
}

fn own(name: &str) -> Option<&'static str> {
    let name = name.strip_suffix(".ini").unwrap_or(name);
    OWN.iter()
        .find(|(known, _)| *known == name)
        .map(|(_, text)| *text)
}

/// Reads a scenario: one that comes with the program, by its name, or a file. What it is based on
/// is looked for beside it, then among those that come with the program.
///
/// # Errors
/// No such file, or all that is wrong with it.
pub fn load(name: &str) -> Result<Scenario, ScenarioError> {
    if let Some(text) = own(name) {
        let open = |base: &str| {
            own(base)
                .map(str::to_owned)
                .ok_or_else(|| "is none of ours".to_owned())
        };
        return Ok(Scenario::parse_over(&format!("{name}.ini"), text, open)?);
    }
    let text = std::fs::read_to_string(name);
    let text = text.map_err(|cause| ScenarioError::Unreadable {
        path: name.to_owned(),
        cause,
    })?;
    let beside = Path::new(name).parent().unwrap_or(Path::new("")).to_owned();
    let open = |base: &str| match std::fs::read_to_string(beside.join(base)) {
        Ok(text) => Ok(text),
        Err(cause) => own(base)
            .map(str::to_owned)
            .ok_or_else(|| format!("cannot be read: {cause}")),
    };
    Ok(Scenario::parse_over(name, &text, open)?)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_scenario_that_comes_with_the_program_is_sound() {
        for (name, _) in OWN {
            let scenario = load(name).unwrap_or_else(|faults| panic!("{faults}"));
            let (asked, there) = scenario.load();
            assert!(asked < there, "{name}: {asked} of {there}");
        }
        assert_eq!(load("wednesday").unwrap().workers(), 22);
        let fault = load("no-such").unwrap_err().to_string();
        assert!(fault.contains("wednesday"), "{fault}");
    }
}
