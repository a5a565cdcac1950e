//! What requests cost and what targets still have to do, learned from the packets of callers.
//!
//! `docs/design/expected-work.md` gives the reasons.

mod answer;
mod average;
mod estimator;
mod pending;
mod report;
mod route_cost;
mod zone_load;

pub use answer::Answer;
pub use estimator::Estimator;
pub use pending::{Pending, Stage};
pub use report::Report;
