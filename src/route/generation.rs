use crate::{
    flow::Fingerprint,
    ticket::{Number, TargetId},
    util,
};

/// The target set of a service under one ticket.
#[derive(Debug, Clone, PartialEq)]
pub struct Generation {
    /// The number of the ticket that set the targets.
    pub number: Number,
    /// The targets that were placeable under the ticket, with their weights.
    pub targets: Vec<(TargetId, u16)>,
}

impl Generation {
    /// Returns the base target of a flow.
    pub fn base(&self, fingerprint: Fingerprint) -> Option<TargetId> {
        self.targets
            .iter()
            .max_by(|a, b| weighted(a, fingerprint).total_cmp(&weighted(b, fingerprint)))
            .map(|(id, _)| *id)
    }
}

/// Returns the weighted rendezvous score `-weight / ln(u)` with `u` uniform in (0, 1).
fn weighted(&(id, weight): &(TargetId, u16), fingerprint: Fingerprint) -> f64 {
    let score = util::score(fingerprint.low(), id);
    let uniform = ((score >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -f64::from(weight) / uniform.ln()
}
