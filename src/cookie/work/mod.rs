//! What requests cost and what targets still have to do, learned from the packets of callers.
//!
//! `docs/design/expected-work.md` and `docs/design/target-reports.md` give the reasons.

mod answer;
mod publisher;
mod report;
mod report_table;

pub use answer::Answer;
pub use publisher::{Batch, FRAME_BYTES, Publisher, REPORT_BYTES};
pub use report::Report;
pub use report_table::ReportTable;
