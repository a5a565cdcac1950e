use crate::{flow::Fingerprint, ticket::TargetId, wire};

/// The state of a flow.
///
/// The variants are in the order of eviction: a full table evicts closed flows first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum State {
    /// The flow has ended.
    Closed,
    /// A SYN was sent to the target; no SYN-ACK has been seen.
    Opening,
    /// A SYN-ACK has been seen, but no packet without SYN.
    Answered,
    /// A packet without SYN has been seen.
    Open,
}

impl State {
    /// Returns whether the target has accepted the flow and the flow has not ended.
    pub fn is_open(self) -> bool {
        matches!(self, State::Answered | State::Open)
    }
}

impl From<State> for wire::RecordState {
    fn from(state: State) -> wire::RecordState {
        match state {
            State::Closed => wire::RecordState::Closed,
            State::Opening => wire::RecordState::Opening,
            State::Answered | State::Open => wire::RecordState::Open,
        }
    }
}

impl From<wire::RecordState> for State {
    fn from(state: wire::RecordState) -> State {
        match state {
            wire::RecordState::Closed => State::Closed,
            wire::RecordState::Opening => State::Opening,
            wire::RecordState::Open => State::Open,
        }
    }
}

/// A boolean property of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[repr(u8)]
pub enum Mark {
    /// The flow must not change its target, because a SYN-ACK was passed on to the caller or a
    /// later packet shows that the caller has received one. A UDP flow is pinned when it is placed.
    Pinned = 1,
    /// This daemon chose the flow's target.
    PlacedHere = 2,
    /// The other owner is known to hold a record of the flow.
    Replicated = 4,
    /// The target is a candidate that has not been confirmed by a return packet.
    Probing = 8,
    /// The caller sent a FIN.
    CallerFin = 16,
    /// The target sent a FIN.
    TargetFin = 32,
    /// The flow is a UDP flow.
    Udp = 64,
    /// The target answered the last SYN with a reset, which was dropped so that the next SYN can go
    /// to another target.
    SynRejected = 128,
}

/// The record of a flow in a [`Table`](super::Table).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Entry {
    /// The flow.
    pub fingerprint: Fingerprint,
    /// The flow's target.
    pub target: TargetId,
    /// The flow's state.
    pub state: State,
    /// The time since the last packet, in ticks of [`Table::TICK`](super::Table::TICK).
    pub idle_ticks: u16,
    /// While the flow is opening, the number of SYNs that the target did not answer. Afterwards,
    /// the number of packets sent through the secondary owner whose record is not known to exist
    /// yet. At most 7.
    pub unanswered: u8,
    /// The number of times that the flow was moved to another target, at most 7. A flow that may
    /// not be moved has the largest number of retries from the start.
    pub moves: u8,
    pub(super) marks: u8,
}

impl Entry {
    /// Creates an entry without marks.
    pub fn new(fingerprint: Fingerprint, target: TargetId, state: State) -> Entry {
        Entry { fingerprint, target, state, idle_ticks: 0, unanswered: 0, moves: 0, marks: 0 }
    }

    /// Creates an entry from a record that another daemon sent.
    pub fn from_record(record: &wire::Record) -> Entry {
        let mut entry = Entry::new(record.fingerprint, record.target, record.state.into());
        entry.set(Mark::Pinned, record.state == wire::RecordState::Open);
        entry
    }

    /// Returns the entry as a record to send to another daemon.
    pub fn record(&self) -> wire::Record {
        wire::Record {
            fingerprint: self.fingerprint,
            target: self.target,
            state: self.state.into(),
        }
    }

    /// Returns whether the entry has a mark.
    pub fn has(&self, mark: Mark) -> bool {
        self.marks & mark as u8 != 0
    }

    /// Sets or removes a mark.
    pub fn set(&mut self, mark: Mark, value: bool) {
        if value {
            self.marks |= mark as u8;
        } else {
            self.marks &= !(mark as u8);
        }
    }

    /// Returns the entry with another target.
    #[must_use]
    pub fn with_target(mut self, target: TargetId) -> Entry {
        self.target = target;
        self
    }

    /// Returns the entry with its idle time set to zero.
    #[must_use]
    pub fn with_zero_idle(mut self) -> Entry {
        self.idle_ticks = 0;
        self
    }

    /// Returns the entry with a mark set.
    #[must_use]
    pub fn with(mut self, mark: Mark) -> Entry {
        self.set(mark, true);
        self
    }
}
