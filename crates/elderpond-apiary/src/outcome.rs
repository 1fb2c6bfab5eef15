//! How a verb ends, and the status that the program ends with.

use elderpond_process_settings::ProcessSettingsError;

/// It could not be done.
pub const FAILED: u8 = 1;
/// What the program was told is wrong.
pub const TOLD_WRONG: u8 = 2;
/// Two things that were compared differ.
pub const DIFFERS: u8 = 3;

/// How a verb ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// As it was told.
    Done,
    /// It compared, and there are differences.
    Differs,
}

/// What a verb ends with.
pub type Told = anyhow::Result<Outcome>;

/// What was told is wrong; the words name the file and the field.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub struct Wrong(pub String);

/// An error of that kind.
pub fn wrong(what: impl Into<String>) -> anyhow::Error {
    Wrong(what.into()).into()
}

/// The status for an error.
pub fn status(error: &anyhow::Error) -> u8 {
    if error.is::<ProcessSettingsError>() || error.is::<Wrong>() {
        TOLD_WRONG
    } else {
        FAILED
    }
}
