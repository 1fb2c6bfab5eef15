//! A small resolver of service records (RFC 2782), as a source of workers.
//!
//! The parts that decide are pure: messages and what of them counts, what is kept and for how long,
//! which server is asked and when, and the walk from a service name to addresses. A thin tokio part
//! carries queries over UDP and TCP ([`transport`]) and repeats the walk ([`watch`]).
//!
//! | file | its one concern | after |
//! | --- | --- | --- |
//! | `message` | queries, and which answers are believed | RFC 1035, 5452, 6891 |
//! | `found` | what an answer says: a chain of aliases and its end, or that there is none | RFC 1034, 2308 |
//! | `cache` | record sets and their lifetimes, also past their end within a bound | RFC 2308, 8767 |
//! | `servers` | rotation, back-off, who is asked when an answer has shrunk | |
//! | `walk` | service records, then addresses; bounded | RFC 2782 |
//! | `ask` | one question: UDP, TCP if truncated, a hedge to another server | RFC 7766 |

pub mod ask;
pub mod cache;
pub mod found;
pub mod message;
pub mod servers;
pub mod transport;
pub mod walk;
pub mod watch;

pub use watch::{Settings, Watch};
