/// The counters of a [`Disseminator`](crate::spread::Disseminator).
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// The bytes sent, with frames and IP and UDP headers.
    pub sent_bytes: u64,
    /// The messages dropped because a queue was full.
    pub dropped: u64,
    /// The tickets from the platform that were refused.
    pub refused: u64,
    /// The items from members that did not validate.
    pub invalid: u64,
    /// The items that repeat a number with other content.
    pub conflicts: u64,
    /// The messages whose content could not be decoded.
    pub malformed: u64,
}
