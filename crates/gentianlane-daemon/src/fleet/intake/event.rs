//! The events of an account that operators are told of.

/// What operators are told of, by number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Event {
    /// A request in arrival was refused, for memory or for a new connection.
    Refused,
    /// A connection was closed, as the bound was reached.
    ClosedForMemory,
    /// A connection was closed for a new one, as there were as many as may be.
    ClosedForNumber,
    /// A new connection was closed, as there were as many as may be, all with a
    /// request that was being handled.
    TurnedAway,
    /// A connection was closed, as its client read no answer.
    Unread,
    /// A request was refused for the length of its body.
    TooLong,
}

impl Event {
    /// The number of kinds.
    pub(super) const COUNT: usize = 6;

    /// All kinds.
    pub(crate) const ALL: [Self; Self::COUNT] = [
        Self::Refused,
        Self::ClosedForMemory,
        Self::ClosedForNumber,
        Self::TurnedAway,
        Self::Unread,
        Self::TooLong,
    ];

    /// The name of the kind's counter.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Refused => "requests_refused_crowded",
            Self::ClosedForMemory => "connections_closed_memory",
            Self::ClosedForNumber => "connections_closed_number",
            Self::TurnedAway => "connections_turned_away",
            Self::Unread => "connections_closed_unread",
            Self::TooLong => "bodies_too_long",
        }
    }
}
