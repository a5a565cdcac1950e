use crate::{flow::Fingerprint, ticket::TargetId, wire};

/// The state of a flow.
///
/// The variants are in the order of eviction: a full table evicts closed flows first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum State {
    /// The flow has ended.
    Closed,
    /// A SYN was sent to the target; no SYN-ACK has been seen. A UDP flow starts in `Open` instead.
    Opening,
    /// A SYN-ACK from the target has been seen, but no packet without SYN from the caller.
    Answered,
    /// A packet without SYN from the caller, or a FIN from the target, has been seen.
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

/// A flag of a flow's record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[repr(u8)]
pub enum Mark {
    /// The flow must not change its target, because a SYN-ACK was passed on to the caller or a
    /// later packet shows that the caller has received the SYN-ACK. A UDP flow is pinned when it is
    /// placed.
    Pinned = 1,
    /// This daemon chose the flow's target.
    PlacedHere = 2,
    /// The other owner is known to hold a record of the flow. Without the mark, it is not known
    /// whether the other owner holds one.
    Replicated = 4,
    /// No member held a record of the flow, and its packets are sent to a candidate target. No
    /// return packet has confirmed yet that the flow is on this target.
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
///
/// The daemons exchange records as [`wire::Record`], without the idle time, the counts and the
/// marks.
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
    /// A count whose meaning depends on the state; at most 7. In [`State::Opening`], it counts the
    /// SYNs sent to the target and not answered. In the other states, it counts the packets sent
    /// through the secondary owner before [`Mark::Replicated`] is set.
    pub unanswered: u8,
    /// The number of times that the flow was moved to another target, at most 7. For a flow that
    /// must not be moved, it starts at the largest allowed number of moves
    /// (`forward::Config::max_retries`).
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
