//! What requests cost and what targets still have to do, learned from the packets of callers.
//!
//! `docs/design/expected-work.md` and `docs/design/admission.md` give the reasons.

mod admission;
mod answer;
mod evidence;
mod exclusion;
mod profile;
mod report;
mod room;
mod window;

pub use answer::Answer;
pub use evidence::{Evidence, Refusal};
pub use report::Report;
pub use room::{Room, Standing};
