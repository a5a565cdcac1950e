use serde::Deserialize;

/// How the target of a new flow is selected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Placement {
    /// The target with the fewest open flows per slot.
    #[default]
    OpenFlows,
    /// The target with the lowest expected time until the answer.
    ExpectedWork,
}
