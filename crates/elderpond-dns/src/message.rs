//! Queries, and which answers are believed.

use hickory_proto::op::{Edns, Message, MessageType, OpCode, Query, ResponseCode};
use hickory_proto::rr::{DNSClass, Name, RData, Record, RecordType};

/// Bytes of an answer over UDP that we say we take: no fragments on any usual path (RFC 6891, 6.2.5).
pub const UDP_BYTES: u16 = 1232;

/// What is asked.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Question {
    /// The name, in lower case.
    pub name: Name,
    /// The type of records.
    pub kind: RecordType,
}

impl Question {
    /// A question; names are asked in lower case.
    pub fn new(name: &Name, kind: RecordType) -> Self {
        let mut name = name.to_lowercase();
        name.set_fqdn(true);
        Self { name, kind }
    }
}

/// Why an answer is not believed: it is dropped, and the true one is waited for (RFC 5452, 4).
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Dropped {
    /// It cannot be read.
    #[error("not a message")]
    NotAMessage,
    /// It answers nothing.
    #[error("not an answer")]
    NotAnAnswer,
    /// It is for another query.
    #[error("wrong id")]
    WrongId,
    /// It echoes another question, or another class.
    #[error("wrong question")]
    WrongQuestion,
}

/// An answer that is believed.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// Whether it was cut off to fit (TC).
    pub truncated: bool,
    /// How the server ended it.
    pub code: ResponseCode,
    /// Whether it is the authority's own, or of a server that asks on: else, without records, the
    /// server is lame for the name.
    pub served: bool,
    /// Records of the answer.
    pub answers: Vec<Record>,
    /// The SOA of its authority section, if any: how long a denial holds.
    pub soa_ms: Option<f64>,
    /// Addresses of its additional section.
    pub additionals: Vec<Record>,
}

/// Writes a query.
///
/// # Errors
/// A name that cannot be written.
pub fn query(
    id: u16,
    question: &Question,
    edns: bool,
) -> Result<Vec<u8>, hickory_proto::ProtoError> {
    let mut message = Message::query();
    message.metadata.id = id;
    message.metadata.op_code = OpCode::Query;
    message.metadata.recursion_desired = true;
    message.add_query(Query::query(question.name.clone(), question.kind));
    if edns {
        let mut edns = Edns::new();
        edns.set_max_payload(UDP_BYTES);
        message.set_edns(edns);
    }
    message.to_vec()
}

/// Reads an answer to a query. Records of another class are left out.
///
/// # Errors
/// Why it is dropped.
pub fn read(bytes: &[u8], id: u16, question: &Question) -> Result<Reply, Dropped> {
    let message = Message::from_vec(bytes).map_err(|_| Dropped::NotAMessage)?;
    let head = &message.metadata;
    if head.message_type != MessageType::Response || head.op_code != OpCode::Query {
        return Err(Dropped::NotAnAnswer);
    }
    if head.id != id {
        return Err(Dropped::WrongId);
    }
    let echoes = |query: &Query| {
        query.name().to_lowercase() == question.name
            && query.query_type() == question.kind
            && query.query_class() == DNSClass::IN
    };
    let [echoed] = &message.queries[..] else {
        // A server that cannot read queries may leave the question out of its refusal.
        let bare = message.queries.is_empty() && head.response_code == ResponseCode::FormErr;
        return match bare {
            true => Ok(refusal(head.response_code)),
            false => Err(Dropped::WrongQuestion),
        };
    };
    if !echoes(echoed) {
        return Err(Dropped::WrongQuestion);
    }
    let soa = message
        .authorities
        .iter()
        .find_map(|record| match &record.data {
            // RFC 2308, 5: the lesser of the record's lifetime and its minimum.
            RData::SOA(soa) => Some(f64::from(soa.minimum.min(record.ttl)) * 1000.0),
            _ => None,
        });
    let ours = |record: &Record| record.dns_class == DNSClass::IN;
    Ok(Reply {
        truncated: head.truncation,
        code: head.response_code,
        served: head.authoritative || head.recursion_available,
        answers: message
            .answers
            .iter()
            .filter(|record| ours(record))
            .cloned()
            .collect(),
        soa_ms: soa,
        additionals: message
            .additionals
            .iter()
            .filter(|record| ours(record))
            .cloned()
            .collect(),
    })
}

fn refusal(code: ResponseCode) -> Reply {
    Reply {
        truncated: false,
        code,
        served: true,
        answers: Vec::new(),
        soa_ms: None,
        additionals: Vec::new(),
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    fn question() -> Question {
        let name = Name::from_ascii("_lab._tcp.Example.org.").unwrap();
        Question::new(&name, RecordType::SRV)
    }

    fn answered(change: impl FnOnce(&mut Message)) -> Result<Reply, Dropped> {
        let asked = query(7, &question(), true).unwrap();
        let mut message = Message::from_vec(&asked).unwrap().into_response();
        change(&mut message);
        read(&message.to_vec().unwrap(), 7, &question())
    }

    #[test]
    fn only_the_answer_to_the_question_is_believed() {
        assert!(answered(|_| {}).is_ok());
        assert_eq!(
            answered(|message| message.metadata.id = 8),
            Err(Dropped::WrongId)
        );
        let other = Name::from_ascii("other.example.org.").unwrap();
        assert_eq!(
            answered(|message| {
                message.queries[0].set_name(other);
            }),
            Err(Dropped::WrongQuestion)
        );
        assert_eq!(
            answered(|message| {
                message.queries[0].set_query_type(RecordType::A);
            }),
            Err(Dropped::WrongQuestion)
        );
        assert_eq!(
            answered(|message| {
                message.queries[0].set_query_class(DNSClass::CH);
            }),
            Err(Dropped::WrongQuestion)
        );
        assert_eq!(
            answered(|message| message.queries.clear()),
            Err(Dropped::WrongQuestion)
        );
        let asked = query(7, &question(), false).unwrap();
        assert_eq!(read(&asked, 7, &question()), Err(Dropped::NotAnAnswer));
    }

    proptest! {
        #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

        #[test]
        fn no_bytes_upset_it(bytes in proptest::collection::vec(any::<u8>(), 0..600)) {
            let _ = read(&bytes, 7, &question());
        }

        /// An answer with any byte changed is read or dropped, and never believed for another question.
        #[test]
        fn a_spoilt_answer_is_read_or_dropped(place in 0usize..60, byte in any::<u8>()) {
            let asked = query(7, &question(), true).unwrap();
            let message = Message::from_vec(&asked).unwrap().into_response();
            let mut bytes = message.to_vec().unwrap();
            let place = place % bytes.len();
            bytes[place] = byte;
            if let Ok(reply) = read(&bytes, 7, &question()) {
                prop_assert!(reply.answers.is_empty());
            }
        }
    }
}
