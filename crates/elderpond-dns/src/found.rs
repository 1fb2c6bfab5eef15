//! What an answer says: a chain of aliases and the records at its end, or that there are none.

use hickory_proto::op::ResponseCode;
use hickory_proto::rr::{Name, RData, Record};

use crate::message::{Question, Reply};

/// Aliases followed at the most; more are a loop, or as good as one.
pub const ALIASES: usize = 8;

/// What a believed answer comes to.
#[derive(Clone, Debug, PartialEq)]
pub enum Found {
    /// Records of the type asked for, and the least lifetime along the chain, in milliseconds.
    Records(Vec<RData>, f64),
    /// The chain ends at a name that the answer has no records for: it is to be asked for.
    Alias(Name, f64),
    /// There are none of the type (NODATA) or no such name (NXDOMAIN), for so long.
    Nothing {
        /// Whether the name does not exist.
        no_name: bool,
        /// How long the denial holds, in milliseconds.
        lifetime_ms: f64,
    },
}

/// Why a question has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Failure {
    /// Nothing came in time, on any way.
    #[error("no answer")]
    Silent,
    /// The server failed (SERVFAIL).
    #[error("server failure")]
    Server,
    /// The server will not answer us (REFUSED).
    #[error("refused")]
    Refused,
    /// The server could not read the query (FORMERR, NOTIMP).
    #[error("query not understood")]
    Unread,
    /// The server answers for others than the authority and asks nobody.
    #[error("lame")]
    Lame,
    /// Aliases that do not end.
    #[error("alias loop")]
    Loop,
    /// Another code.
    #[error("code {0}")]
    Other(u16),
}

/// Reads a believed answer. A denial without SOA holds for `least_ms`.
///
/// # Errors
/// Why it is no answer; each has its consequence for the server (`servers`).
pub fn found(reply: &Reply, question: &Question, least_ms: f64) -> Result<Found, Failure> {
    let no_name = match reply.code {
        ResponseCode::NoError => false,
        ResponseCode::NXDomain => true,
        ResponseCode::ServFail => return Err(Failure::Server),
        ResponseCode::Refused => return Err(Failure::Refused),
        ResponseCode::FormErr | ResponseCode::NotImp => return Err(Failure::Unread),
        code => return Err(Failure::Other(code.into())),
    };
    let (mut name, mut lifetime_ms) = (question.name.clone(), f64::INFINITY);
    for _ in 0..=ALIASES {
        let own = reply
            .answers
            .iter()
            .filter(|record| record.name.to_lowercase() == name);
        let own: Vec<&Record> = own.collect();
        let records = own
            .iter()
            .filter(|record| record.record_type() == question.kind);
        let records: Vec<&&Record> = records.collect();
        if !records.is_empty() {
            let least = records.iter().map(|record| f64::from(record.ttl) * 1000.0);
            let lifetime_ms = least.fold(lifetime_ms, f64::min);
            let data = records.iter().map(|record| record.data.clone());
            return Ok(Found::Records(data.collect(), lifetime_ms));
        }
        let alias = own.iter().find_map(|record| match &record.data {
            RData::CNAME(alias) => Some((alias.0.to_lowercase(), f64::from(record.ttl) * 1000.0)),
            _ => None,
        });
        let Some((next, ttl_ms)) = alias else {
            return ends(reply, question, (name, lifetime_ms), (no_name, least_ms));
        };
        lifetime_ms = lifetime_ms.min(ttl_ms);
        name = next;
    }
    Err(Failure::Loop)
}

fn ends(
    reply: &Reply,
    question: &Question,
    (name, lifetime_ms): (Name, f64),
    (no_name, least_ms): (bool, f64),
) -> Result<Found, Failure> {
    if name != question.name && !no_name && reply.soa_ms.is_none() {
        return Ok(Found::Alias(name, lifetime_ms));
    }
    if !no_name && reply.soa_ms.is_none() && !reply.served {
        return Err(Failure::Lame);
    }
    let lifetime_ms = reply.soa_ms.unwrap_or(least_ms).min(lifetime_ms);
    Ok(Found::Nothing {
        no_name,
        lifetime_ms,
    })
}

#[cfg(test)]
mod tests {
    use hickory_proto::rr::RecordType;
    use hickory_proto::rr::rdata::{A, CNAME};

    use super::*;

    fn name(text: &str) -> Name {
        Name::from_ascii(text).unwrap()
    }

    fn alias(from: &str, to: &str, ttl: u32) -> Record {
        Record::from_rdata(name(from), ttl, RData::CNAME(CNAME(name(to))))
    }

    fn address(of: &str, last: u8, ttl: u32) -> Record {
        Record::from_rdata(name(of), ttl, RData::A(A::new(10, 0, 0, last)))
    }

    fn says(
        code: ResponseCode,
        answers: Vec<Record>,
        soa_ms: Option<f64>,
    ) -> Result<Found, Failure> {
        let (truncated, served, additionals) = (false, soa_ms.is_some(), Vec::new());
        let reply = Reply {
            truncated,
            code,
            served,
            answers,
            soa_ms,
            additionals,
        };
        found(
            &reply,
            &Question::new(&name("A.example.org."), RecordType::A),
            1000.0,
        )
    }

    #[test]
    fn a_chain_of_aliases_lives_as_long_as_its_shortest_link() {
        let chain = vec![
            alias("a.example.org.", "b.example.org.", 30),
            alias("b.example.org.", "C.example.org.", 5),
            address("c.example.org.", 1, 60),
            address("other.example.org.", 9, 1),
        ];
        let data = vec![RData::A(A::new(10, 0, 0, 1))];
        assert_eq!(
            says(ResponseCode::NoError, chain, None),
            Ok(Found::Records(data, 5000.0))
        );
        let open = vec![alias("a.example.org.", "b.example.org.", 30)];
        let next = Found::Alias(name("b.example.org."), 30_000.0);
        assert_eq!(says(ResponseCode::NoError, open, None), Ok(next));
    }

    #[test]
    fn aliases_that_do_not_end_are_a_loop() {
        let ring = vec![
            alias("a.example.org.", "b.example.org.", 30),
            alias("b.example.org.", "a.example.org.", 30),
        ];
        assert_eq!(says(ResponseCode::NoError, ring, None), Err(Failure::Loop));
    }

    #[test]
    fn denials_hold_as_long_as_their_soa_says() {
        let nothing = |no_name, lifetime_ms| {
            Ok(Found::Nothing {
                no_name,
                lifetime_ms,
            })
        };
        assert_eq!(
            says(ResponseCode::NXDomain, vec![], Some(9000.0)),
            nothing(true, 9000.0)
        );
        assert_eq!(
            says(ResponseCode::NoError, vec![], Some(9000.0)),
            nothing(false, 9000.0)
        );
        assert_eq!(
            says(ResponseCode::NXDomain, vec![], None),
            nothing(true, 1000.0)
        );
        assert_eq!(
            says(ResponseCode::NoError, vec![], None),
            Err(Failure::Lame)
        );
    }

    #[test]
    fn every_refusal_has_its_name() {
        for (code, failure) in [
            (ResponseCode::ServFail, Failure::Server),
            (ResponseCode::Refused, Failure::Refused),
            (ResponseCode::FormErr, Failure::Unread),
            (ResponseCode::NotImp, Failure::Unread),
            (ResponseCode::NotAuth, Failure::Other(9)),
        ] {
            assert_eq!(says(code, vec![], None), Err(failure));
        }
    }
}
