//! The deploy file: how the system is built, and which program runs where.

use std::collections::BTreeMap;
use std::path::Path;

use serde::Deserialize;
use serde_json::{Value, json};

use super::{Fault, Found, fault, meant, mend};

const CLASSES: [&str; 2] = ["front_proxy", "core_proxy"];
const SERVED: [&str; 2] = ["front_proxy", "control"];
const FIELDS: [&str; 6] = ["run", "on", "share", "count", "apart", "serves"];
/// Subcommands that are roles, the last one by its older name.
const VERBS: [&str; 3] = ["proxy", "hive", "forager"];
/// Programs that only start others.
const HELPERS: [&str; 6] = ["env", "npx", "sh", "bash", "nohup", "sudo"];
/// Roles on one machine at most.
const ROLES: usize = 2;

#[derive(Deserialize)]
struct Deploy {
    build: String,
    roles: BTreeMap<String, Role>,
}

#[derive(Deserialize)]
struct Role {
    run: String,
    on: String,
    share: Option<f64>,
    count: Option<u32>,
    #[serde(default)]
    serves: Vec<String>,
}

/// Looks for what is wrong.
pub fn look(_: &Path, text: &str) -> Found {
    let mut found = Found::default();
    let faults = &mut found.faults;
    let read = text.parse::<toml::Table>();
    let mut value = match read.map(serde_json::to_value) {
        Ok(Ok(value)) => value,
        Ok(Err(error)) => {
            faults.push(fault("", error.to_string()));
            return found;
        }
        Err(error) => {
            let line = error
                .span()
                .map(|at| text[..at.start].lines().count().max(1));
            let line = line.map_or_else(String::new, |line| format!("line {line}"));
            faults.push(fault(line, format!("is no TOML: {}", error.message())));
            return found;
        }
    };
    strange(&value, faults);
    let template = json!({
        "build": "cargo build",
        "roles": {"*": {
            "run": "elderpond hive", "on": "core_proxy", "share": 1.0, "count": 1, "serves": ["control"]
        }}
    });
    let Some(deploy) = mend::read::<Deploy>(&mut value, &template, faults) else {
        return found;
    };
    if deploy.build.trim().is_empty() {
        faults.push(fault("build", "is empty: say how the system is built"));
    }
    for (name, role) in &deploy.roles {
        check_role(&format!("roles.{name}"), role, faults);
    }
    check_all(&deploy.roles, faults);
    found
}

/// Names that nobody reads.
fn strange(value: &Value, faults: &mut Vec<Fault>) {
    let tables = |value: &Value| value.as_object().cloned().unwrap_or_default();
    for (key, _) in tables(value)
        .iter()
        .filter(|(key, _)| *key != "build" && *key != "roles")
    {
        let hint = meant(key, ["build", "roles"]);
        faults.push(fault(key, format!("is not known{hint}")));
    }
    for (name, role) in tables(&value["roles"]) {
        for key in tables(&role)
            .keys()
            .filter(|key| !FIELDS.contains(&key.as_str()))
        {
            let hint = meant(key, FIELDS);
            faults.push(fault(
                format!("roles.{name}.{key}"),
                format!("is not known{hint}"),
            ));
        }
    }
}

fn check_role(path: &str, role: &Role, faults: &mut Vec<Fault>) {
    let mut add = |field: &str, what: String| faults.push(fault(format!("{path}.{field}"), what));
    let words: Vec<&str> = role.run.split_whitespace().collect();
    let program = words
        .first()
        .map_or("", |word| word.rsplit('/').next().unwrap_or_default());
    if program.is_empty() {
        add("run", "is empty: name a program".into());
    } else if HELPERS.contains(&program) {
        let what = format!("{program:?} only starts another program: name that one itself");
        add("run", what);
    } else if program == "elderpond" && !words.get(1).is_some_and(|verb| VERBS.contains(verb)) {
        let verb = words.get(1).copied().unwrap_or_default();
        add(
            "run",
            format!(
                "{verb:?} is no role of elderpond: hive or proxy{}",
                meant(verb, VERBS)
            ),
        );
    }
    if !CLASSES.contains(&role.on.as_str()) {
        let what = format!(
            "{:?} is no class of machines{}",
            role.on,
            meant(&role.on, CLASSES)
        );
        add("on", what);
    }
    match (role.share, role.count) {
        (None, None) => add(
            "share",
            "is missing, and so is count: give one of them".into(),
        ),
        (Some(_), Some(_)) => add(
            "share",
            "is given, and so is count: give one of them".into(),
        ),
        (Some(share), None) if !(share > 0.0 && share <= 1.0) => {
            add(
                "share",
                format!("{share} is out of bounds: above 0 and at most 1"),
            );
        }
        (None, Some(0)) => add("count", "is 0: no machine would run it; at least 1".into()),
        _ => {}
    }
    for served in &role.serves {
        if !SERVED.contains(&served.as_str()) {
            let what = format!(
                "{served:?} is nothing that is served{}",
                meant(served, SERVED)
            );
            add("serves", what);
        }
    }
}

fn check_all(roles: &BTreeMap<String, Role>, faults: &mut Vec<Fault>) {
    for class in CLASSES {
        let here: Vec<_> = roles.iter().filter(|(_, role)| role.on == class).collect();
        let whole = here
            .iter()
            .filter(|(_, role)| role.share == Some(1.0))
            .count();
        if whole > ROLES {
            let what =
                format!("{whole} of them run on every {class}; a machine runs {ROLES} at most");
            faults.push(fault("roles", what));
        }
        for served in SERVED {
            let by: Vec<&str> = (here.iter())
                .filter(|(_, role)| role.serves.iter().any(|it| it == served))
                .map(|(name, _)| name.as_str())
                .collect();
            if by.len() > 1 {
                let what = format!(
                    "{} on {class} both serve {served}; one may",
                    by.join(" and ")
                );
                faults.push(fault("roles", what));
            }
        }
    }
    for served in SERVED {
        if !roles
            .values()
            .any(|role| role.serves.iter().any(|it| it == served))
        {
            faults.push(fault("roles", format!("none of them serves {served:?}")));
        }
    }
}
