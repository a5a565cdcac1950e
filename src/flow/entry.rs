use crate::{flow::Fingerprint, ticket::TargetId, wire};

/// The state of a held flow.
///
/// The order is the order of eviction from a full table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum State {
    /// The flow has ended.
    Closed,
    /// A SYN was passed on; no SYN-ACK was seen.
    Opening,
    /// A SYN-ACK was seen, but no packet after it.
    Answered,
    /// A packet without SYN was seen.
    Open,
}

impl State {
    /// Returns whether the flow was accepted by its target and has not ended.
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

/// A property of a held flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[repr(u8)]
pub enum Mark {
    /// A SYN-ACK was relayed, so the flow must never change its target.
    Pinned = 1,
    /// This daemon placed the flow.
    PlacedHere = 2,
    /// The other owner is known to hold the flow.
    Replicated = 4,
    /// The target is a guess that was not confirmed.
    Probing = 8,
    /// The caller sent a FIN.
    CallerFin = 16,
    /// The target sent a FIN.
    TargetFin = 32,
    /// The flow is a UDP flow.
    Udp = 64,
    /// The target answered the last SYN with a reset.
    SynRejected = 128,
}

/// A held flow, as a value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Entry {
    /// The flow.
    pub fingerprint: Fingerprint,
    /// The target that the flow is on.
    pub target: TargetId,
    /// The flow's state.
    pub state: State,
    /// The time since the last packet, in ticks of [`Table::TICK`](super::Table::TICK).
    pub idle: u16,
    /// The number of SYNs that the target did not answer, at most 7.
    pub unanswered: u8,
    /// The number of times that the flow was moved, or of candidates probed, at most 7.
    pub moves: u8,
    pub(super) marks: u8,
}

impl Entry {
    /// Creates an entry without marks.
    pub fn new(fingerprint: Fingerprint, target: TargetId, state: State) -> Entry {
        Entry { fingerprint, target, state, idle: 0, unanswered: 0, moves: 0, marks: 0 }
    }

    /// Creates an entry from a copied record.
    pub fn from_record(record: &wire::Record) -> Entry {
        let mut entry = Entry::new(record.fingerprint, record.target, record.state.into());
        entry.set(Mark::Pinned, record.state == wire::RecordState::Open);
        entry
    }

    /// Returns the entry as a record to copy.
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

    /// Returns the entry as after a packet that has just passed.
    #[must_use]
    pub fn with_zero_idle(mut self) -> Entry {
        self.idle = 0;
        self
    }

    /// Returns the entry with a mark set.
    #[must_use]
    pub fn with(mut self, mark: Mark) -> Entry {
        self.set(mark, true);
        self
    }
}
