//! What requests cost and what targets still have to do, learned from the packets of callers.
//!
//! `docs/design/expected-work.md` gives the reasons.

mod answer;
mod report;

pub use answer::Answer;
pub use report::Report;
