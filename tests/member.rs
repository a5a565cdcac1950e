//! The failure detector must converge after every kind of failure, and the ranking must be the
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
    Run(u8),
    Crash(u8),
    Restart(u8),
    Leave(u8),
    Pause(u8, u8),
    Partition(u8),
    Heal,
    Loss(u8),
}

#[derive(Debug, Clone, TypeGenerator)]
struct Plan {
    seed: u64,
    size: u8,
    ops: Vec<Op>,
}

/// A graceful departure, and whether a partition or a pause may have hidden it from others.
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
    disturbed: Option<Instant>,
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
                    self.fleet.detector(index).view().get(id).expect("a daemon knows itself");
                self.departures.push(Departure {
                    daemon: index,
                    incarnation: member.incarnation,
                    at: now,
                    hidden: self.is_disturbed(),
                });
                self.fleet.with(index, |detector| detector.announce_leaving(now));
                self.run(3);
                let now = self.fleet.now;
                self.fleet.with(index, |detector| detector.announce_left(now));
                self.run(3);
            }
            Op::Pause(index, seconds) => {
                let time = Duration::from_millis(100 * u64::from(seconds));
                self.fleet.pause(pick(index), time);
                self.disturb(time);
            }
            Op::Partition(mask) => {
                for (index, daemon) in self.fleet.daemons.iter_mut().enumerate() {
                    daemon.side = (mask >> (index % 8)) & 1;
                }
                self.disturb(Duration::ZERO);
            }
            Op::Heal => {
                self.fleet.daemons.iter_mut().for_each(|d| d.side = 0);
                self.disturb(Duration::ZERO);
            }
            Op::Loss(percent) => {
                self.fleet.loss = f64::from(percent % 30) / 100.0;
                self.fleet.duplication = f64::from(percent % 7) / 50.0;
                self.fleet.max_delay = Duration::from_millis(u64::from(percent));
            }
        }
    }

    fn disturb(&mut self, time: Duration) {
        let end = self.fleet.now + time;
        self.disturbed = self.disturbed.max(Some(end));
        for departure in &mut self.departures {
            departure.hidden |= self.fleet.now - departure.at < Duration::from_secs(120);
        }
    }

    /// Returns whether there is a partition or was a disturbance in the last minute.
    fn is_disturbed(&self) -> bool {
        let lately = |at| self.fleet.now.saturating_duration_since(at) < Duration::from_secs(60);
        self.disturbed.is_some_and(lately) || self.fleet.daemons.iter().any(|d| d.side != 0)
    }

    /// Runs and checks every second that no departure is taken for a failure.
    fn run(&mut self, seconds: u64) {
        for _ in 0..seconds {
            self.fleet.run(Duration::from_secs(1));
            for departure in &self.departures {
                if departure.hidden {
                    continue;
                }
                let id = self.fleet.id(departure.daemon);
                // A departure takes 6 s, so a later process of the name is beyond this range.
                let process = departure.incarnation..departure.incarnation + 1000;
                for index in self.fleet.running() {
                    let member = self.fleet.detector(index).view().get(id);
                    assert!(
                        member.is_none_or(|member| member.status != Status::Failed
                            || !process.contains(&member.incarnation)),
                        "{index} takes the departure of {} for a failure",
                        departure.daemon
                    );
                }
            }
        }
    }

    /// Checks the views of each side after a quiet time.
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
                    "{} holds {} as {status:?}, reachable: {reachable}",
                    own.info.name, daemon.info.name
                );
                if alive {
                    let known = view.get(self.fleet.id(other)).map(|member| &member.info);
                    assert_eq!(known, Some(&daemon.info), "an old description is kept");
                }
            }
            let statuses: Vec<(Id, Status)> =
                view.iter().map(|(id, member)| (id, member.status)).collect();
            assert_eq!(statuses, own.published, "a change was not published");
            assert!(own.largest <= 400, "a frame of {} bytes", own.largest);
        }
        let mut digests = BTreeMap::new();
        for index in self.fleet.running() {
            let side = self.fleet.daemons[index].side;
            let digest = self.fleet.detector(index).digest();
            assert_eq!(*digests.entry(side).or_insert(digest), digest);
        }
    }
}

/// Guards against views that stay apart, live members that stay failed, dead ones that stay
/// alive, and departures that are taken for failures.
#[test]
fn views_converge_after_any_failures() {
    bolero::check!().with_type::<Plan>().with_iterations(60).for_each(|plan| {
        let size = 2 + usize::from(plan.size % 7);
        let mut run =
            Run { fleet: Fleet::new(size, 3, plan.seed), departures: Vec::new(), disturbed: None };
        (0..size).for_each(|index| run.fleet.start(index));
        run.run(5);
        for op in plan.ops.iter().take(24) {
            run.step(op);
        }
        run.fleet.loss = 0.0;
        run.fleet.daemons.iter_mut().for_each(|d| {
            d.paused_until = d.paused_until.map(|until| until.min(run.fleet.now));
        });
        // Each of at most seven contacts is pinged once in 70 s. The platform lists the
        // present addresses of daemons that restarted while others could not hear them.
        run.fleet.list();
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

/// Starts `size` daemons that know each other.
fn started(size: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(size, 3, seed);
    (0..size).for_each(|index| fleet.start(index));
    fleet.run(seconds(20));
    fleet
}

/// Guards against a daemon that takes others for failed because it is slow itself.
#[test]
fn late_daemon_suspects_nobody() {
    bolero::check!().with_type::<u64>().with_iterations(10).for_each(|&seed| {
        let mut fleet = started(6, seed);
        fleet.daemons[0].tick = Duration::from_millis(900);
        fleet.crash(5);
        // Without the others it can only learn of the crash from itself.
        fleet.daemons[0].side = 1;
        fleet.run(seconds(60));
        let view = fleet.detector(0).view();
        assert!(view.iter().all(|(_, member)| member.status == Status::Alive));
        assert!(fleet.detector(0).counters().late_ticks > 50);
        fleet.daemons[0].side = 0;
        fleet.run(seconds(30));
        assert_eq!(fleet.holders(fleet.id(5), &[Status::Failed]), 5);
        assert_eq!(fleet.holders(fleet.id(0), &[Status::Alive]), 5);
    });
}

/// Guards against a daemon that serves with an old view after a pause.
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
        let [(complete, alive)] = &fleet.daemons[0].confirmed[..] else {
            panic!("there is one confirmation");
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
/// members of one side that believe the other side's reports about their own, and an open link
/// between two daemons that is taken for a failure.
#[test]
fn partitions_merge_without_the_platform() {
    bolero::check!().with_type::<u64>().with_iterations(10).for_each(|&seed| {
        let mut fleet = started(9, seed);
        let now = fleet.now;
        for index in 0..9 {
            fleet.with(index, |detector| detector.set_contacts(now, []));
            fleet.daemons[index].side = u8::from(index < 3);
        }
        fleet.run(seconds(40));
        assert_eq!(fleet.holders(fleet.id(0), &[Status::Failed]), 6);
        assert_eq!(fleet.holders(fleet.id(5), &[Status::Failed]), 3);
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
            assert_eq!(fleet.holders(fleet.id(index), &[Status::Alive]), 9);
        }

        let refutations = |fleet: &Fleet| -> u64 {
            let counters = (0..9).map(|index| fleet.detector(index).counters());
            counters.map(|counters| counters.refutations).sum()
        };
        let before = refutations(&fleet);
        fleet.cut = Some((1, 6));
        fleet.run(seconds(120));
        assert_eq!(refutations(&fleet), before);
    });
}

/// Guards against a departure that is reported as a failure because its last message was lost.
#[test]
fn silent_leaving_member_has_time() {
    let mut fleet = started(6, 11);
    let now = fleet.now;
    fleet.with(2, |detector| detector.announce_leaving(now));
    fleet.run(seconds(5));
    assert_eq!(fleet.holders(fleet.id(2), &[Status::Leaving]), 6);
    fleet.crash(2);
    fleet.run(seconds(25));
    assert_eq!(fleet.holders(fleet.id(2), &[Status::Suspect]), 5);
    fleet.run(seconds(30));
    assert_eq!(fleet.holders(fleet.id(2), &[Status::Failed]), 5);
}

/// Guards against a joiner that needs longer for the member list than a call to one peer.
#[test]
fn joiner_takes_a_snapshot() {
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
    assert_eq!(fleet.holders(fleet.id(11), &[Status::Alive]), 11);
    assert_eq!(fleet.detector(11).digest(), fleet.detector(0).digest());
}

/// Guards against views that grow for ever, and against old members that come back.
#[test]
fn old_members_are_forgotten() {
    let mut fleet = Fleet::new(6, 3, 3);
    fleet.config.failed_retention = seconds(3600);
    (0..6).for_each(|index| fleet.start(index));
    fleet.run(seconds(20));
    fleet.crash(4);
    let now = fleet.now;
    fleet.with(5, |detector| detector.announce_left(now));
    fleet.run(seconds(500));
    assert_eq!(fleet.holders(fleet.id(5), &[Status::Left]), 4);
    fleet.run(seconds(200));
    assert_eq!(fleet.detector(0).view().len(), 5);
    fleet.run(seconds(2800));
    assert_eq!(fleet.holders(fleet.id(4), &[Status::Failed]), 4);
    fleet.run(seconds(300));
    for index in fleet.running() {
        assert_eq!(fleet.detector(index).view().len(), 4);
    }
}

/// Guards against an id that changes hands between two names.
#[test]
fn colliding_names_are_refused() {
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

/// A message with few distinct values, so that they meet.
#[derive(Debug, Clone, TypeGenerator)]
struct Noise {
    kind: u8,
    from: u8,
    sequence: u8,
    late: u16,
    updates: Vec<(u8, u64, u8, bool)>,
    ids: Vec<u64>,
    range: (u64, u64),
}

fn message(noise: &Noise) -> Message {
    let status = |status: u8| match status % 5 {
        0 => Status::Alive,
        1 => Status::Leaving,
        2 => Status::Suspect,
        3 => Status::Failed,
        _ => Status::Left,
    };
    let updates: Vec<Update> = noise
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
    let sequence = u32::from(noise.sequence);
    match noise.kind % 6 {
        0 => Message::Ping { sequence, updates },
        1 => Message::Ack { sequence, updates },
        2 => Message::PingRequest {
            sequence,
            target: info(usize::from(noise.sequence % 4), 0).id(),
            updates,
        },
        3 => Message::Digest {
            sequence,
            urgent: noise.sequence.is_multiple_of(2),
            buckets: noise.ids.iter().map(|id| (*id as u32).to_le_bytes()).collect(),
        },
        4 => Message::Summary {
            sequence,
            parts: noise.kind,
            from: noise.range.0,
            to: noise.range.1,
            entries: entries.collect(),
        },
        _ => Message::Updates { updates, wanted: noise.ids.clone() },
    }
}

/// Guards against panics, own records that others overwrite, and long answers.
#[test]
fn arbitrary_messages_are_survived() {
    bolero::check!().with_type::<Vec<Noise>>().with_iterations(2000).for_each(|messages| {
        let mut now = Instant::now();
        let mut detector = Detector::new(Config::default(), info(0, 0), 5, 1, now);
        for noise in messages {
            let mut out = Vec::new();
            now += Duration::from_millis(noise.late.into());
            detector.confirm(now);
            detector.on_tick(now, &mut out);
            let from = info(usize::from(noise.from % 4), 0);
            detector.on_message(now, from.id(), from.peer, message(noise), &mut out);
            let own = detector.view().get(detector.id()).expect("it knows itself");
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
    ZoneOut(u8),
    Wait(u16),
}

fn owners(ranking: &Ranking) -> Vec<Option<Owners>> {
    (0..SLOTS).map(|slot| ranking.owners(slot)).collect()
}

/// Guards against an incremental ranking that differs from a full one, owners in one zone where
/// there are two, changes of hash slots that a member did not own, and lost former owners.
#[test]
fn ranking_follows_the_view() {
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
            // Whether members that are alive were ranked, rather than the reserve.
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
                        assert!(old.contains(id) || new.contains(id), "a foreign slot changed");
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
