//! The views of the failure detectors converge after every kind of failure, and the ranking is the
//! same function of the view in every daemon.

mod detectors;

use std::{
    collections::{BTreeMap, BTreeSet, HashSet},
    sync::Arc,
    time::{Duration, Instant},
};

use banyanwharf::{
    flow::SLOTS,
    member::{
        Config, Detector, Entry, Id, Info, Member, Message, Output, Owners, Ranking, Status,
        Update, View,
    },
};
use bolero::TypeGenerator;
use detectors::{Fleet, info};

#[derive(Debug, Clone, TypeGenerator)]
enum Op {
    /// Runs for up to 39 s.
    Run(u8),
    Crash(u8),
    Restart(u8),
    /// Announces the departure of a daemon.
    Leave(u8),
    /// Pauses a daemon for a number of intervals of 100 ms.
    Pause(u8, u8),
    /// Puts each daemon on the side that its bit selects.
    Partition(u8),
    /// Ends the partition.
    Heal,
    /// Sets the loss, duplication and delay of messages.
    Loss(u8),
}

#[derive(Debug, Clone, TypeGenerator)]
struct Plan {
    seed: u64,
    size: u8,
    ops: Vec<Op>,
}

/// A graceful departure, and whether a partition or a pause may have hidden it from other daemons.
#[derive(Clone, Copy)]
struct Departure {
    daemon: usize,
    incarnation: u64,
    at: Instant,
    hidden: bool,
}

struct Run {
    fleet: Fleet,
    departures: Vec<Departure>,
    /// When the last partition or pause ended or will end.
    disturbance_end: Option<Instant>,
}

impl Run {
    fn step(&mut self, op: &Op) {
        let size = self.fleet.daemons.len();
        let pick = |index: u8| usize::from(index) % size;
        match *op {
            Op::Run(seconds) => self.run(u64::from(seconds % 40)),
            Op::Crash(index) => self.fleet.crash(pick(index)),
            Op::Restart(index) => {
                self.fleet.crash(pick(index));
                // A process takes longer than 1 ms to start.
                self.fleet.run(Duration::from_millis(5));
                self.fleet.start(pick(index));
            }
            Op::Leave(index) => {
                let index = pick(index);
                if self.fleet.daemons[index].detector.is_none() {
                    return;
                }
                let now = self.fleet.now;
                let id = self.fleet.id(index);
                let member =
                    self.fleet.detector(index).view().get(id).expect("the view has its own member");
                self.departures.push(Departure {
                    daemon: index,
                    incarnation: member.incarnation,
                    at: now,
                    hidden: self.is_disturbed(),
                });
                self.fleet.with_detector(index, |detector| detector.announce_leaving(now));
                self.run(3);
                let now = self.fleet.now;
                self.fleet.with_detector(index, |detector| detector.announce_left(now));
                self.run(3);
            }
            Op::Pause(index, seconds) => {
                let time = Duration::from_millis(100 * u64::from(seconds));
                self.fleet.pause(pick(index), time);
                self.record_disturbance(time);
            }
            Op::Partition(mask) => {
                for (index, daemon) in self.fleet.daemons.iter_mut().enumerate() {
                    daemon.side = (mask >> (index % 8)) & 1;
                }
                self.record_disturbance(Duration::ZERO);
            }
            Op::Heal => {
                self.fleet.daemons.iter_mut().for_each(|d| d.side = 0);
                self.record_disturbance(Duration::ZERO);
            }
            Op::Loss(percent) => {
                self.fleet.loss = f64::from(percent % 30) / 100.0;
                self.fleet.duplication = f64::from(percent % 7) / 50.0;
                self.fleet.max_delay = Duration::from_millis(u64::from(percent));
            }
        }
    }

    fn record_disturbance(&mut self, time: Duration) {
        let end = self.fleet.now + time;
        self.disturbance_end = self.disturbance_end.max(Some(end));
        for departure in &mut self.departures {
            departure.hidden |= self.fleet.now - departure.at < Duration::from_secs(120);
        }
    }

    /// Returns whether there is a partition, or there was a partition or a pause in the last
    /// minute.
    fn is_disturbed(&self) -> bool {
        let is_recent = |at| self.fleet.now.saturating_duration_since(at) < Duration::from_secs(60);
        self.disturbance_end.is_some_and(is_recent)
            || self.fleet.daemons.iter().any(|d| d.side != 0)
    }

    /// Runs and checks every second that no daemon regards a departed member as failed.
    fn run(&mut self, seconds: u64) {
        for _ in 0..seconds {
            self.fleet.run(Duration::from_secs(1));
            for departure in &self.departures {
                if departure.hidden {
                    continue;
                }
                let id = self.fleet.id(departure.daemon);
                // A departure takes 6 s, so the incarnation of a later process is outside this
                // range.
                let process = departure.incarnation..departure.incarnation + 1000;
                for index in self.fleet.running() {
                    let member = self.fleet.detector(index).view().get(id);
                    assert!(
                        member.is_none_or(|member| member.status != Status::Failed
                            || !process.contains(&member.incarnation)),
                        "daemon {index} regards the departed daemon {} as failed",
                        departure.daemon
                    );
                }
            }
        }
    }

    /// Checks the views of each side after a time without changes.
    fn check(&self) {
        for index in self.fleet.running() {
            let own = &self.fleet.daemons[index];
            let view = self.fleet.detector(index).view();
            for (other, daemon) in self.fleet.daemons.iter().enumerate() {
                let status = view.get(self.fleet.id(other)).map(|member| member.status);
                let reachable = daemon.detector.is_some() && daemon.side == own.side;
                let alive = status == Some(Status::Alive);
                assert_eq!(
                    alive, reachable,
                    "{} has {} as {status:?}, reachable: {reachable}",
                    own.info.name, daemon.info.name
                );
                if alive {
                    let known = view.get(self.fleet.id(other)).map(|member| &member.info);
                    assert_eq!(known, Some(&daemon.info), "the view has an old description");
                }
            }
            let statuses: Vec<(Id, Status)> =
                view.iter().map(|(id, member)| (id, member.status)).collect();
            assert_eq!(statuses, own.published, "a change was not published");
            assert!(own.largest_frame_bytes <= 400, "a frame of {} bytes", own.largest_frame_bytes);
        }
        let mut digests = BTreeMap::new();
        for index in self.fleet.running() {
            let side = self.fleet.daemons[index].side;
            let digest = self.fleet.detector(index).digest();
            assert_eq!(*digests.entry(side).or_insert(digest), digest);
        }
    }
}

/// Guards against views that differ permanently, running members that stay failed, stopped members
/// that stay alive, and departures that are mistaken for failures.
#[test]
fn views_converge_after_any_failures() {
    bolero::check!().with_type::<Plan>().with_iterations(60).for_each(|plan| {
        let size = 2 + usize::from(plan.size % 7);
        let mut run = Run {
            fleet: Fleet::new(size, 3, plan.seed),
            departures: Vec::new(),
            disturbance_end: None,
        };
        (0..size).for_each(|index| run.fleet.start(index));
        run.run(5);
        for op in plan.ops.iter().take(24) {
            run.step(op);
        }
        run.fleet.loss = 0.0;
        run.fleet.daemons.iter_mut().for_each(|d| {
            d.paused_until = d.paused_until.map(|until| until.min(run.fleet.now));
        });
        // Each of at most seven contacts is pinged once in 70 s. The contacts contain the current
        // addresses of daemons that restarted while others could not receive their messages.
        run.fleet.update_contacts();
        run.run(80);
        run.check();
        run.step(&Op::Heal);
        run.run(80);
        run.check();
    });
}

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Starts `size` daemons and runs until they know each other.
fn started(size: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(size, 3, seed);
    (0..size).for_each(|index| fleet.start(index));
    fleet.run(seconds(20));
    fleet
}

/// Guards against a daemon that suspects other members because its own ticks are late.
#[test]
fn daemon_with_late_ticks_suspects_no_member() {
    bolero::check!().with_type::<u64>().with_iterations(10).for_each(|&seed| {
        let mut fleet = started(6, seed);
        fleet.daemons[0].tick = Duration::from_millis(900);
        fleet.crash(5);
        // Without messages of the others, only its own pings could tell it of the crash.
        fleet.daemons[0].side = 1;
        fleet.run(seconds(60));
        let view = fleet.detector(0).view();
        assert!(view.iter().all(|(_, member)| member.status == Status::Alive));
        assert!(fleet.detector(0).counters().late_ticks > 50);
        fleet.daemons[0].side = 0;
        fleet.run(seconds(30));
        assert_eq!(fleet.count_with_status(fleet.id(5), &[Status::Failed]), 5);
        assert_eq!(fleet.count_with_status(fleet.id(0), &[Status::Alive]), 5);
    });
}

/// Guards against a daemon that forwards with an outdated view after a pause.
#[test]
fn paused_daemon_confirms_its_view() {
    bolero::check!().with_type::<u64>().with_iterations(10).for_each(|&seed| {
        let mut fleet = started(40, seed);
        fleet.pause(0, seconds(120));
        for index in 10..20 {
            fleet.crash(index);
        }
        fleet.run(seconds(60));
        for index in 10..15 {
            fleet.start(index);
        }
        fleet.run(seconds(59));
        fleet.daemons[0].drop_inbox();
        fleet.run(Duration::from_millis(3100));
        let [(complete, alive)] = &fleet.daemons[0].confirmations[..] else {
            panic!("the number of confirmations is not 1");
        };
        assert!(complete);
        for index in 1..40 {
            let is_alive = !(15..20).contains(&index);
            assert_eq!(alive.contains(&fleet.id(index)), is_alive, "{index}");
            let member = fleet.detector(0).view().get(fleet.id(index));
            let known = member.map(|member| &member.info);
            assert_eq!(known, Some(&fleet.daemons[index].info));
        }
    });
}

/// Guards against sides of a partition that never find each other without the platform's list,
/// members of one side that believe the other side's claims about their own side, and one blocked
/// link between two daemons that is mistaken for a failure.
#[test]
fn partitions_merge_without_the_platform() {
    bolero::check!().with_type::<u64>().with_iterations(10).for_each(|&seed| {
        let mut fleet = started(9, seed);
        let now = fleet.now;
        for index in 0..9 {
            fleet.with_detector(index, |detector| detector.set_contacts(now, []));
            fleet.daemons[index].side = u8::from(index < 3);
        }
        fleet.run(seconds(40));
        assert_eq!(fleet.count_with_status(fleet.id(0), &[Status::Failed]), 6);
        assert_eq!(fleet.count_with_status(fleet.id(5), &[Status::Failed]), 3);
        fleet.daemons.iter_mut().for_each(|daemon| daemon.side = 0);
        for _ in 0..60 {
            fleet.run(seconds(1));
            for side in [0..3, 3..9] {
                for (index, other) in side.clone().flat_map(|i| side.clone().map(move |j| (i, j))) {
                    let member = fleet.detector(index).view().get(fleet.id(other));
                    assert_eq!(member.map(|member| member.status), Some(Status::Alive));
                }
            }
        }
        for index in 0..9 {
            assert_eq!(fleet.count_with_status(fleet.id(index), &[Status::Alive]), 9);
        }

        let refutations = |fleet: &Fleet| -> u64 {
            let counters = (0..9).map(|index| fleet.detector(index).counters());
            counters.map(|counters| counters.refutations).sum()
        };
        let before = refutations(&fleet);
        fleet.blocked_link = Some((1, 6));
        fleet.run(seconds(120));
        assert_eq!(refutations(&fleet), before);
    });
}

/// Guards against a departure that is reported as a failure because its last message was lost: a
/// leaving member has a longer suspicion timeout.
#[test]
fn crashed_leaving_member_fails_after_a_longer_suspicion() {
    let mut fleet = started(6, 11);
    let now = fleet.now;
    fleet.with_detector(2, |detector| detector.announce_leaving(now));
    fleet.run(seconds(5));
    assert_eq!(fleet.count_with_status(fleet.id(2), &[Status::Leaving]), 6);
    fleet.crash(2);
    fleet.run(seconds(25));
    assert_eq!(fleet.count_with_status(fleet.id(2), &[Status::Suspect]), 5);
    fleet.run(seconds(30));
    assert_eq!(fleet.count_with_status(fleet.id(2), &[Status::Failed]), 5);
}

/// Guards against a joiner that needs more than one call to a peer for the member list.
#[test]
fn joiner_merges_a_snapshot() {
    let mut fleet = Fleet::new(12, 3, 7);
    (0..11).for_each(|index| fleet.start(index));
    fleet.run(seconds(20));
    fleet.crash(10);
    fleet.run(seconds(30));
    fleet.join(11, 0);
    assert_eq!(fleet.detector(11).view().len(), 12);
    let failed = fleet.detector(11).view().get(fleet.id(10));
    assert_eq!(failed.map(|member| member.status), Some(Status::Failed));
    fleet.run(seconds(5));
    assert_eq!(fleet.count_with_status(fleet.id(11), &[Status::Alive]), 11);
    assert_eq!(fleet.detector(11).digest(), fleet.detector(0).digest());
}

/// Guards against views that grow without bound, and against forgotten members that return.
#[test]
fn old_members_are_forgotten() {
    let mut fleet = Fleet::new(6, 3, 3);
    fleet.config.failed_retention = seconds(3600);
    (0..6).for_each(|index| fleet.start(index));
    fleet.run(seconds(20));
    fleet.crash(4);
    let now = fleet.now;
    fleet.with_detector(5, |detector| detector.announce_left(now));
    fleet.run(seconds(500));
    assert_eq!(fleet.count_with_status(fleet.id(5), &[Status::Left]), 4);
    fleet.run(seconds(200));
    assert_eq!(fleet.detector(0).view().len(), 5);
    fleet.run(seconds(2800));
    assert_eq!(fleet.count_with_status(fleet.id(4), &[Status::Failed]), 4);
    fleet.run(seconds(300));
    for index in fleet.running() {
        assert_eq!(fleet.detector(index).view().len(), 4);
    }
}

/// Guards against a member whose id is taken over by a member with another name.
#[test]
fn colliding_ids_are_refused() {
    let now = Instant::now();
    let mut detector = Detector::new(Config::default(), info(0, 0), 5, 1, now);
    let update = |id: Id, info: &Info| Update {
        id,
        incarnation: 9,
        status: Status::Alive,
        checksum: info.checksum(),
        info: Some(Arc::new(info.clone())),
    };
    let updates = vec![
        update(info(1, 0).id(), &info(1, 0)),
        update(info(1, 0).id(), &info(2, 0)),
        update(info(0, 0).id(), &info(2, 0)),
    ];
    let (from, sequence) = (info(1, 0), 1);
    let message = Message::Ping { sequence, updates };
    detector.on_message(now, from.id(), from.peer, message, &mut Vec::new());
    assert_eq!(detector.counters().collisions, 2);
    assert_eq!(detector.view().get(from.id()).map(|m| &m.info), Some(&from));
    assert_eq!(detector.view().len(), 2);
}

/// The values of a message, most of them from small ranges so that messages refer to the same
/// members.
#[derive(Debug, Clone, TypeGenerator)]
struct MessageValues {
    kind: u8,
    from: u8,
    sequence: u8,
    delay_ms: u16,
    updates: Vec<(u8, u64, u8, bool)>,
    ids: Vec<u64>,
    range: (u64, u64),
}

fn message(values: &MessageValues) -> Message {
    let status = |status: u8| match status % 5 {
        0 => Status::Alive,
        1 => Status::Leaving,
        2 => Status::Suspect,
        3 => Status::Failed,
        _ => Status::Left,
    };
    let updates: Vec<Update> = values
        .updates
        .iter()
        .map(|&(index, incarnation, state, with_info)| Update {
            id: info(usize::from(index % 4), 0).id(),
            incarnation,
            status: status(state),
            checksum: if state < 128 { 0 } else { info(usize::from(index % 4), 0).checksum() },
            info: with_info.then(|| Arc::new(info(usize::from(index % 4), 0))),
        })
        .collect();
    let entries = updates.iter().map(|update| Entry {
        id: update.id,
        incarnation: update.incarnation,
        status: update.status,
        checksum: update.checksum,
    });
    let sequence = u32::from(values.sequence);
    match values.kind % 6 {
        0 => Message::Ping { sequence, updates },
        1 => Message::Ack { sequence, updates },
        2 => Message::PingRequest {
            sequence,
            target: info(usize::from(values.sequence % 4), 0).id(),
            updates,
        },
        3 => Message::Digest {
            sequence,
            urgent: values.sequence.is_multiple_of(2),
            buckets: values.ids.iter().map(|id| (*id as u32).to_le_bytes()).collect(),
        },
        4 => Message::Summary {
            sequence,
            parts: values.kind,
            from: values.range.0,
            to: values.range.1,
            entries: entries.collect(),
        },
        _ => Message::Updates { updates, wanted: values.ids.clone() },
    }
}

/// Guards against panics, messages that change the daemon's own entry, and long answers.
#[test]
fn arbitrary_messages_do_not_corrupt_the_detector() {
    bolero::check!().with_type::<Vec<MessageValues>>().with_iterations(2000).for_each(|messages| {
        let mut now = Instant::now();
        let mut detector = Detector::new(Config::default(), info(0, 0), 5, 1, now);
        for values in messages {
            let mut out = Vec::new();
            now += Duration::from_millis(values.delay_ms.into());
            detector.confirm(now);
            detector.on_tick(now, &mut out);
            let from = info(usize::from(values.from % 4), 0);
            detector.on_message(now, from.id(), from.peer, message(values), &mut out);
            let own = detector.view().get(detector.id()).expect("the view has its own member");
            assert_eq!(own.status, Status::Alive);
            assert!(own.incarnation >= 5);
            assert!(out.len() < 200);
            for output in &out {
                let Output::Send { message, .. } = output else {
                    continue;
                };
                if let Message::Ping { updates, .. } | Message::Ack { updates, .. } = message {
                    assert!(updates.len() <= 8);
                }
            }
        }
    });
}

#[derive(Debug, Clone, TypeGenerator)]
enum Change {
    /// Sets a member's status and zone.
    Set(u8, u8, u8),
    Remove(u8),
    /// Takes a zone out of service, or back into service.
    ZoneOut(u8),
    /// Waits for a number of intervals of 10 ms.
    Wait(u16),
}

fn owners(ranking: &Ranking) -> Vec<Option<Owners>> {
    (0..SLOTS).map(|slot| ranking.owners(slot)).collect()
}

/// Guards against an incremental ranking that differs from a full one, owners in one zone although
/// there are two, changed hash slots that the changed member does not own, and lost former owners.
#[test]
fn incremental_ranking_equals_a_full_one() {
    bolero::check!().with_type::<(u8, Vec<Change>)>().with_iterations(60).for_each(
        |(size, changes)| {
            let mut now = Instant::now();
            let mut view = View::new();
            let mut zones_out: HashSet<Arc<str>> = HashSet::new();
            let member = |index: u8, zone: u8, status, since| Member {
                info: info(index.into(), zone.into()),
                incarnation: 1,
                status,
                since,
            };
            let size = 1 + size % 40;
            for index in 0..size {
                view.insert(member(index, index % 3, Status::Alive, now));
            }
            let mut ranking = Ranking::new(&view, "montevideo", &zones_out);
            let mut history: BTreeMap<u16, Vec<(Instant, Id)>> = BTreeMap::new();
            // Whether the ranking contained members that are alive, rather than the reserve.
            let mut is_ranked = true;
            for change in changes.iter().take(30) {
                let before = ranking.clone();
                let mut touched = None;
                match *change {
                    Change::Set(index, zone, status) => {
                        let status = match status % 4 {
                            0 | 1 => Status::Alive,
                            2 => Status::Leaving,
                            _ => Status::Suspect,
                        };
                        let new = member(index % size, zone % 4, status, now);
                        touched = Some(new.info.id());
                        view.insert(new);
                    }
                    Change::Remove(index) => {
                        let id = info((index % size).into(), 0).id();
                        touched = Some(id);
                        view.remove(id);
                    }
                    Change::ZoneOut(zone) => {
                        let zone = info(0, (zone % 4).into()).zone;
                        if !zones_out.remove(&zone) {
                            zones_out.insert(zone);
                        }
                    }
                    Change::Wait(time) => now += Duration::from_millis(10 * u64::from(time)),
                }
                ranking.update(now, &view, "montevideo", &zones_out);
                let full = Ranking::new(&view, "montevideo", &zones_out);
                assert_eq!(owners(&ranking), owners(&full));
                assert_eq!(owners(&full.with_previous(&before, now)), owners(&ranking));
                let ranked = |id: Id| {
                    let zone = &view.get(id).expect("owners are members").info.zone;
                    (zone.clone(), zones_out.contains(zone))
                };
                let alive: BTreeSet<Arc<str>> = view
                    .iter()
                    .filter(|(_, m)| m.status == Status::Alive)
                    .map(|(_, m)| m.info.zone.clone())
                    .filter(|zone| !zones_out.contains(zone))
                    .collect();
                let only_present = alive.len() >= 2;
                let was_ranked = std::mem::replace(&mut is_ranked, !alive.is_empty());
                for slot in 0..SLOTS {
                    let (old, new) = (before.owners(slot), ranking.owners(slot));
                    if let Some(owners) = new
                        && only_present
                    {
                        let secondary = owners.secondary.expect("there are two zones");
                        assert_ne!(ranked(owners.primary).0, ranked(secondary).0);
                        assert!(!ranked(owners.primary).1 && !ranked(secondary).1);
                    }
                    let former: Vec<Id> = ranking.former_owner_ids(slot).collect();
                    assert!(former.len() <= 6);
                    if old == new {
                        assert_eq!(ranking.changed_at(slot), before.changed_at(slot));
                        continue;
                    }
                    assert_eq!(ranking.changed_at(slot), Some(now));
                    if let (Some(id), Some(old), Some(new)) = (touched, old, new)
                        && only_present
                        && was_ranked
                    {
                        assert!(
                            old.contains(id) || new.contains(id),
                            "a hash slot of other members changed"
                        );
                    }
                    for id in old.iter().flat_map(Owners::iter) {
                        history.entry(slot).or_default().push((now, id));
                        assert!(new.is_some_and(|new| new.contains(id)) || former.contains(&id));
                    }
                }
                for (slot, past) in &history {
                    let fresh = |at: Instant| now - at < Duration::from_secs(600);
                    for id in ranking.former_owner_ids(*slot) {
                        assert!(past.iter().any(|(at, old)| *old == id && fresh(*at)));
                    }
                }
            }
        },
    );
}
