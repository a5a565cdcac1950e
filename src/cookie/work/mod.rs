//! What requests cost and what targets still have to do, learned from the packets of callers.
//!
//! `docs/design/expected-work.md`, `docs/design/admission.md` and `docs/design/target-reports.md` give
//! the reasons.

mod admission;
mod answer;
mod average;
mod estimator;
mod evidence;
mod exclusion;
mod pending;
mod profile;
mod publisher;
mod report;
mod report_table;
mod room;
mod route_cost;
mod window;
mod zone_load;

pub use answer::Answer;
pub use estimator::Estimator;
pub use evidence::{Evidence, Refusal};
pub use pending::{Pending, Stage};
pub use publisher::{Batch, FRAME_BYTES, Publisher, REPORT_BYTES};
pub use report::Report;
pub use report_table::ReportTable;
pub(super) use room::Avoidance;
pub use room::{Room, Standing};
