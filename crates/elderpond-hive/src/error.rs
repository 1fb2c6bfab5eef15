//! Everything that may be wrong with a call, and what is answered then.

/// What is wrong with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ErrorKind {
    /// It can't be read.
    Malformed,
    /// It can be read and must not be carried out.
    Invalid,
    /// The same version was given to another content.
    Conflict,
    /// The version is too old to know with which content it was taken, if it was.
    Forgotten,
    /// There is nothing of that name.
    NotFound,
    /// The body is longer than is read.
    TooLarge,
    /// No majority of disks, or not in time; it may yet take effect.
    Unavailable,
    /// More calls wait than are held.
    Overloaded,
    /// This hive is about to end.
    Stopping,
}

/// From kind to answer: status, and the seconds after which to come again.
const TABLE: [(ErrorKind, u16, Option<&str>); 9] = [
    (ErrorKind::Malformed, 400, None),
    (ErrorKind::Invalid, 400, None),
    (ErrorKind::Conflict, 409, None),
    (ErrorKind::Forgotten, 503, None),
    (ErrorKind::NotFound, 404, None),
    (ErrorKind::TooLarge, 413, None),
    (ErrorKind::Unavailable, 503, Some("0.2")),
    (ErrorKind::Overloaded, 503, Some("0.5")),
    (ErrorKind::Stopping, 503, Some("0.1")),
];

impl ErrorKind {
    fn line(self) -> (u16, Option<&'static str>) {
        let line = TABLE.iter().find(|(kind, ..)| *kind == self);
        line.map_or((503, None), |(_, status, after)| (*status, *after))
    }

    /// The status that is answered.
    pub fn status(self) -> u16 {
        self.line().0
    }

    /// Seconds after which the caller is to come again.
    pub fn retry_after(self) -> Option<&'static str> {
        self.line().1
    }
}
