//! Calls from outside, decoded, and their answers.

use bytes::Bytes;
use elderpond_flora::Version;
use elderpond_registry::{Beat, Life};
use serde::Serialize;

use crate::ErrorKind;

/// Bytes of a configuration at most. Some 30,000 routes; one of 64,000 takes 16 MB, see docs/control.md.
pub const LARGEST: usize = 8 << 20;

/// What a caller wants.
#[derive(Clone, Debug)]
pub enum Command {
    /// A worker says that it is there.
    Beat(Box<Life>),
    /// A worker says that it has ended.
    Leave {
        /// As it names itself.
        id: String,
    },
    /// The operator brings a configuration; it was checked.
    Replace {
        /// Its version.
        version: Version,
        /// As it was sent.
        body: Bytes,
    },
    /// The operator asks for the newest configuration.
    Read,
    /// Where this hive stands.
    Status,
    /// Every worker that is known, with its weight and why.
    Workers,
    /// What happened here last.
    Journal,
}

impl Command {
    /// A worker's beat.
    ///
    /// # Errors
    ///
    /// The answer, where it is none.
    pub fn beat(id: &str, body: &[u8]) -> Result<Self, Answer> {
        match Beat::read(id, body) {
            Ok(life) => Ok(Self::Beat(Box::new(life))),
            Err(error) => Err(Answer::error(ErrorKind::Malformed, &error.to_string())),
        }
    }

    /// A configuration.
    ///
    /// # Errors
    ///
    /// The answer, where it may not be in force.
    pub fn replace(body: Bytes) -> Result<Self, Answer> {
        if body.len() > LARGEST {
            let what = format!("{} bytes; at most {LARGEST} are read", body.len());
            return Err(Answer::error(ErrorKind::TooLarge, &what));
        }
        match elderpond_flora::read(&body) {
            Ok(read) => Ok(Self::Replace {
                version: read.version_number,
                body,
            }),
            Err(fault @ elderpond_flora::Fault::Unreadable(_)) => {
                Err(Answer::error(ErrorKind::Malformed, &fault.to_string()))
            }
            Err(fault) => Err(Answer::error(ErrorKind::Invalid, &fault.to_string())),
        }
    }
}

/// What a caller is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// What is wrong, if anything.
    pub error: Option<ErrorKind>,
    /// JSON.
    pub body: Bytes,
}

#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct Wrong<'a> {
    error_message: &'a str,
}

impl Answer {
    /// Done, and nothing to say.
    pub fn done() -> Self {
        Self::body(Bytes::from_static(b"{}"))
    }

    /// Done; this is the answer.
    pub fn body(body: Bytes) -> Self {
        Self { error: None, body }
    }

    /// Done; this is the answer.
    pub fn json<T: Serialize>(value: &T) -> Self {
        Self::body(serde_json::to_vec(value).unwrap_or_default().into())
    }

    /// Not done, and why.
    pub fn error(kind: ErrorKind, what: &str) -> Self {
        let body = serde_json::to_vec(&Wrong {
            error_message: what,
        });
        Self {
            error: Some(kind),
            body: body.unwrap_or_default().into(),
        }
    }

    /// The status.
    pub fn status(&self) -> u16 {
        self.error.map_or(200, ErrorKind::status)
    }
}
