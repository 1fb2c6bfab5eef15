//! Who a worker is, whoever speaks of it.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use elderpond::interface::Condition;

/// What makes a worker the same one in two sources.
///
/// An address with its port, where one is known: two names for one address are one worker, and a name
/// whose address has moved is another one. Without an address, the name: host names are compared
/// without regard to case and to a dot at the end (RFC 1035, 2.3.3 and 3.1).
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Identity {
    /// Where it is.
    Address(SocketAddr),
    /// What it is called, in lower case, without a dot at the end.
    Name(Arc<str>),
}

impl Identity {
    /// The identity of a name.
    pub fn named(name: &str) -> Self {
        let name = name.strip_suffix('.').unwrap_or(name);
        Self::Name(name.to_ascii_lowercase().into())
    }

    /// The identity of what a source calls by name or address, as text: `runner7.example.org:8080`,
    /// `10.1.0.18:8080`.
    pub fn read(text: &str) -> Self {
        if let Ok(address) = text.parse() {
            return Self::Address(address);
        }
        match text.rsplit_once(':') {
            Some((host, port)) if port.parse::<u16>().is_ok() => {
                let host = host.strip_suffix('.').unwrap_or(host);
                Self::Name(format!("{}:{port}", host.to_ascii_lowercase()).into())
            }
            _ => Self::named(text),
        }
    }
}

impl fmt::Display for Identity {
    fn fmt(&self, text: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Address(address) => write!(text, "{address}"),
            Self::Name(name) => text.write_str(name),
        }
    }
}

/// A worker as a source lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// What the list calls it; names are kept as they came.
    pub name: Arc<str>,
    /// Where it is, if that is known.
    pub address: Option<SocketAddr>,
    /// Name of its zone; empty if it is not known.
    pub zone: Arc<str>,
    /// Listed weight; not above 0 if it is not known.
    pub weight: f64,
    /// When it last started, in milliseconds of the clock of all; 0 for long ago, none if it is not known.
    pub started: Option<f64>,
    /// What the source says of it.
    pub condition: Condition,
}

impl Member {
    /// Who it is.
    pub fn identity(&self) -> Identity {
        match self.address {
            Some(address) => Identity::Address(address),
            None => Identity::named(&self.name),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn names_differ_in_more_than_case_and_the_dot_at_the_end() {
        let same = [
            "runner7.example.org",
            "Runner7.Example.ORG.",
            "RUNNER7.example.org",
        ];
        for name in same {
            assert_eq!(Identity::named(name), Identity::named(same[0]), "{name}");
            assert_eq!(
                Identity::read(&format!("{name}:80")),
                Identity::read("runner7.example.org:80")
            );
        }
        assert_ne!(
            Identity::named("runner7"),
            Identity::named("runner7.example.org")
        );
        assert_ne!(Identity::read("a:80"), Identity::read("a:81"));
        let address = Identity::Address("10.1.0.18:8080".parse().unwrap());
        assert_eq!(Identity::read("10.1.0.18:8080"), address);
        assert_eq!(address.to_string(), "10.1.0.18:8080");
    }
}
