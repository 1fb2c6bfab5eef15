//! INI files with typed values.
//!
//! `rust-ini` reads the syntax; this package adds what an operator needs to mend a file: each fault
//! names file, line, section and key and says what is allowed, keys that nobody asked for are faults
//! with the nearest known one suggested, and one pass finds all of them.
//!
//! A [`Document`] is read section by section. Values are asked for by key and type ([`Value`]); a
//! faulty one is noted and stands in for itself with the type's default, so that reading goes on.
//! Whoever has asked for everything calls [`Document::finish`].

mod document;
mod value;

pub use document::{Document, Fault, Faults, Section};
pub use value::{Range, Share, Span, Value};
