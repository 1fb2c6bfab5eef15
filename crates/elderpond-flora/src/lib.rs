//! The operator's configuration: reading, checking, and the route of a request.
//!
//! Where everything that foragers visit grows. A configuration is read whole or not at all; what
//! is wrong with it is said with the path of the field.

mod check;
mod document;
mod routes;

pub use check::{Fault, read};
pub use document::{Cluster, Configuration, Limits, Listener, Rule, Split, Version};
pub use routes::{Kind, Route, Routes};
