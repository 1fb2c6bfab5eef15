//! What a configuration has to be before it may be in force.

use hashbrown::HashSet;
use validator::{Validate, ValidationErrors, ValidationErrorsKind};

use crate::document::{Configuration, Rule};

/// What is wrong with a configuration, with the field.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// It is no whole JSON document of this kind.
    #[error("the configuration can't be read whole: {0}")]
    Unreadable(String),
    /// A field's value is out of bounds.
    #[error("{field}: {what}")]
    Field {
        /// The path of the field.
        field: String,
        /// What is wrong with it.
        what: String,
    },
}

/// Reads and checks a configuration.
///
/// # Errors
///
/// The first fault found; nothing of the configuration may be used then.
pub fn read(body: &[u8]) -> Result<Configuration, Fault> {
    let read: Configuration =
        serde_json::from_slice(body).map_err(|error| Fault::Unreadable(error.to_string()))?;
    if let Err(errors) = read.validate() {
        let (field, what) = first("", &errors);
        return Err(Fault::Field { field, what });
    }
    let known: HashSet<&str> = read
        .cluster_list
        .iter()
        .map(|it| it.name.as_str())
        .collect();
    for (i, listener) in read.listener_list.iter().enumerate() {
        for (j, rule) in listener.rule_set.iter().enumerate() {
            check_rule(rule, &known).map_err(|(field, what)| Fault::Field {
                field: format!("listener-list[{i}].rule-set[{j}].{field}"),
                what,
            })?;
        }
    }
    drop(known);
    Ok(read)
}

fn check_rule(rule: &Rule, known: &HashSet<&str>) -> Result<(), (String, String)> {
    let fault = |field: &str, what: String| Err((field.to_owned(), what));
    if !matches!(rule.kind.as_str(), "safe" | "unsafe") {
        return fault(
            "kind",
            format!("{:?} is neither safe nor unsafe", rule.kind),
        );
    }
    let prefix = &rule.match_condition.path_prefix;
    if !prefix.starts_with('/') || !prefix.ends_with('/') {
        let what = format!("{prefix:?} does not begin and end with a slash");
        return fault("match-condition.path-prefix", what);
    }
    let act = &rule.route_action;
    let named = act
        .service
        .iter()
        .chain(act.weighted_split.iter().map(|part| &part.service));
    if let Some(strange) = named
        .into_iter()
        .find(|name| !known.contains(name.as_str()))
    {
        return fault(
            "route-action",
            format!("{strange:?} is no service of cluster-list"),
        );
    }
    let sum: f64 = act.weighted_split.iter().map(|part| part.weight).sum();
    match (&act.service, act.weighted_split.is_empty()) {
        (None, true) => fault(
            "route-action",
            "names neither service nor weighted-split".into(),
        ),
        (_, false) if sum <= 0.0 || !sum.is_finite() => fault(
            "route-action.weighted-split",
            "the weights add up to 0".into(),
        ),
        _ => Ok(()),
    }
}

/// The first fault, with its path in the operator's own names.
fn first(path: &str, errors: &ValidationErrors) -> (String, String) {
    let mut fields: Vec<_> = errors.errors().iter().collect();
    fields.sort_by(|a, b| a.0.cmp(b.0));
    let Some((name, kind)) = fields.first() else {
        return (path.to_owned(), "is not valid".to_owned());
    };
    let dot = if path.is_empty() { "" } else { "." };
    let path = format!("{path}{dot}{}", name.replace('_', "-"));
    match kind {
        ValidationErrorsKind::Struct(inner) => first(&path, inner),
        ValidationErrorsKind::List(inner) => match inner.first_key_value() {
            Some((at, inner)) => first(&format!("{path}[{at}]"), inner),
            None => (path, "is not valid".to_owned()),
        },
        ValidationErrorsKind::Field(faults) => {
            let limits = faults.first().map(|fault| {
                let mut limits: Vec<_> = (fault.params.iter())
                    .map(|(name, value)| format!("{name} {value}"))
                    .collect();
                limits.sort();
                format!("out of bounds: {}", limits.join(", "))
            });
            (path, limits.unwrap_or_else(|| "is not valid".to_owned()))
        }
    }
}
