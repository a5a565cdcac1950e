//! What requests cost and what targets still have to do, learned from the packets of callers.
//!
//! `docs/design/expected-work.md` and `docs/design/admission.md` give the reasons.

mod admission;
mod answer;
mod average;
mod estimator;
mod evidence;
mod exclusion;
mod pending;
mod profile;
mod report;
mod room;
mod route_cost;
mod window;
mod zone_load;

pub use answer::Answer;
pub use estimator::Estimator;
pub use evidence::{Evidence, Refusal};
pub use pending::{Pending, Stage};
pub use report::Report;
pub use room::{Room, Standing};
