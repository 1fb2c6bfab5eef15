//! A worker's beat, as it stands on the wire.

use std::net::SocketAddrV4;

use serde::Deserialize;

use crate::{Life, State};

/// Bytes of a beat at most.
pub const LARGEST: usize = 16 << 10;

/// Why a beat was not taken.
#[derive(Debug, thiserror::Error)]
pub enum BeatError {
    /// It is longer than any beat.
    #[error("a beat of {0} bytes; at most {LARGEST} are read")]
    Long(usize),
    /// It is no beat.
    #[error("no beat: {0}")]
    Malformed(#[from] serde_json::Error),
}

/// What a worker says of itself.
#[derive(Clone, Debug, Deserialize)]
pub struct Beat {
    address: SocketAddrV4,
    information: Information,
    status: Status,
}

#[derive(Clone, Debug, Deserialize)]
struct Information {
    service: String,
    #[serde(default)]
    zone: String,
    #[serde(default = "one")]
    slots: u16,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Status {
    state: Said,
    #[serde(default)]
    call_sequence: u64,
    #[serde(default)]
    cold_remaining_s: f64,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Said {
    Ready,
    Draining,
}

fn one() -> u16 {
    1
}

impl Beat {
    /// Reads a beat of the worker `id`.
    ///
    /// # Errors
    ///
    /// What is wrong with it.
    pub fn read(id: &str, body: &[u8]) -> Result<Life, BeatError> {
        if body.len() > LARGEST {
            return Err(BeatError::Long(body.len()));
        }
        let beat: Self = serde_json::from_slice(body)?;
        let cold = (beat.status.cold_remaining_s * 1000.0).clamp(0.0, 3_600_000.0);
        Ok(Life {
            id: id.to_owned(),
            service: beat.information.service,
            address: beat.address,
            zone: beat.information.zone,
            slots: beat.information.slots.max(1),
            state: match beat.status.state {
                Said::Ready => State::Ready,
                Said::Draining => State::Draining,
            },
            sequence: beat.status.call_sequence,
            silent_ms: 0,
            cold_ms: cold as u32,
        })
    }
}
