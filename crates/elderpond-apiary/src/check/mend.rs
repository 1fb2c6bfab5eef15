//! Reading a document to its end whatever is wrong with it: each fault is noted, and what is sound is put
//! in its place, from a template, until nothing is wrong any more.

use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_path_to_error::Segment;

use super::{Fault, fault, meant, nearest};

/// Faults that are looked for at most.
const MOST: usize = 100;

/// A step from the whole document to a field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Into a table.
    Key(String),
    /// Into a list.
    At(usize),
}

/// The path, in the form that faults are told in.
pub fn written(path: &[Step]) -> String {
    let mut text = String::new();
    for step in path {
        match step {
            Step::Key(key) if text.is_empty() => text.push_str(key),
            Step::Key(key) => text.extend([".", key]),
            Step::At(at) => text.push_str(&format!("[{at}]")),
        }
    }
    text
}

/// The steps of a path that was written so.
pub fn steps(text: &str) -> Vec<Step> {
    let mut all = Vec::new();
    for part in text.split('.') {
        let mut pieces = part.split('[');
        let key = pieces.next().filter(|key| !key.is_empty());
        all.extend(key.map(|key| Step::Key(key.to_owned())));
        let at = pieces.filter_map(|piece| piece.trim_end_matches(']').parse().ok());
        all.extend(at.map(Step::At));
    }
    all
}

/// What stands there.
pub fn place<'a>(value: &'a mut Value, path: &[Step]) -> Option<&'a mut Value> {
    path.iter().try_fold(value, |value, step| match step {
        Step::Key(key) => value.get_mut(key),
        Step::At(at) => value.get_mut(at),
    })
}

/// What the template has there; a template's first item stands for all, and `*` for any name.
fn sample<'a>(template: &'a Value, path: &[Step]) -> Option<&'a Value> {
    path.iter().try_fold(template, |value, step| match step {
        Step::Key(key) => value.get(key).or_else(|| value.get("*")),
        Step::At(at) => value.get(at).or_else(|| value.get(0)),
    })
}

/// Puts what the template has into the place; whether it could.
pub fn mend(value: &mut Value, template: &Value, path: &[Step]) -> bool {
    let Some(sound) = sample(template, path) else {
        return false;
    };
    if let Some(spot) = place(value, path) {
        *spot = sound.clone();
        return true;
    }
    let Some((Step::Key(key), parent)) = path.split_last() else {
        return false;
    };
    match place(value, parent) {
        Some(Value::Object(table)) => table.insert(key.clone(), sound.clone()).is_none(),
        _ => false,
    }
}

/// Reads the document; faults are added, and what is read then is mended at each.
pub fn read<T: DeserializeOwned>(
    value: &mut Value,
    template: &Value,
    faults: &mut Vec<Fault>,
) -> Option<T> {
    for _ in 0..MOST {
        let error = match serde_path_to_error::deserialize(&*value) {
            Ok(read) => return Some(read),
            Err(error) => error,
        };
        let mut path: Vec<Step> = (error.path().iter())
            .filter_map(|segment| match segment {
                Segment::Seq { index } => Some(Step::At(*index)),
                Segment::Map { key } => Some(Step::Key(key.clone())),
                _ => None,
            })
            .collect();
        let said = error.inner().to_string();
        let missing = said
            .strip_prefix("missing field `")
            .and_then(|it| it.strip_suffix('`'));
        let what = match missing {
            Some(name) => {
                let known = sample(template, &path).and_then(Value::as_object);
                let here = place(value, &path).and_then(|it| it.as_object());
                let strange = here
                    .into_iter()
                    .flat_map(|it| it.keys())
                    .map(String::as_str);
                let strange = strange.filter(|key| known.is_none_or(|it| !it.contains_key(*key)));
                let hint = nearest(name, strange).map(|it| format!("; is {it:?} meant to be it?"));
                path.push(Step::Key(name.to_owned()));
                format!("is missing{}", hint.unwrap_or_default())
            }
            None => said,
        };
        faults.push(fault(written(&path), what));
        if !mend(value, template, &path) {
            return None;
        }
    }
    None
}

/// Names that are not known but close to one that is and is not given.
pub fn misspelt(value: &Value, template: &Value, path: &mut Vec<Step>, notes: &mut Vec<Fault>) {
    let (Value::Object(table), Value::Object(known)) = (value, template) else {
        return;
    };
    for (key, inner) in table {
        path.push(Step::Key(key.clone()));
        match known.get(key) {
            Some(sample) => misspelt(inner, sample, path, notes),
            None => {
                let free = known.keys().filter(|name| !table.contains_key(*name));
                let hint = meant(key, free.map(String::as_str));
                if !hint.is_empty() && !known.contains_key("*") {
                    notes.push(fault(
                        written(path),
                        format!("is not known and ignored{hint}"),
                    ));
                }
            }
        }
        path.pop();
    }
}
