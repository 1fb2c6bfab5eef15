//! A process's settings file.

use std::path::Path;

use elderpond_process_settings::ProcessSettings;
use serde_json::Value;
use validator::{Validate, ValidationErrors, ValidationErrorsKind};

use super::{Fault, Found, fault, mend};

/// A sound file, with every name that is known.
const TEMPLATE: &str = include_str!("settings.yaml");

/// Looks for what is wrong.
pub fn look(path: &Path, text: &str) -> Found {
    let mut found = Found::default();
    let mut value: Value = match serde_norway::from_str(text) {
        Ok(value) => value,
        Err(error) => {
            found.faults.push(fault("", format!("is no YAML: {error}")));
            return found;
        }
    };
    let template: Value = serde_norway::from_str(TEMPLATE).unwrap_or_default();
    if !value.is_object() {
        found.faults.push(fault("", "holds no fields"));
        return found;
    }
    mend::misspelt(&value, &template, &mut Vec::new(), &mut found.notes);
    if let Some(process_settings) =
        mend::read::<ProcessSettings>(&mut value, &template, &mut found.faults)
    {
        if let Err(errors) = process_settings.validate() {
            flatten("", &errors, &mut found.faults);
        }
        needs(&value, &process_settings, &mut found.faults);
    }
    if found.faults.is_empty()
        && let Err(error) = ProcessSettings::parse(path, text)
    {
        found.faults.push(fault("", error.to_string()));
    }
    // A fault that tells of the name already needs no note.
    let told = |note: &Fault| {
        let name = format!("{:?}", note.field.rsplit('.').next().unwrap_or_default());
        found.faults.iter().any(|fault| fault.what.contains(&name))
    };
    found.notes.retain(|note| !told(note));
    found
}

/// What the roles need that others do not.
fn needs(value: &Value, process_settings: &ProcessSettings, faults: &mut Vec<Fault>) {
    let serves = value.get("serves").and_then(Value::as_array);
    let serves = |what: &str| serves.is_some_and(|it| it.iter().any(|it| it == what));
    let listen = &process_settings.listen_addresses;
    let wanted = [
        ("front_proxy", "front-http", listen.front_http.is_none()),
        ("front_proxy", "readiness", listen.readiness.is_none()),
        ("control", "control", listen.control.is_none()),
    ];
    for (served, name, missing) in wanted {
        if missing && serves(served) {
            let what = format!("is missing, and a process that serves {served} needs it");
            faults.push(fault(format!("listen-addresses.{name}"), what));
        }
    }
    if process_settings.seed_nodes.is_empty() {
        let what = "is empty: nobody would be found; name the control address of a hive";
        faults.push(fault("seed-nodes", what));
    }
}

fn flatten(path: &str, errors: &ValidationErrors, faults: &mut Vec<Fault>) {
    let mut fields: Vec<_> = errors.errors().iter().collect();
    fields.sort_by(|a, b| a.0.cmp(b.0));
    for (name, kind) in fields {
        let dot = if path.is_empty() { "" } else { "." };
        let path = format!("{path}{dot}{}", name.replace('_', "-"));
        match kind {
            ValidationErrorsKind::Struct(inner) => flatten(&path, inner, faults),
            ValidationErrorsKind::List(inner) => {
                for (at, inner) in inner {
                    flatten(&format!("{path}[{at}]"), inner, faults);
                }
            }
            ValidationErrorsKind::Field(errors) => {
                for error in errors {
                    let what = match &error.message {
                        Some(message) => message.to_string(),
                        None => bounds(error),
                    };
                    faults.push(fault(&path, what));
                }
            }
        }
    }
}

/// In words, what `range` asks for.
fn bounds(error: &validator::ValidationError) -> String {
    let param = |name: &str| error.params.get(name).map(ToString::to_string);
    let asked = [
        ("exclusive_min", "above"),
        ("min", "at least"),
        ("max", "at most"),
    ];
    let asked: Vec<String> = asked
        .iter()
        .filter_map(|(name, word)| param(name).map(|it| format!("{word} {it}")))
        .collect();
    let value = param("value").map_or_else(String::new, |it| format!("{it} is "));
    format!("{value}out of bounds: has to be {}", asked.join(" and "))
}
