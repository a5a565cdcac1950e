use serde::Deserialize;

/// How a daemon delivers packets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// Packets are encapsulated, and two daemons hold a record of each flow.
    #[default]
    Tunnel,
    /// A token in each packet names the target of its flow.
    Gateway,
}
