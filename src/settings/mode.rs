use serde::Deserialize;

/// How a daemon delivers packets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// Packets are encapsulated, and two daemons hold a record of each flow.
    #[default]
    Tunnel,
    /// Each packet carries a cookie that names the target of its flow, so that daemons hold no
    /// record of it.
    Gateway,
}
