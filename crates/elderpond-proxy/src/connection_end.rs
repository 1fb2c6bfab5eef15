//! Why the proxy ends a client's connection.

/// Why the proxy ends a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// It was idle for as long as the limits allow.
    Idle,
    /// It was idle, and its place is needed for another.
    Room,
    /// It is idle, and the process ends.
    ProcessEnd,
    /// An answer said that it is the connection's last.
    LastAnswer,
    /// The rest of a head, or the end of an answer, took longer than allowed.
    Overdue,
}

impl ConnectionEnd {
    /// All of them.
    pub const ALL: [Self; 5] = [
        Self::Idle,
        Self::Room,
        Self::ProcessEnd,
        Self::LastAnswer,
        Self::Overdue,
    ];

    /// Its name in the process's figures.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::Room => "room",
            Self::ProcessEnd => "process_end",
            Self::LastAnswer => "last_answer",
            Self::Overdue => "overdue",
        }
    }
}
