//! Placement of new flows on targets.

mod placer;
mod refusal;

pub use placer::Placer;
pub use refusal::Refusal;
