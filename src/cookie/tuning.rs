use std::time::Duration;

use crate::cookie::Placement;

/// Timeouts, thresholds and limits of the forwarder and the directory.
#[derive(Debug, Clone, PartialEq)]
pub struct Tuning {
    /// The time that targets need after the end of an outage of the store to write their expired
    /// entries again. Until it has passed, a target without an entry counts as lapsed and not as
    /// ended. The platform promises about 2 s.
    pub lapse_grace: Duration,
    /// How long an entry of an ended target that a copy of the store shows again may stay in the
    /// store without proving that the target runs: three heartbeats of 1.2 s, after which the entry
    /// expires, and a margin.
    pub restored_entry_lifetime: Duration,
    /// How long a zone that was out of service stays out without its item after the store has
    /// returned from a copy, so that operators can write the item again.
    pub zone_grace: Duration,
    /// How long the directory keeps a target after its end, so that packets of its flows are
    /// answered with a reset. This is the maximum lifetime of a flow.
    pub ended_target_retention: Duration,
    /// How long the store must have been available, without a failed call or a recovery from one,
    /// before a missing entry proves that its target has ended.
    pub settle_time: Duration,
    /// The maximum age of the last read of the targets at which a missing entry proves that its
    /// target has ended. The watch confirms the targets every second.
    pub maximum_targets_age: Duration,
    /// The maximum time since the last confirmation of the configuration at which an opening packet
    /// to a service address without a route is reset. The watch reports changes immediately and
    /// confirms the configuration every 2 s.
    pub maximum_config_age: Duration,
    /// How much later than the first packet of an established flow with an unknown route or cookie
    /// the store must have confirmed that there is no such route or target before the flow is reset,
    /// or forwarded to the target of the same identity: longer than the first part of a response of
    /// the store may be under way.
    pub unresolved_flow_grace: Duration,
    /// The time without a further retransmission after which the recorded ones are discarded: a
    /// little more than the longest retransmission timeout of callers.
    pub retransmission_window: Duration,
    /// The minimum number of flows with retransmissions at which a target is regarded as silent at
    /// once.
    pub target_silence_flows: usize,
    /// The minimum number of targets with retransmissions at which their zone is regarded as
    /// silent, if no target of the zone has answered since the first of these packets was sent.
    pub zone_silence_targets: usize,
    /// How long fewer than [`target_silence_flows`](Tuning::target_silence_flows) flows must
    /// retransmit before their target is regarded as silent: a little less than two retransmission
    /// timeouts of callers (200 ms and 400 ms), so that the third copy of an opening packet goes to
    /// another target even if it arrives early.
    pub single_flow_silence: Duration,
    /// How long at least [`target_silence_flows`](Tuning::target_silence_flows) flows must
    /// retransmit to a silent target before the target's flows are reset: two retransmission
    /// timeouts of callers.
    pub reset_after: Duration,
    /// How long fewer flows must retransmit to a silent target before each of these flows is reset:
    /// three retransmission timeouts of callers.
    pub single_flow_reset_after: Duration,
    /// How long an opening packet must be unanswered before its target is checked: more than a round
    /// trip between caller and target, and early enough for an outcome before the caller
    /// retransmits after 200 ms.
    pub unanswered_open_delay: Duration,
    /// How long after the placement of a new flow copies of its opening packet may arrive. Callers
    /// send the last one after 0.6 s, and the rest is the time that it may be under way.
    pub opening_copy_lifetime: Duration,
    /// The minimum time between two connection checks of a target, which decide whether its flows
    /// may be reset.
    pub check_interval: Duration,
    /// The maximum number of connection checks at the same time.
    pub maximum_checks: usize,
    /// The minimum time between a packet and its retransmission. A copy that arrives sooner was
    /// duplicated or reordered by the network, since callers retransmit after 200 ms.
    pub minimum_retransmission_delay: Duration,
    /// The maximum number of flows that one call of
    /// [`Forwarder::take_lost_flows`](crate::cookie::Forwarder::take_lost_flows) returns.
    pub reset_batch_limit: usize,
    /// The time after the placement of a new flow during which its service has a recent placement.
    /// Callers retransmit opening packets within 0.6 s.
    pub recent_placement_window: Duration,
    /// The interval between half-open probes of a silent zone, or of a silent target that has
    /// written its entry since it fell silent. A half-open probe is a new flow that tests whether
    /// the target answers again.
    pub half_open_interval: Duration,
    /// The interval between half-open probes of a silent target that has not written its entry
    /// since it fell silent, and the delay before the first of them. If the target has ended, its
    /// entry disappears before the first probe: after three missed heartbeats plus the lag of
    /// reads.
    pub unrenewed_half_open_interval: Duration,
    /// The maximum time without packets after which a flow is removed from the flow table. A
    /// shorter timeout in the configuration takes precedence.
    pub maximum_idle_timeout: Duration,
    /// The maximum time for which a target is cold. Longer times in entries and configurations are
    /// limited to it.
    pub maximum_cold_time: Duration,
    /// The maximum number of flows in the flow table.
    pub maximum_flows: usize,
    /// The factor by which the configured rate of new flows to a cold target is multiplied.
    pub cold_factor: f64,
    /// The new flows per second that a cold target may get in addition to the configured rate times
    /// [`cold_factor`](Tuning::cold_factor).
    pub cold_slack: f64,
    /// The minimum number of daemons that share the rate of a cold target while the number of
    /// daemons in the own zone is not known or not stable. A high number protects cold targets
    /// while daemons start.
    pub assumed_zone_daemons: usize,
    /// How long a daemon must have run before the number of daemons that it knows in the own zone
    /// counts as stable. After a restart of all daemons, each learns of the others within some
    /// seconds.
    pub census_run_time: Duration,
    /// How long the number of known daemons in the own zone must have been the same before it counts
    /// as stable: several rounds of pings, which carry news of other daemons.
    pub census_stable_time: Duration,
    /// The factor by which the load of a cold target is multiplied.
    pub cold_load_factor: f64,
    /// The penalty for targets of other zones when a target is selected, added to their load, in
    /// requests per slot.
    pub other_zone_penalty: f64,
    /// How the target of a new flow is selected.
    pub placement: Placement,
    /// How long opening packets are dropped after a pause of the process, unless the targets are
    /// read again first.
    pub pause_drop_time: Duration,
    /// Whether full targets are avoided, and new flows of lower priority classes are refused while
    /// no zone has room.
    pub sheds_load: bool,
    /// Whether the daemon exchanges reports about targets with other daemons of its zone.
    pub shares_reports: bool,
}

impl Default for Tuning {
    fn default() -> Tuning {
        Tuning {
            lapse_grace: Duration::from_millis(2500),
            restored_entry_lifetime: Duration::from_secs(5),
            zone_grace: Duration::from_secs(5),
            ended_target_retention: Duration::from_secs(60),
            settle_time: Duration::from_secs(3),
            maximum_targets_age: Duration::from_millis(1500),
            maximum_config_age: Duration::from_secs(10),
            unresolved_flow_grace: Duration::from_millis(1300),
            retransmission_window: Duration::from_secs(2),
            target_silence_flows: 2,
            zone_silence_targets: 3,
            single_flow_silence: Duration::from_millis(500),
            reset_after: Duration::from_millis(600),
            single_flow_reset_after: Duration::from_millis(1400),
            unanswered_open_delay: Duration::from_millis(60),
            opening_copy_lifetime: Duration::from_secs(2),
            check_interval: Duration::from_millis(500),
            maximum_checks: 64,
            minimum_retransmission_delay: Duration::from_millis(150),
            reset_batch_limit: 256,
            recent_placement_window: Duration::from_secs(2),
            half_open_interval: Duration::from_secs(1),
            unrenewed_half_open_interval: Duration::from_secs(5),
            maximum_idle_timeout: Duration::from_secs(15),
            maximum_cold_time: Duration::from_secs(24 * 3600),
            maximum_flows: 100_000,
            cold_factor: 1.5,
            cold_slack: 5.0,
            assumed_zone_daemons: 12,
            census_run_time: Duration::from_secs(10),
            census_stable_time: Duration::from_secs(5),
            cold_load_factor: 2.0,
            other_zone_penalty: 0.25,
            placement: Placement::OpenFlows,
            pause_drop_time: Duration::from_millis(300),
            sheds_load: false,
            shares_reports: false,
        }
    }
}
