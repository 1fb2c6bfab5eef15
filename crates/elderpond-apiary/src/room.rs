//! `room`: who holds what of a forager's memory and connections, and who was refused.

use std::fmt::Write as _;

use argh::{ArgsInfo, FromArgs};
use bytes::Bytes;
use hyper::Method;
use serde::Deserialize;

use crate::call::{call, good};
use crate::outcome::{Outcome, Told};

/// say who holds what of a forager's memory and connections
#[derive(ArgsInfo, FromArgs)]
#[argh(subcommand, name = "room")]
pub struct Room {
    /// its readiness address, as in 10.1.0.34:8542
    #[argh(option)]
    forager: String,
    /// print the forager's own words
    #[argh(switch)]
    json: bool,
}

#[derive(Deserialize)]
struct All {
    sizes: Vec<(String, u64)>,
    held: Vec<(String, u64)>,
    tenants: Vec<Stand>,
}

#[derive(Deserialize)]
struct Stand {
    tenant: String,
    room: Vec<Part>,
}

#[derive(Deserialize)]
struct Part {
    what: String,
    held: Vec<u64>,
    kept: u64,
    refused: Vec<u64>,
}

impl Room {
    /// Prints it.
    pub fn run(self) -> Told {
        let answer = call(&self.forager, Method::GET, "/room", Bytes::new())?;
        let body = good(answer, &self.forager)?;
        if self.json {
            println!("{}", String::from_utf8_lossy(&body));
            return Ok(Outcome::Done);
        }
        let read: All = serde_json::from_slice(&body).map_err(|error| {
            let told = "is a forager of this version there? --json prints its words";
            anyhow::anyhow!("forager {}, /room: {error}; {told}", self.forager)
        })?;
        print!("{}", read.told());
        Ok(Outcome::Done)
    }
}

impl All {
    fn told(&self) -> String {
        let mut text = String::new();
        for ((what, size), (_, held)) in self.sizes.iter().zip(&self.held) {
            let _ = writeln!(text, "{what:<8} {held} held of {size}");
        }
        let ranks = |by_rank: &[u64]| {
            let shown: Vec<String> = by_rank.iter().map(u64::to_string).collect();
            shown.join(" ")
        };
        let head = ["tenant", "of", "held by rank", "kept", "refused by rank"];
        let _ = write!(text, "\n{:<24} {:<8} ", head[0], head[1]);
        let _ = writeln!(text, "{:<20} {:<10} {}", head[2], head[3], head[4]);
        for stand in &self.tenants {
            for part in &stand.room {
                let (held, refused) = (ranks(&part.held), ranks(&part.refused));
                let _ = write!(text, "{:<24} {:<8} ", stand.tenant, part.what);
                let _ = writeln!(text, "{held:<20} {:<10} {refused}", part.kept);
            }
        }
        text
    }
}
