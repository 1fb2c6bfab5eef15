//! elderpond decides where proxies send work.
//!
//! The library holds no socket, clock or thread. A host feeds [`balance::Manager`] the events it
//! has received and carries out the actions it gets back; both are defined in [`interface`].

pub mod balance;
pub mod interface;
mod state;

pub use balance::Manager;
