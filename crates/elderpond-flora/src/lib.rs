//! The operator's configuration: reading, checking, and the route of a request.
//!
//! A configuration is read whole or not at all; what is wrong with it is said with the path of the field. A
//! later version is told as the difference from an earlier one.

mod check;
mod difference;
mod digest;
mod document;
mod history;
mod routes;

pub use check::{Fault, read};
pub use difference::{Difference, DifferenceError, HostRule, RouteKey, VersionDigest};
pub use document::{Cluster, Configuration, Limits, Listener, Rule, Split, Version};
pub use history::History;
pub use routes::{Kind, Route, Routes};
