//! Replies: actions into records and a frame.

use bytes::BufMut;
use elderpond::interface::{Action, Retry, Scope};

/// The table number that stands for all joined proxies.
const ALL_TABLES: u16 = u16::MAX;

/// One reply under construction.
pub struct Reply {
    bytes: Vec<u8>,
    records: u32,
}

impl Reply {
    /// A reply without records.
    pub fn new() -> Self {
        Self {
            bytes: vec![0; 8],
            records: 0,
        }
    }

    /// Selects the instance of the records that follow.
    pub fn instance(&mut self, instance: u32) {
        self.record(78, |out| out.put_u32(instance));
    }

    /// Says that the decision code failed.
    pub fn exception(&mut self, text: &str) {
        self.record(69, |out| put_text(out, text));
    }

    /// Appends one action.
    pub fn action(&mut self, action: &Action) {
        match action {
            Action::Timer { after_ms, token } => self.record(65, |out| {
                out.put_f64(*after_ms);
                out.put_u64(*token);
            }),
            Action::Probe { worker } => self.record(66, |out| out.put_u32(*worker)),
            Action::Log { text } => self.record(68, |out| put_text(out, text)),
            Action::Observe => self.record(70, |out| out.put_u8(1)),
            Action::QueryList => self.record(71, |_| ()),
            Action::SetWeight {
                table,
                worker,
                weight,
            } => self.record(72, |out| {
                out.put_u16(*table);
                out.put_u32(*worker);
                out.put_f32(*weight as f32);
            }),
            Action::Clear { table } => self.record(73, |out| out.put_u16(*table)),
            Action::HoldBack { worker, out: held } => self.record(74, |out| {
                out.put_u32(*worker);
                out.put_u8(u8::from(*held));
            }),
            Action::Bind {
                classes,
                table,
                proxy,
            } => self.record(75, |out| {
                out.put_u16(*classes);
                out.put_u16(*table);
                out.put_u16(*proxy);
            }),
            Action::Allow {
                scope,
                classes,
                quota,
                retry,
            } => self.record(76, |out| {
                out.put_u16(match scope {
                    Scope::Table(table) => *table,
                    Scope::All => ALL_TABLES,
                });
                out.put_u16(*classes);
                out.put_f32(*quota as f32);
                out.put_u8(match retry {
                    Retry::No => 0,
                    Retry::Proven => 1,
                    Retry::Once => 2,
                    Retry::Twice => 3,
                });
            }),
            Action::Mark { mark } => self.record(77, |out| {
                out.put_u64(*mark);
                out.put_u8(0);
            }),
        }
    }

    /// The finished frame.
    pub fn finish(mut self) -> Vec<u8> {
        let length = self.bytes.len() as u32;
        self.bytes[..4].copy_from_slice(&length.to_be_bytes());
        self.bytes[4..8].copy_from_slice(&self.records.to_be_bytes());
        self.bytes
    }

    fn record(&mut self, code: u8, fields: impl FnOnce(&mut Vec<u8>)) {
        self.bytes.put_u8(code);
        let at = self.bytes.len();
        self.bytes.put_u32(0);
        fields(&mut self.bytes);
        let length = (self.bytes.len() - at - 4) as u32;
        self.bytes[at..at + 4].copy_from_slice(&length.to_be_bytes());
        self.records += 1;
    }
}

/// Writes a text behind its length, cut where the length would no longer fit.
fn put_text(out: &mut Vec<u8>, text: &str) {
    let text = &text.as_bytes()[..text.len().min(usize::from(u16::MAX))];
    out.put_u16(text.len() as u16);
    out.put_slice(text);
}

#[cfg(test)]
mod tests {
    use super::*;

    fn assert_record(action: Action, expected: &str) {
        let mut reply = Reply::new();
        reply.action(&action);
        let bytes = reply.finish();
        let text: String = bytes[8..]
            .iter()
            .map(|byte| format!("{byte:02x}"))
            .collect();
        assert_eq!(text, expected.replace(' ', ""), "{action:?}");
    }

    #[test]
    fn an_empty_reply_is_its_header() {
        assert_eq!(Reply::new().finish(), [0, 0, 0, 8, 0, 0, 0, 0]);
    }

    #[test]
    fn encodes_the_worked_examples() {
        let worker = 0x2c90_11f2;
        assert_record(Action::Clear { table: 117 }, "49 00000002 0075");
        assert_record(Action::Probe { worker }, "42 00000004 2c9011f2");
        let allow = Action::Allow {
            scope: Scope::Table(117),
            classes: 2,
            quota: 0.75,
            retry: Retry::Proven,
        };
        assert_record(allow, "4c 00000009 0075 0002 3f400000 01");
        let allow = Action::Allow {
            scope: Scope::All,
            classes: 0,
            quota: 1.0,
            retry: Retry::Twice,
        };
        assert_record(allow, "4c 00000009 ffff 0000 3f800000 03");
        let timer = Action::Timer {
            after_ms: 500.0,
            token: 0x4d,
        };
        assert_record(timer, "41 00000010 407f400000000000 000000000000004d");
        let log = Action::Log {
            text: "two servers known".into(),
        };
        assert_record(log, "44 00000013 0011 74776f2073657276657273206b6e6f776e");
        let bind = Action::Bind {
            classes: 0,
            table: 117,
            proxy: 41,
        };
        assert_record(bind, "4b 00000006 0000 0075 0029");
        assert_record(Action::QueryList, "47 00000000");
        assert_record(
            Action::HoldBack { worker, out: true },
            "4a 00000005 2c9011f2 01",
        );
        assert_record(Action::Mark { mark: 12 }, "4d 00000009 000000000000000c 00");
        let weight = Action::SetWeight {
            table: 117,
            worker,
            weight: 0.75,
        };
        assert_record(weight, "48 0000000a 0075 2c9011f2 3f400000");
        assert_record(Action::Observe, "46 00000001 01");
    }

    #[test]
    fn encodes_the_worked_reply() {
        let mut reply = Reply::new();
        reply.instance(3);
        reply.action(&Action::SetWeight {
            table: 117,
            worker: 0x2c90_11f2,
            weight: 0.75,
        });
        reply.action(&Action::Timer {
            after_ms: 500.0,
            token: 77,
        });
        reply.instance(5);
        reply.action(&Action::Log {
            text: "two servers known".into(),
        });
        let bytes = reply.finish();
        assert_eq!(bytes.len(), 0x56);
        assert_eq!(bytes[..8], [0, 0, 0, 0x56, 0, 0, 0, 5]);
    }

    #[test]
    fn an_exception_names_its_text() {
        let mut reply = Reply::new();
        reply.exception("index out of range");
        let bytes = reply.finish();
        assert_eq!(bytes[8..15], [0x45, 0, 0, 0, 0x14, 0, 0x12]);
    }
}
