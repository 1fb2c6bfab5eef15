//! Batches: frames and records into events.

use std::io::{self, Read};

use bytes::Buf;
use elderpond::interface::{
    Condition, Entry, Event, Heard, Joined, ListKind, ProbeOutcome, Probed, Settings, Stored,
};
use elderpond_settings::SettingsError;

/// Length of a batch header: frame length and clock.
pub const HEADER: usize = 12;

/// Input that is not a batch, and where in the input it stands.
#[derive(Debug, thiserror::Error)]
#[error("malformed input at byte {offset}: {fault}")]
pub struct FrameError {
    offset: u64,
    fault: Malformed,
}

/// What is wrong with a frame or record.
#[derive(Debug, thiserror::Error)]
pub enum Malformed {
    #[error("the input ends within a frame")]
    Truncated,
    #[error("a frame of {0} bytes is shorter than its header")]
    ShortFrame(u32),
    #[error("the clock is not a finite number")]
    Clock,
    #[error("a record is cut off by the end of its frame")]
    RecordOverrun,
    #[error("a record of code {code} has {have} bytes of fields too many")]
    Overlong { code: u8, have: usize },
    #[error("a record of code {0} is too short for its fields")]
    Short(u8),
    #[error("unknown event code {0}")]
    Code(u8),
    #[error("{what} has no value {value}")]
    Enum { what: &'static str, value: u8 },
    #[error("list number {0} is above 15 or was never sent")]
    List(u8),
    #[error("an event for an instance comes before any FOR")]
    NoInstance,
    #[error("an event comes for instance {0}, which was not created")]
    Unknown(u32),
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
}

impl Malformed {
    /// Names the place of the fault.
    pub fn at(self, offset: u64) -> FrameError {
        FrameError {
            offset,
            fault: self,
        }
    }
}

/// Reads one whole frame; nothing if the input ends between frames.
pub fn read_frame(input: &mut impl Read, offset: u64) -> Result<Option<Vec<u8>>, crate::Fault> {
    let mut frame = Vec::new();
    take(input, 4, &mut frame)?;
    if frame.is_empty() {
        return Ok(None);
    }
    if frame.len() < 4 {
        return Err(Malformed::Truncated.at(offset).into());
    }
    let length = frame.as_slice().get_u32();
    if (length as usize) < HEADER {
        return Err(Malformed::ShortFrame(length).at(offset).into());
    }
    take(input, u64::from(length) - 4, &mut frame)?;
    if frame.len() < length as usize {
        return Err(Malformed::Truncated.at(offset + frame.len() as u64).into());
    }
    Ok(Some(frame))
}

/// Reads up to `count` bytes; grows with what comes, not with what was promised.
fn take(input: &mut impl Read, count: u64, frame: &mut Vec<u8>) -> io::Result<()> {
    input.take(count).read_to_end(frame).map(drop)
}

/// One record of a batch.
#[derive(Debug, PartialEq)]
pub enum Record {
    /// Selects the instance of the records that follow.
    For(u32),
    /// An instance starts.
    Create { seed: u64, settings: Box<Settings> },
    /// An instance is killed.
    Exit,
    /// A numbered list.
    Directory { number: u8, entries: Vec<Entry> },
    /// News of the list, by its number.
    Members { number: u8, kind: ListKind },
    /// Anything that goes to the instance as it is.
    Event(Event),
}

/// Takes the next record off a frame's remaining bytes.
pub fn record(rest: &mut &[u8]) -> Result<Record, Malformed> {
    let code = rest.try_get_u8().map_err(|_| Malformed::RecordOverrun)?;
    let length = rest.try_get_u32().map_err(|_| Malformed::RecordOverrun)? as usize;
    if length > rest.len() {
        return Err(Malformed::RecordOverrun);
    }
    let (fields, after) = rest.split_at(length);
    *rest = after;
    let mut fields = Fields { code, rest: fields };
    let record = fields.record()?;
    match fields.rest.len() {
        0 => Ok(record),
        have => Err(Malformed::Overlong { code, have }),
    }
}

/// The fields of one record that are not read yet.
struct Fields<'a> {
    code: u8,
    rest: &'a [u8],
}

impl<'a> Fields<'a> {
    fn record(&mut self) -> Result<Record, Malformed> {
        let event = match self.code {
            1 => {
                let seed = self.u64()?;
                let length = self.u32()? as usize;
                let settings = Box::new(elderpond_settings::parse(self.bytes(length)?)?);
                return Ok(Record::Create { seed, settings });
            }
            2 => {
                let number = self.u8()?;
                let kind = self.choice("kind of list", &LIST_KINDS)?;
                self.u64()?;
                return Ok(Record::Members { number, kind });
            }
            3 => Event::Timer { token: self.u64()? },
            4 => Event::Probed(Probed {
                worker: self.u32()?,
                outcome: self.choice("verdict", &VERDICTS)?,
                took_ms: self.f64()?,
                load: self.load()?,
            }),
            5 => {
                self.u16()?;
                let length = usize::from(self.u16()?);
                self.bytes(length)?;
                Event::Peer
            }
            6 => return Ok(Record::Exit),
            7 => {
                let (proxy, zone) = (self.u16()?, self.u16()?);
                let rate = f64::from(self.f32()?);
                Event::Joined(Joined {
                    proxy,
                    zone,
                    rate,
                    fresh: self.flag()?,
                })
            }
            8 => Event::Left { proxy: self.u16()? },
            9 => {
                let (mark, proxy) = (self.u64()?, self.u16()?);
                self.f64()?;
                Event::Applied { mark, proxy }
            }
            10 => {
                let (zone, tries, covers_ms) = (self.u16()?, self.u32()?, self.f64()?);
                Event::Heard(Heard {
                    zone,
                    tries,
                    covers_ms,
                    worker: self.u32()?,
                    failed: self.u32()?,
                    took_ms: self.f64()?,
                    load: self.load()?,
                })
            }
            11 => Event::Demand {
                source: self.u16()?,
                class: usize::from(self.u8()?),
                came: self.u32()?,
                unanswered: self.u32()?,
                covers_ms: self.f64()?,
            },
            12 => {
                let (came, unanswered) = (self.u32()?, self.u32()?);
                Event::Demand {
                    source: self.u16()?,
                    class: usize::from(self.u8()?),
                    came,
                    unanswered,
                    covers_ms: self.f64()?,
                }
            }
            13 => Event::Charge {
                slice: self.u16()?,
                given: self.flag()?,
            },
            14 => Event::Stored(Stored {
                slice: self.u16()?,
                worker: self.u32()?,
                weight: f64::from(self.f32()?),
            }),
            15 => {
                let number = self.u8()?;
                let count = self.u32()? as usize;
                let mut entries = Vec::new();
                for _ in 0..count {
                    entries.push(self.entry()?);
                }
                return Ok(Record::Directory { number, entries });
            }
            16 => return Ok(Record::For(self.u32()?)),
            code => return Err(Malformed::Code(code)),
        };
        Ok(Record::Event(event))
    }

    fn entry(&mut self) -> Result<Entry, Malformed> {
        let weight = f64::from(self.f32()?);
        self.u16()?;
        let started = self.f64()?;
        let zone = self.u16()?;
        self.u16()?;
        Ok(Entry {
            weight,
            started,
            zone,
            worker: self.u32()?,
            condition: self.choice("condition", &CONDITIONS)?,
        })
    }

    fn load(&mut self) -> Result<Vec<f64>, Malformed> {
        let count = self.u8()?;
        (0..count).map(|_| self.f32().map(f64::from)).collect()
    }

    fn bytes(&mut self, length: usize) -> Result<&'a [u8], Malformed> {
        if length > self.rest.len() {
            return Err(Malformed::Short(self.code));
        }
        let (taken, rest) = self.rest.split_at(length);
        self.rest = rest;
        Ok(taken)
    }

    fn choice<T: Copy>(&mut self, what: &'static str, of: &[(u8, T)]) -> Result<T, Malformed> {
        let value = self.u8()?;
        of.iter()
            .find(|(code, _)| *code == value)
            .map(|(_, choice)| *choice)
            .ok_or(Malformed::Enum { what, value })
    }

    fn flag(&mut self) -> Result<bool, Malformed> {
        self.choice("flag", &[(0, false), (1, true)])
    }

    fn u8(&mut self) -> Result<u8, Malformed> {
        self.rest
            .try_get_u8()
            .map_err(|_| Malformed::Short(self.code))
    }

    fn u16(&mut self) -> Result<u16, Malformed> {
        self.rest
            .try_get_u16()
            .map_err(|_| Malformed::Short(self.code))
    }

    fn u32(&mut self) -> Result<u32, Malformed> {
        self.rest
            .try_get_u32()
            .map_err(|_| Malformed::Short(self.code))
    }

    fn u64(&mut self) -> Result<u64, Malformed> {
        self.rest
            .try_get_u64()
            .map_err(|_| Malformed::Short(self.code))
    }

    fn f32(&mut self) -> Result<f32, Malformed> {
        self.rest
            .try_get_f32()
            .map_err(|_| Malformed::Short(self.code))
    }

    fn f64(&mut self) -> Result<f64, Malformed> {
        self.rest
            .try_get_f64()
            .map_err(|_| Malformed::Short(self.code))
    }
}

const LIST_KINDS: [(u8, ListKind); 4] = [
    (0, ListKind::Delta),
    (1, ListKind::Full),
    (2, ListKind::Cached),
    (3, ListKind::Failed),
];

const CONDITIONS: [(u8, Condition); 3] = [
    (0, Condition::Gone),
    (1, Condition::Ready),
    (2, Condition::Draining),
];

const VERDICTS: [(u8, ProbeOutcome); 8] = [
    (0, ProbeOutcome::Ok),
    (1, ProbeOutcome::Failed),
    (4, ProbeOutcome::Failed),
    (8, ProbeOutcome::Rejected),
    (9, ProbeOutcome::Failed),
    (10, ProbeOutcome::Failed),
    (13, ProbeOutcome::Failed),
    (14, ProbeOutcome::Failed),
];

#[cfg(test)]
mod tests {
    use super::*;

    fn hex(text: &str) -> Vec<u8> {
        let digits: Vec<u32> = text.chars().filter_map(|c| c.to_digit(16)).collect();
        digits
            .chunks(2)
            .map(|pair| (pair[0] * 16 + pair[1]) as u8)
            .collect()
    }

    fn one(text: &str) -> Result<Record, Malformed> {
        let bytes = hex(text);
        let mut rest = bytes.as_slice();
        let record = record(&mut rest)?;
        assert!(rest.is_empty());
        Ok(record)
    }

    fn event(text: &str) -> Event {
        match one(text) {
            Ok(Record::Event(event)) => event,
            other => panic!("{other:?}"),
        }
    }

    #[test]
    fn decodes_the_worked_examples() {
        assert_eq!(one("10 00000004 00000003").unwrap(), Record::For(3));
        assert_eq!(one("06 00000000").unwrap(), Record::Exit);
        assert_eq!(
            event("03 00000008 000000000000004d"),
            Event::Timer { token: 0x4d }
        );
        assert_eq!(event("08 00000002 0029"), Event::Left { proxy: 41 });
        assert_eq!(event("05 00000008 0002 0004 68692037"), Event::Peer);
        assert_eq!(
            event("09 00000012 000000000000000c 0029 4079c80000000000"),
            Event::Applied {
                mark: 12,
                proxy: 41
            }
        );
        assert_eq!(
            event("0d 00000003 0075 01"),
            Event::Charge {
                slice: 117,
                given: true
            }
        );
        assert_eq!(
            event("0e 0000000a 0075 2c9011f2 3f800000"),
            Event::Stored(Stored {
                slice: 117,
                worker: 0x2c90_11f2,
                weight: 1.0
            })
        );
        assert_eq!(
            event("07 00000009 0029 0000 40d00000 01"),
            Event::Joined(Joined {
                proxy: 41,
                zone: 0,
                rate: 6.5,
                fresh: true
            })
        );
        assert_eq!(
            event("0b 00000013 0029 00 00000009 00000000 409f400000000000"),
            Event::Demand {
                source: 41,
                class: 0,
                came: 9,
                unanswered: 0,
                covers_ms: 2000.0
            }
        );
        assert_eq!(
            event("0c 00000013 00000017 00000002 0075 00 408f400000000000"),
            Event::Demand {
                source: 117,
                class: 0,
                came: 23,
                unanswered: 2,
                covers_ms: 1000.0
            }
        );
        let Event::Heard(heard) = event(
            "0a 00000027 0000 0000000e 408f400000000000 03124a07 00000001 4048200000000000
             02 3f1eb852 40400000",
        ) else {
            panic!("not a report");
        };
        assert_eq!(
            (heard.zone, heard.worker, heard.tries, heard.failed),
            (0, 0x0312_4a07, 14, 1)
        );
        assert_eq!((heard.took_ms, heard.covers_ms), (48.25, 1000.0));
        assert_eq!(heard.load, [f64::from(0.62f32), 3.0]);
        let Event::Probed(probed) =
            event("04 00000016 2c9011f2 00 3ff6666666666666 02 3f1eb85240400000")
        else {
            panic!("not a probe's result");
        };
        assert_eq!((probed.outcome, probed.took_ms), (ProbeOutcome::Ok, 1.4));
        let list = one("0f 00000033 00 00000002
             3f800000 0000 0000000000000000 0000 0000 03124a07 01
             3fc00000 0000 40b7d40000000000 0001 0000 2c9011f2 01");
        let Record::Directory { number: 0, entries } = list.unwrap() else {
            panic!("not a list");
        };
        assert_eq!(entries.len(), 2);
        assert_eq!(
            (entries[1].weight, entries[1].started, entries[1].zone),
            (1.5, 6100.0, 1)
        );
        assert_eq!(
            one("02 0000000a 00 02 0000000000000029").unwrap(),
            Record::Members {
                number: 0,
                kind: ListKind::Cached
            }
        );
    }

    #[test]
    fn names_what_is_malformed() {
        assert!(matches!(one("63 00000000"), Err(Malformed::Code(0x63))));
        assert!(matches!(
            one("08 00000002 00"),
            Err(Malformed::RecordOverrun)
        ));
        assert!(matches!(one("08 000000"), Err(Malformed::RecordOverrun)));
        assert!(matches!(one("08 00000001 00"), Err(Malformed::Short(8))));
        assert!(matches!(
            one("08 00000003 002900"),
            Err(Malformed::Overlong { have: 1, .. })
        ));
        assert!(matches!(
            one("0d 00000003 0075 02"),
            Err(Malformed::Enum { value: 2, .. })
        ));
        assert!(matches!(
            one("02 0000000a 00 09 0000000000000029"),
            Err(Malformed::Enum { value: 9, .. })
        ));
        // A count far beyond the record allocates nothing for what is not there.
        assert!(matches!(
            one("0f 00000005 00 ffffffff"),
            Err(Malformed::Short(15))
        ));
        assert!(matches!(
            one("01 0000000e 0000000000000001 00000002 5b5d"),
            Err(Malformed::Settings(_))
        ));
    }

    #[test]
    fn reads_whole_frames_only() {
        let frame = hex("0000000c 40c06e2000000000");
        assert_eq!(
            read_frame(&mut frame.as_slice(), 0).unwrap(),
            Some(frame.clone())
        );
        assert_eq!(read_frame(&mut [].as_slice(), 0).unwrap(), None);
        for cut in 1..frame.len() {
            assert!(read_frame(&mut &frame[..cut], 0).is_err(), "cut at {cut}");
        }
        assert!(read_frame(&mut hex("0000000b 40c06e2000000000").as_slice(), 0).is_err());
        assert!(read_frame(&mut hex("ffffffff 40c06e2000000000").as_slice(), 0).is_err());
    }
}
