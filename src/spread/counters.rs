/// The counters of a [`Disseminator`](crate::spread::Disseminator).
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// The bytes sent, including frames and IP and UDP headers.
    pub sent_bytes: u64,
    /// The number of messages dropped because a queue was full.
    pub dropped: u64,
    /// The number of tickets from the platform that were refused.
    pub refused: u64,
    /// The number of items from other members that failed validation.
    pub invalid: u64,
    /// The number of items that have the ticket number of a known item but other content.
    pub conflicts: u64,
    /// The number of messages whose content could not be decoded.
    pub malformed: u64,
}
