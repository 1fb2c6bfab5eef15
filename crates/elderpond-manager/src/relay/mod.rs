//! The relay: orders go to it call by call, and its news tells which proxies are joined.

pub mod news;
pub mod orders;
