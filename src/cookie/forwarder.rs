use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};

use hashbrown::HashMap;

use crate::{
    cookie::{
        Cause, Check, CheckOutcome, Cookie, Counters, Entry, Event, Flow, Kind, Packet, Presence,
        Reason, Successor, Tuning, Verdict, View,
        flows::{Flows, SentBy, Signal},
        observer::Observer,
        selector::Selector,
        work::{Answer, Estimator, Report, ReportTable, Room},
    },
    member, util,
};

/// The maximum number of unresolved flows that are remembered.
const MAXIMUM_UNRESOLVED_FLOWS: usize = 10_000;

/// Decides whether each packet of a caller is forwarded, answered with a reset or dropped.
#[derive(Debug, Clone)]
pub struct Forwarder {
    tuning: Tuning,
    zone: Arc<str>,
    /// The number of daemons among which the limit of a cold target is divided.
    cold_sharers: usize,
    /// The number of daemons in the own zone, including this one.
    zone_daemons: usize,
    view: Arc<View>,
    flows: Flows,
    observer: Observer,
    estimator: Estimator,
    /// Which targets are full; `None` if load shedding is disabled.
    room: Option<Room>,
    /// The reports of other daemons of the zone.
    report_table: ReportTable,
    /// The established flows whose route or cookie this daemon does not know, each with the cookie
    /// and the arrival time of the first such packet. Another daemon knew both when it forwarded the
    /// opening packet.
    unresolved_flows: HashMap<Flow, (Cookie, Instant)>,
    /// The flows whose opening packets were forwarded recently, oldest first.
    opened_flows: VecDeque<(Instant, Flow)>,
    /// When the last new flow of each service was placed on a target.
    last_placement_by_service: HashMap<Arc<str>, Instant>,
    /// After a pause of the process: until when opening packets are dropped, since they may have
    /// waited during the pause.
    drop_opens_until: Option<Instant>,
    counters: Counters,
    events: Vec<Event>,
    /// How long callers waited for the answers to opening packets, since the last call of
    /// [`Forwarder::take_opening_delays`].
    opening_delays: Vec<Duration>,
}

impl Forwarder {
    /// Creates a forwarder for a daemon in the availability zone `zone`.
    pub fn new(zone: Arc<str>, tuning: Tuning) -> Forwarder {
        let flows = Flows::new(tuning.maximum_flows);
        Forwarder {
            cold_sharers: tuning.assumed_zone_daemons,
            zone_daemons: tuning.assumed_zone_daemons,
            observer: Observer::new(tuning.clone()),
            room: tuning.sheds_load.then(Room::default),
            tuning,
            zone,
            estimator: Estimator::default(),
            view: Arc::default(),
            flows,
            report_table: ReportTable::new(),
            unresolved_flows: HashMap::new(),
            opened_flows: VecDeque::new(),
            last_placement_by_service: HashMap::new(),
            drop_opens_until: None,
            counters: Counters::default(),
            events: Vec::new(),
            opening_delays: Vec::new(),
        }
    }

    /// Replaces the view.
    pub fn set_view(&mut self, view: Arc<View>) {
        if view.read_at > self.view.read_at {
            self.drop_opens_until = None;
        }
        if let (Some(room), Some(config)) = (&mut self.room, &view.config)
            && !self.view.config.as_ref().is_some_and(|known| Arc::ptr_eq(known, config))
        {
            room.set_config(config);
        }
        self.view = view;
    }

    /// Sets the number of daemons among which the limit of a cold target is divided, see
    /// [`Census::sharers`](crate::cookie::Census::sharers); 0 if the number is not known.
    pub fn set_cold_sharers(&mut self, count: usize) {
        self.cold_sharers = if count == 0 { self.tuning.assumed_zone_daemons } else { count };
    }

    /// Sets the number of daemons in the own zone, including this one; 0 if the number is not
    /// known.
    pub fn set_zone_daemons(&mut self, count: usize) {
        self.zone_daemons = if count == 0 { self.tuning.assumed_zone_daemons } else { count };
    }

    /// Records that the process was paused. Opening packets, which may have waited during the
    /// pause, are dropped until the targets are read again or
    /// [`pause_drop_time`](Tuning::pause_drop_time) has passed. Retransmissions during the pause
    /// do not count against targets.
    pub fn record_pause(&mut self, now: Instant) {
        self.flows.restart_timers(now);
        self.observer.record_pause();
        if let Some(room) = &mut self.room {
            room.record_pause();
        }
        self.report_table.record_pause(now);
        self.opened_flows.clear();
        // A response of the store that arrives now may be from before the pause.
        self.unresolved_flows.clear();
        self.drop_opens_until = Some(now + self.tuning.pause_drop_time);
    }

    /// Returns this daemon's own reports about targets that differ from the others or are full.
    pub fn own_reports(&self, now: Instant) -> Vec<Report> {
        let mut reports = self.estimator.reports(now);
        for (cookie, age) in self.room.iter().flat_map(|room| room.full_targets(now)) {
            let known = reports.iter_mut().find(|report| report.cookie == cookie);
            match known {
                Some(report) => (report.is_rejecting, report.age) = (true, age),
                None => {
                    reports.push(Report { cookie, delay_factor: 1.0, is_rejecting: true, age });
                }
            }
        }
        let is_in_own_zone = |report: &Report| {
            let entry = self.view.target(report.cookie);
            entry.is_some_and(|entry| entry.target.zone == self.zone)
        };
        reports.retain(is_in_own_zone);
        reports
    }

    /// Records reports of the daemon `from` that arrived at `now`, and returns how many are used.
    pub fn record_reports(&mut self, now: Instant, from: member::Id, reports: &[Report]) -> usize {
        self.report_table.record(now, from, reports)
    }

    /// Returns the current view.
    pub fn view(&self) -> &Arc<View> {
        &self.view
    }

    /// Returns the counters.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns the number of flows in the flow table.
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// Returns the highest delay factor among the targets of each service.
    pub fn highest_delays(&self, now: Instant) -> BTreeMap<Arc<str>, f64> {
        self.estimator.highest_delays(now)
    }

    /// Returns three values for each target: its cookie, the number of its open flows that passed
    /// through this daemon, and whether the target is regarded as silent.
    pub fn observations(&self) -> Vec<(Cookie, u32, bool)> {
        let observe = |entry: &Entry| {
            (entry.cookie, self.flows.load(entry.cookie).open, self.observer.is_silent(entry))
        };
        self.view.entries().iter().map(observe).collect()
    }

    /// Returns the target of a flow, if the flow is in the flow table.
    pub fn target_of(&self, flow: &Flow) -> Option<&Entry> {
        self.view.target(self.flows.cookie(flow)?)
    }

    /// Returns whether all usable targets of the services with a recent placement of a new flow are
    /// silent, and `Some(false)` if at least one of them is not. Returns `None` if no service has a
    /// recent placement, so that nothing is known. Daemons of other zones may still reach silent
    /// targets.
    pub fn is_every_target_silent(&self, now: Instant) -> Option<bool> {
        let mut recent_services = self
            .last_placement_by_service
            .iter()
            .filter(|(_, at)| {
                now.saturating_duration_since(**at) < self.tuning.recent_placement_window
            })
            .peekable();
        recent_services.peek()?;
        Some(recent_services.all(|(service, _)| {
            self.view.pool(service).all(|entry| self.observer.is_silent(entry))
        }))
    }

    /// Returns whether any zone is silent, which means that none of its targets answers this
    /// daemon.
    pub fn has_silent_zone(&self) -> bool {
        self.observer.has_silent_zone()
    }

    /// Removes and returns the events since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Removes and returns how long callers waited for the answers to opening packets since the
    /// last call.
    pub fn take_opening_delays(&mut self) -> Vec<Duration> {
        std::mem::take(&mut self.opening_delays)
    }

    /// Removes and returns the connection checks that are to be made. The outcome of each must be
    /// passed to [`Forwarder::record_check`].
    pub fn take_checks(&mut self) -> Vec<Check> {
        self.observer.take_checks()
    }

    /// Records the outcome of a connection check.
    pub fn record_check(&mut self, now: Instant, check: &Check, outcome: CheckOutcome) {
        let events = self.observer.record_check(now, check, outcome, &self.view);
        self.record_health_events(events);
    }

    /// Requests checks of the targets that have not answered an opening packet for
    /// [`unanswered_open_delay`](Tuning::unanswered_open_delay), so that the callers'
    /// retransmissions can go to other targets. Is to be called several times within the callers'
    /// retransmission timeout.
    pub fn check_unanswered_opens(&mut self, now: Instant) {
        while let Some((opened_at, flow)) = self.opened_flows.front().copied()
            && now.saturating_duration_since(opened_at) >= self.tuning.unanswered_open_delay
        {
            self.opened_flows.pop_front();
            let cookie = self.flows.unanswered_cookie(&flow);
            if let Some(entry) = cookie.and_then(|cookie| self.view.target(cookie)) {
                self.observer.request_check(now, entry);
            }
        }
    }

    /// Removes idle flows, outdated records of unresolved flows, and the observations of targets that
    /// are no longer in the view. Is to be called about once a second.
    pub fn sweep(&mut self, now: Instant) {
        let idle_timeout = self.view.config.as_ref().map(|config| config.idle_timeout);
        let idle_timeout = idle_timeout
            .filter(|timeout| !timeout.is_zero())
            .unwrap_or(self.tuning.maximum_idle_timeout);
        self.flows.sweep(now, idle_timeout.min(self.tuning.maximum_idle_timeout));
        let retention = self.tuning.maximum_idle_timeout;
        self.unresolved_flows
            .retain(|_, (_, since)| now.saturating_duration_since(*since) < retention);
        self.observer.retain(&self.view);
        self.estimator.sweep(&self.view, self.flows.request_count());
        if let Some(room) = &mut self.room {
            room.sweep(now, self.view.config.as_deref(), self.tuning.opening_copy_lifetime);
        }
        if self.tuning.shares_reports {
            let entries = self.view.entries().iter();
            let own_zone =
                entries.filter(|entry| entry.is_usable && entry.target.zone == self.zone);
            self.report_table.set_targets(now, own_zone.map(|entry| entry.cookie));
        }
    }

    /// Removes lost flows from the flow table, and returns them so that the caller of this method
    /// resets them, each with the sequence number that the flow's caller expects next. A flow is
    /// lost if its target has ended or does not answer. Without the reset, its caller would wait in
    /// vain and send further requests that cannot be served.
    pub fn take_lost_flows(&mut self, now: Instant) -> Vec<(Flow, u32)> {
        let is_end_proven = self.proves_target_end(now);
        // The reason, and the time before which a lost flow of the target was opened, if it matters.
        let reasons: HashMap<Cookie, (Reason, Option<Instant>)> = self
            .flows
            .targets()
            .filter_map(|cookie| {
                let entry = self.view.target(cookie)?;
                if entry.presence == Presence::Gone && is_end_proven {
                    let opened_before = match entry.successor {
                        Some(successor) => Some(successor.started_after?),
                        None => None,
                    };
                    return Some((cookie, (Reason::TargetGone, opened_before)));
                }
                self.observer
                    .is_reset_due_for_all(now, cookie)
                    .then_some((cookie, (Reason::TargetSilent, None)))
            })
            .collect();
        if reasons.is_empty() {
            return Vec::new();
        }
        let limit = self.tuning.reset_batch_limit;
        let mut lost_flows = Vec::new();
        let is_lost = |cookie: Cookie, opened_at: Instant| {
            let reason = reasons.get(&cookie);
            reason.is_some_and(|(_, before)| before.is_none_or(|before| opened_at < before))
        };
        for (flow, cookie, acknowledged) in self.flows.remove_lost(limit, is_lost) {
            let Some((reason, _)) = reasons.get(&cookie).copied() else {
                continue;
            };
            *self.counters.resets.entry(reason).or_default() += 1;
            let target = self.view.target(cookie).map(|entry| entry.target.name.clone());
            self.events.push(Event::Reset { flow, target, reason });
            lost_flows.push((flow, acknowledged));
        }
        lost_flows
    }

    /// Decides on a packet, and updates the counters and events.
    pub fn decide(&mut self, now: Instant, packet: &Packet) -> Verdict {
        let verdict = self.evaluate(now, packet);
        match verdict {
            Verdict::Forward(_) => {
                self.counters.delivered += 1;
                if !self.unresolved_flows.is_empty() {
                    self.unresolved_flows.remove(&packet.flow);
                }
            }
            Verdict::Reset(reason) => {
                *self.counters.resets.entry(reason).or_default() += 1;
                self.flows.remove(&packet.flow);
                self.unresolved_flows.remove(&packet.flow);
                // A refusal has an event of its own, with the evidence.
                if reason != Reason::NoRoom {
                    let target = self.view.target(packet.cookie);
                    let target = target.map(|entry| entry.target.name.clone());
                    self.events.push(Event::Reset { flow: packet.flow, target, reason });
                }
            }
            Verdict::Drop(cause) => {
                *self.counters.drops.entry(cause).or_default() += 1;
                self.events.push(Event::Dropped { flow: packet.flow, cause });
            }
        }
        verdict
    }

    fn evaluate(&mut self, now: Instant, packet: &Packet) -> Verdict {
        if !self.view.is_complete() {
            // The packet is dropped without a reset: the caller retransmits it, and the view may be
            // complete by then.
            return Verdict::Drop(Cause::NotReady);
        }
        match packet.kind {
            Kind::Foreign => Verdict::Drop(Cause::Foreign),
            Kind::Open { attempt } => self.decide_open(now, packet, attempt),
            Kind::Data | Kind::Finish | Kind::Reset => self.decide_established(now, packet),
        }
    }

    /// Returns whether the configuration is recent enough to prove that a route does not exist.
    fn is_config_current(&self, now: Instant) -> bool {
        is_within(now, self.view.confirmed_at, self.tuning.maximum_config_age)
    }

    /// Decides on an opening packet.
    fn decide_open(&mut self, now: Instant, packet: &Packet, attempt: u32) -> Verdict {
        if self.drop_opens_until.is_some_and(|until| now < until) {
            return Verdict::Drop(Cause::Paused);
        }
        let flow = packet.flow;
        let hash = hash(&flow);
        let Some(route) = self.view.route(flow.service) else {
            // An outdated configuration may lack a new route, so the first copy is then dropped. A
            // retransmission is reset in any case.
            let should_reset = self.is_config_current(now) || attempt > 0;
            return if should_reset {
                Verdict::Reset(Reason::NoRoute)
            } else {
                Verdict::Drop(Cause::StaleView)
            };
        };
        let Some(service) = route.service(hash).cloned() else {
            return Verdict::Reset(Reason::NoRoute);
        };
        let previous_target = self.record_open_copy(now, packet, attempt);
        if let Some(cookie) = previous_target
            && let Some(entry) = self.view.target(cookie)
            && self.should_keep_target(entry)
        {
            self.counters.repeated += 1;
            let opened_at = self.flows.first_packet_at(&flow).unwrap_or(now);
            self.events.push(Event::Repeated {
                flow,
                target: entry.target.name.clone(),
                attempt,
                after_ms: now.saturating_duration_since(opened_at).as_millis() as u64,
            });
            return Verdict::Forward(entry.destination());
        }
        if previous_target.is_none() && !self.is_admitted(now, packet, attempt, &service) {
            return Verdict::Reset(Reason::NoRoom);
        }
        self.place(now, packet, attempt, &service, previous_target)
    }

    /// Decides whether a new flow is admitted, and records an event if not.
    fn is_admitted(
        &mut self,
        now: Instant,
        packet: &Packet,
        attempt: u32,
        service: &Arc<str>,
    ) -> bool {
        let Packet { flow, sequence, .. } = *packet;
        let (Some(room), Some(config)) = (&mut self.room, &self.view.config) else {
            return true;
        };
        // A target may have opened the flow, also if this daemon knows it only from later packets.
        if self.flows.cookie(&flow).is_some() {
            return true;
        }
        let lifetime = self.tuning.opening_copy_lifetime;
        if room.refuse_copy(now, &flow, sequence, attempt, lifetime) {
            self.events.push(Event::RefusedAgain { flow, attempt });
            return false;
        }
        // Another daemon may have forwarded an earlier copy.
        if attempt > 0 {
            return true;
        }
        // The other zones matter only if the own zone is full.
        let zones = match room.is_zone_full(now, service, &self.zone) {
            true => Selector {
                now,
                view: &self.view,
                tuning: &self.tuning,
                zone: &self.zone,
                cold_sharers: self.cold_sharers,
                zone_daemons: self.zone_daemons,
                estimator: &self.estimator,
                report_table: &self.report_table,
                room: None,
            }
            .usable_zones(&mut self.observer, service),
            false => Vec::new(),
        };
        match room.admit(now, config, service, &flow, sequence, &zones) {
            Ok(()) => true,
            Err(refusal) => {
                self.events.push(Event::Refused { flow, service: service.clone(), refusal });
                false
            }
        }
    }

    /// Records a copy of an opening packet, and returns the cookie of the target that got the previous
    /// copy. If that copy did not pass through this daemon, there is none.
    fn record_open_copy(&mut self, now: Instant, packet: &Packet, attempt: u32) -> Option<Cookie> {
        let cookie = self.flows.opening_cookie(now, packet, &self.tuning)?;
        if attempt == 0 {
            // The network has duplicated the packet, which shows nothing about the target.
            let entry = self.view.target(cookie)?;
            return self.should_keep_target(entry).then_some(cookie);
        }
        let signal = self.flows.record_retransmitted_open(now, &packet.flow);
        self.apply_signal(now, packet.flow, cookie, signal);
        Some(cookie)
    }

    /// Returns whether a copy of an opening packet is forwarded to `entry`, the target of the
    /// previous copy. The packet goes to another target only if `entry` is not expected to answer:
    /// if two targets answered, the caller would echo the cookie of the later answer.
    fn should_keep_target(&self, entry: &Entry) -> bool {
        entry.presence != Presence::Gone && !self.observer.is_silent(entry)
    }

    /// Selects a target for a new flow and forwards the opening packet to it. `previous_target` is
    /// the cookie of the target of the previous copy, which is not selected again.
    fn place(
        &mut self,
        now: Instant,
        packet: &Packet,
        attempt: u32,
        service: &Arc<str>,
        previous_target: Option<Cookie>,
    ) -> Verdict {
        let flow = packet.flow;
        self.report_table.refresh(now);
        let selector = Selector {
            now,
            view: &self.view,
            tuning: &self.tuning,
            zone: &self.zone,
            cold_sharers: self.cold_sharers,
            zone_daemons: self.zone_daemons,
            estimator: &self.estimator,
            report_table: &self.report_table,
            room: self.room.as_ref(),
        };
        let choice =
            selector.choose(&mut self.observer, &self.flows, service, &flow, previous_target);
        let Some(choice) = choice else {
            return Verdict::Reset(Reason::NoTarget);
        };
        let view = self.view.clone();
        let Some(entry) = view.target(choice.cookie) else {
            return Verdict::Reset(Reason::NoTarget);
        };
        let open = self.flows.load(choice.cookie).open;
        self.flows.open(now, packet, choice.cookie);
        if self.opened_flows.len() < self.tuning.maximum_flows {
            self.opened_flows.push_back((now, flow));
        }
        if let Some(placed_at) = self.last_placement_by_service.get_mut(service) {
            *placed_at = now;
        } else {
            self.last_placement_by_service.insert(service.clone(), now);
        }
        if entry.is_cold(now) {
            self.observer.record_cold_flow(now, choice.cookie);
        }
        if choice.is_half_open_probe {
            self.observer.record_half_open_probe(now, entry);
        }
        self.counters.placed += 1;
        *self.counters.placed_by.entry(choice.basis()).or_default() += 1;
        self.counters.placed_in_other_zones += u64::from(choice.is_other_zone);
        let name = entry.target.name.clone();
        self.events.push(match previous_target.and_then(|cookie| view.target(cookie)) {
            Some(previous) => {
                self.counters.moved += 1;
                Event::Moved { flow, previous_target: previous.target.name.clone(), target: name }
            }
            None => {
                let (zone, choices) = (entry.target.zone.clone(), choice.choices);
                let basis = choice.basis();
                let expected_ms = choice.expected.map(|time| time.as_millis() as u64);
                Event::Placed {
                    flow,
                    target: name,
                    zone,
                    attempt,
                    open,
                    choices,
                    basis,
                    expected_ms,
                }
            }
        });
        Verdict::Forward(entry.destination())
    }

    /// Decides on a packet of an established flow, which carries a cookie.
    fn decide_established(&mut self, now: Instant, packet: &Packet) -> Verdict {
        let flow = packet.flow;
        if self.view.route(flow.service).is_none() {
            return self.decide_unknown_route(now, packet);
        }
        let view = self.view.clone();
        let entry = match view.target(packet.cookie) {
            Some(entry) => self.possible_holder(&view, &flow, entry),
            None => match self.unseen_start_holder(&view, packet) {
                Some(entry) => {
                    if self.flows.cookie(&flow) != Some(entry.cookie) {
                        let target = entry.target.name.clone();
                        self.events.push(Event::FormerStart { flow, target });
                    }
                    entry
                }
                None => return self.decide_unknown_cookie(now, packet),
            },
        };
        let packet = &Packet { cookie: entry.cookie, ..*packet };
        if !view.may_have_routed(flow.service, &entry.target.service) {
            return Verdict::Drop(Cause::WrongService);
        }
        if packet.kind == Kind::Reset {
            self.flows.remove(&flow);
            return Verdict::Forward(entry.destination());
        }
        if entry.presence == Presence::Gone && self.proves_target_end(now) {
            return Verdict::Reset(Reason::TargetGone);
        }
        let usual_time = || self.estimator.usual_time(now, flow.service, entry);
        let (signal, answer) = self.flows.record_packet(now, packet, usual_time, &self.tuning);
        if let Some(answer) = answer {
            self.record_answer(now, &flow, &answer, entry);
        }
        if let Signal::OpenAnswered(round_trip, SentBy::ThisDaemon) = signal {
            self.estimator.record_opening(&entry.target.zone, round_trip);
        }
        self.apply_signal(now, flow, packet.cookie, signal);
        if self.observer.is_silent(entry) {
            self.observer.request_check(now, entry);
        }
        if matches!(signal, Signal::Retransmitted(_)) && self.is_reset_due(now, entry) {
            return Verdict::Reset(Reason::TargetSilent);
        }
        if packet.kind == Kind::Finish {
            self.flows.close(&flow);
        }
        Verdict::Forward(entry.destination())
    }

    fn record_answer(&mut self, now: Instant, flow: &Flow, answer: &Answer, entry: &Entry) {
        self.estimator.record_answer(now, entry, answer);
        let Some(room) = &mut self.room else {
            return;
        };
        let is_rejection = room.record(now, flow, answer, entry, self.zone_daemons);
        self.counters.rejections += u64::from(is_rejection);
    }

    /// Returns the start of a target that may hold a flow with the cookie of `entry`. If the target
    /// was started again under its id, this is the present start, unless the flow is older. The
    /// target resets a flow that it does not hold.
    fn possible_holder<'a>(&self, view: &'a View, flow: &Flow, entry: &'a Entry) -> &'a Entry {
        let Some(Successor { cookie, started_after }) = entry.successor else {
            return entry;
        };
        let opened_at = self.flows.first_packet_at(flow);
        let is_older = opened_at.zip(started_after).is_some_and(|(opened, after)| opened < after);
        if is_older { entry } else { view.target(cookie).unwrap_or(entry) }
    }

    /// Returns the present start of the target whose former start has the cookie of `packet`, if this
    /// daemon has not seen the former start. The target resets a flow that it does not hold.
    ///
    /// The cookie may also belong to another target of the same identity that this daemon has not read
    /// yet. Nothing is returned for the first packets of a flow until a later read excludes this.
    fn unseen_start_holder<'a>(&self, view: &'a View, packet: &Packet) -> Option<&'a Entry> {
        let entry = view.present_start(packet.cookie)?;
        let is_resolved = self.flows.cookie(&packet.flow) == Some(entry.cookie);
        let first = self.unresolved_flows.get(&packet.flow);
        let is_read_since = first.is_some_and(|(cookie, since)| {
            *cookie == packet.cookie && self.is_read_after_grace(*since)
        });
        (is_resolved || is_read_since).then_some(entry)
    }

    /// Decides on a packet of an established flow whose service address has no known route. The flow
    /// is reset only after a later confirmation of the configuration, since another daemon may have
    /// read a newer one that adds the route.
    fn decide_unknown_route(&mut self, now: Instant, packet: &Packet) -> Verdict {
        if packet.kind == Kind::Reset {
            return Verdict::Drop(Cause::UnknownReset);
        }
        let Some(since) = self.record_unresolved(now, packet) else {
            return Verdict::Drop(Cause::StaleView);
        };
        let confirmed_at = self.view.confirmed_at;
        if confirmed_at.is_some_and(|at| at >= since + self.tuning.unresolved_flow_grace) {
            Verdict::Reset(Reason::NoRoute)
        } else {
            Verdict::Drop(Cause::StaleView)
        }
    }

    /// Decides on a packet whose cookie belongs to no known target and to no former start of one. The
    /// flow is reset only after a later read of the targets, since the target may have started
    /// recently.
    fn decide_unknown_cookie(&mut self, now: Instant, packet: &Packet) -> Verdict {
        if packet.kind == Kind::Reset {
            return Verdict::Drop(Cause::UnknownReset);
        }
        let Some(since) = self.record_unresolved(now, packet) else {
            return Verdict::Drop(Cause::UnknownCookie);
        };
        if self.is_read_after_grace(since) && self.view.is_absence_conclusive {
            Verdict::Reset(Reason::UnknownCookie)
        } else {
            Verdict::Drop(Cause::UnknownCookie)
        }
    }

    /// Returns whether the targets were read after a flow with an unknown cookie had been seen at
    /// `since`, so that a target that had started by then is known.
    fn is_read_after_grace(&self, since: Instant) -> bool {
        let read_at = self.view.read_at;
        read_at.is_some_and(|at| at >= since + self.tuning.unresolved_flow_grace)
    }

    /// Records a packet of an established flow whose route or cookie is not known, and returns when
    /// the first such packet arrived. Returns `None` if too many flows are recorded.
    fn record_unresolved(&mut self, now: Instant, packet: &Packet) -> Option<Instant> {
        // Another cookie belongs to a later flow between the same addresses and ports.
        let known = self.unresolved_flows.get(&packet.flow);
        if let Some((_, since)) = known.filter(|(cookie, _)| *cookie == packet.cookie) {
            return Some(*since);
        }
        if known.is_none() && self.unresolved_flows.len() >= MAXIMUM_UNRESOLVED_FLOWS {
            return None;
        }
        self.unresolved_flows.insert(packet.flow, (packet.cookie, now));
        Some(now)
    }

    /// Returns whether the target or its zone has been silent for so long that a flow is reset when
    /// its caller retransmits.
    fn is_reset_due(&self, now: Instant, entry: &Entry) -> bool {
        self.observer.is_reset_due(now, entry.cookie) || self.observer.is_zone_reset_due(now, entry)
    }

    /// Returns whether a missing store entry proves that its target has ended: the store has been
    /// available for long enough, and the targets were read recently.
    fn proves_target_end(&self, now: Instant) -> bool {
        self.view.is_absence_conclusive
            && is_within(now, self.view.read_at, self.tuning.maximum_targets_age)
    }

    /// Updates the health of the target with `cookie` by the signal of a packet of `flow`.
    fn apply_signal(&mut self, now: Instant, flow: Flow, cookie: Cookie, signal: Signal) {
        let Some(entry) = self.view.target(cookie) else {
            return;
        };
        if let Signal::OpenAnswered(waited, _) = signal {
            self.opening_delays.push(waited);
        }
        let events = match signal {
            Signal::Neutral => return,
            Signal::OpenAnswered(_, sent_by) | Signal::Answered(sent_by) => {
                self.observer.record_answer(now, entry, sent_by, &self.view)
            }
            Signal::Retransmitted(sent) => {
                self.counters.retransmissions += 1;
                self.observer.record_retransmission(now, flow, sent, entry)
            }
        };
        self.record_health_events(events);
    }

    fn record_health_events(&mut self, events: Vec<Event>) {
        for event in &events {
            match event {
                Event::TargetFellSilent { .. } => self.counters.silences += 1,
                Event::ZoneFellSilent { .. } => self.counters.zone_silences += 1,
                _ => {}
            }
        }
        self.events.extend(events);
    }
}

/// Returns whether `instant` was less than `maximum_age` ago.
fn is_within(now: Instant, instant: Option<Instant>, maximum_age: Duration) -> bool {
    instant.is_some_and(|instant| now.saturating_duration_since(instant) < maximum_age)
}

/// Returns a hash of a flow that is the same in every daemon.
fn hash(flow: &Flow) -> u64 {
    let ends = [flow.caller, flow.service];
    let [caller, service] =
        ends.map(|end| u64::from(end.ip().to_bits()) << 16 | u64::from(end.port()));
    util::score(caller, service)
}
