use std::time::Duration;

/// The thresholds of the decisions.
#[derive(Debug, Clone, PartialEq)]
pub struct Tuning {
    /// How long after the store's return a missing entry may still come back. The platform
    /// promises about 2 s.
    pub lapse_grace: Duration,
    /// How long a target that has ended is remembered, so that packets of its flows are reset:
    /// the largest age of a flow.
    pub ended_target_retention: Duration,
    /// The time after a failed read during which an entry that is missing does not prove that its
    /// target has ended.
    pub settle_time: Duration,
    /// The age of the targets up to which they prove that a target does not exist. Reads are 0.5 s
    /// apart.
    pub maximum_targets_age: Duration,
    /// The time since the configuration was confirmed up to which it proves that a route does not
    /// exist. A watch, which reports changes at once, confirms it every 2.5 s.
    pub maximum_config_age: Duration,
    /// How long a cookie may be unknown before its flow is reset, if the view was read again
    /// since: the lag of the store's stale reads and one period of reads.
    pub unknown_cookie_grace: Duration,
    /// How long a repeated packet counts as evidence: the longest retransmission timeout of callers,
    /// and some more.
    pub retransmission_window: Duration,
    /// The number of flows that must repeat packets before a target is regarded as silent.
    pub target_silence_flows: usize,
    /// The number of targets of a zone whose flows must repeat packets, while no target of the zone
    /// answers any flow, before the zone is regarded as silent.
    pub zone_silence_targets: usize,
    /// How long a single flow must repeat packets before its target is regarded as silent: two
    /// retransmission timeouts.
    pub single_flow_silence: Duration,
    /// How long a target must be silent, with several flows that repeat packets, before its flows
    /// are reset: two retransmission timeouts.
    pub reset_after: Duration,
    /// The same with a single flow that repeats packets: three retransmission timeouts.
    pub single_flow_reset_after: Duration,
    /// A packet that comes again sooner was duplicated or reordered on its way; callers repeat
    /// packets after 200 ms.
    pub minimum_retransmission_delay: Duration,
    /// The largest number of flows that are reset at once without a packet of theirs.
    pub reset_batch_limit: usize,
    /// How long a service counts as asked for after a new flow. Callers repeat opening packets
    /// within 0.6 s.
    pub demand_window: Duration,
    /// The time between two new flows that test a silent target whose entry was renewed since.
    pub probe_interval: Duration,
    /// The same for a target whose entry was not renewed, and the time from its silence to the
    /// first. The entry of a target that has ended disappears before: after three heartbeats and
    /// the lag of reads.
    pub unrenewed_probe_interval: Duration,
    /// How long a flow without packets counts as open, unless the configuration says less.
    pub maximum_idle_timeout: Duration,
    /// The largest number of flows that are observed.
    pub maximum_flows: usize,
    /// How much more than its stated rate a cold target bears.
    pub cold_factor: f64,
    /// The new flows a second that a cold target bears on top.
    pub cold_slack: f64,
    /// The daemons that a zone is taken to have while the others are not known, so that cold
    /// targets are not overrun after a start.
    pub assumed_zone_daemons: usize,
    /// The load of a cold target counts this much more.
    pub cold_load_factor: f64,
    /// What the way to another zone counts as load, in requests a slot.
    pub other_zone_load: f64,
    /// How long opening packets are dropped after a pause if the view is not read again.
    pub pause_drop_time: Duration,
}

impl Default for Tuning {
    fn default() -> Tuning {
        Tuning {
            lapse_grace: Duration::from_millis(2500),
            ended_target_retention: Duration::from_secs(60),
            settle_time: Duration::from_secs(3),
            maximum_targets_age: Duration::from_millis(1500),
            maximum_config_age: Duration::from_secs(10),
            unknown_cookie_grace: Duration::from_millis(1300),
            retransmission_window: Duration::from_secs(2),
            target_silence_flows: 2,
            zone_silence_targets: 3,
            single_flow_silence: Duration::from_millis(600),
            reset_after: Duration::from_millis(600),
            single_flow_reset_after: Duration::from_millis(1400),
            minimum_retransmission_delay: Duration::from_millis(150),
            reset_batch_limit: 256,
            demand_window: Duration::from_secs(2),
            probe_interval: Duration::from_secs(1),
            unrenewed_probe_interval: Duration::from_secs(5),
            maximum_idle_timeout: Duration::from_secs(15),
            maximum_flows: 100_000,
            cold_factor: 1.5,
            cold_slack: 5.0,
            assumed_zone_daemons: 12,
            cold_load_factor: 2.0,
            other_zone_load: 0.25,
            pause_drop_time: Duration::from_millis(300),
        }
    }
}
