use std::time::Duration;

/// Timeouts, thresholds and limits of the forwarder and the directory.
#[derive(Debug, Clone, PartialEq)]
pub struct Tuning {
    /// The time after the store has recovered from an outage within which targets may still write
    /// their expired entries again. The platform promises about 2 s.
    pub lapse_grace: Duration,
    /// How long the directory keeps a target that has ended, so that packets of its flows are
    /// answered with a reset. Equals the maximum lifetime of a flow.
    pub ended_target_retention: Duration,
    /// The time after a failed call to the store, or after its recovery, during which a missing
    /// entry does not prove that its target has ended.
    pub settle_time: Duration,
    /// The maximum age of the last read of the targets for it to prove that a target does not
    /// exist. Reads are 0.5 s apart.
    pub maximum_targets_age: Duration,
    /// The maximum time since the last confirmation of the configuration for it to prove that a
    /// route does not exist. The watch reports changes immediately and confirms the configuration
    /// every 2.5 s.
    pub maximum_config_age: Duration,
    /// The time between the first packet with an unknown cookie and a read of the targets after
    /// which the flow is reset: the lag of the store's stale reads plus one read interval.
    pub unknown_cookie_grace: Duration,
    /// How long a retransmission is taken into account: a little more than the longest
    /// retransmission timeout of callers.
    pub retransmission_window: Duration,
    /// The number of flows with retransmissions from which a target is regarded as silent.
    pub target_silence_flows: usize,
    /// The number of targets with retransmissions from which their zone is regarded as silent, if
    /// no target of the zone answers any flow meanwhile.
    pub zone_silence_targets: usize,
    /// How long a single flow must retransmit before its target is regarded as silent: two
    /// retransmission timeouts.
    pub single_flow_silence: Duration,
    /// How long several flows must retransmit to a silent target before its flows are reset: two
    /// retransmission timeouts.
    pub reset_after: Duration,
    /// How long a single flow must retransmit to a silent target before it is reset: three
    /// retransmission timeouts.
    pub single_flow_reset_after: Duration,
    /// The minimum time between a packet and its retransmission. A copy that arrives sooner was
    /// duplicated or reordered by the network, since callers retransmit after 200 ms.
    pub minimum_retransmission_delay: Duration,
    /// The maximum number of flows that one call of
    /// [`Forwarder::take_lost_flows`](crate::cookie::Forwarder::take_lost_flows) returns.
    pub reset_batch_limit: usize,
    /// How long a service counts as requested after a new flow was placed. Callers retransmit
    /// opening packets within 0.6 s.
    pub recent_placement_window: Duration,
    /// The interval of probe flows to a silent zone, or to a silent target whose entry has been
    /// written since it fell silent.
    pub half_open_interval: Duration,
    /// The interval of probe flows to a silent target whose entry has not been written since it
    /// fell silent, and the delay before the first of them. The entry of a target that has ended
    /// disappears sooner: after three missed heartbeats plus the lag of reads.
    pub unrenewed_half_open_interval: Duration,
    /// The upper bound of the idle timeout after which a flow is no longer counted. A shorter
    /// timeout in the configuration takes precedence.
    pub maximum_idle_timeout: Duration,
    /// The maximum number of flows in the flow table.
    pub maximum_flows: usize,
    /// The factor by which the configured rate of new flows to a cold target is multiplied.
    pub cold_factor: f64,
    /// The new flows per second that a cold target may get in addition to that rate.
    pub cold_slack: f64,
    /// The assumed number of daemons in the own zone while the other daemons are not known. It
    /// prevents the overload of cold targets after the start of daemons.
    pub assumed_zone_daemons: usize,
    /// The factor by which the load of a cold target is multiplied.
    pub cold_load_factor: f64,
    /// The load, in requests per slot, that is added to targets of other zones.
    pub other_zone_penalty: f64,
    /// How long opening packets are dropped after a pause of the process, unless a newer view
    /// arrives first.
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
            recent_placement_window: Duration::from_secs(2),
            half_open_interval: Duration::from_secs(1),
            unrenewed_half_open_interval: Duration::from_secs(5),
            maximum_idle_timeout: Duration::from_secs(15),
            maximum_flows: 100_000,
            cold_factor: 1.5,
            cold_slack: 5.0,
            assumed_zone_daemons: 12,
            cold_load_factor: 2.0,
            other_zone_penalty: 0.25,
            pause_drop_time: Duration::from_millis(300),
        }
    }
}
