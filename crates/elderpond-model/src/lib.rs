//! A world for managers to fail in: clients, proxies, workers, network and platform in simulated time.
//!
//! Sans-IO: no socket, thread or wall clock. A host builds a [`World`] from a [`Scenario`] and a seed,
//! asks it for the next [`Step`], hands events to whatever plays the managers, and gives the actions
//! that come back to [`World::obey`]. The same scenario, seed and actions lead to the same world, to
//! the last bit.
//!
//! | file | its one concern |
//! | --- | --- |
//! | `scenario` | what is played, and how it is written in an INI file |
//! | `world` | the pieces put together: what happens next |
//! | `clients` | requests that come, wait, are tried again and end |
//! | `proxies` | picks, tries, connections: they obey their tables and judge nobody |
//! | `workers` | cores, queues, warmth, memory, what is wrong with them |
//! | `platform` | the order channel, the list, reports, streams, managers that die |
//! | `slices` | slices of the key space, their store, and who holds their writes |
//! | `troubles` | what goes wrong, when, and for whom |
//! | `rules`, `chronicle` | the five rules, watched, and what led to a breach |
//! | `score` | service and what it cost |
//! | `queue`, `slab`, `chance`, `time` | what the others stand on |

pub mod chance;
pub mod chronicle;
mod clients;
mod platform;
mod proxies;
pub mod queue;
pub mod rules;
pub mod scenario;
pub mod score;
pub mod slab;
mod slices;
mod tables;
pub mod time;
mod troubles;
pub mod workers;
mod world;

pub use scenario::Scenario;
pub use world::{Report, Step, Truth, World};
