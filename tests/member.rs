//! The failure detector must converge after every kind of failure, and the ranking must be the
//! same function of the view in every daemon.

mod detectors;

use std::{collections::BTreeMap, time::Duration};

use banyanwharf::member::{Id, Status};
use bolero::TypeGenerator;
use detectors::Fleet;

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
    at: std::time::Instant,
    hidden: bool,
}

struct Run {
    fleet: Fleet,
    departures: Vec<Departure>,
    /// When the last partition or pause ended or will end.
    disturbed: Option<std::time::Instant>,
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
                let member = self
                    .fleet
                    .detector(index)
                    .view()
                    .get(id)
                    .expect("a daemon knows itself");
                self.departures.push(Departure {
                    daemon: index,
                    incarnation: member.incarnation,
                    at: now,
                    hidden: self.is_disturbed(),
                });
                self.fleet.with(index, |detector| detector.leave(now));
                self.run(3);
                let now = self.fleet.now;
                self.fleet.with(index, |detector| detector.left(now));
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
                for index in self.fleet.running() {
                    let member = self.fleet.detector(index).view().get(id);
                    assert!(
                        member.is_none_or(|member| member.status != Status::Failed
                            || member.incarnation < departure.incarnation),
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
            }
            let statuses: Vec<(Id, Status)> = view
                .iter()
                .map(|(id, member)| (id, member.status))
                .collect();
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
    bolero::check!()
        .with_type::<Plan>()
        .with_iterations(60)
        .for_each(|plan| {
            let size = 2 + usize::from(plan.size % 7);
            let mut run = Run {
                fleet: Fleet::new(size, 3, plan.seed),
                departures: Vec::new(),
                disturbed: None,
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
            run.run(60);
            run.check();
            run.step(&Op::Heal);
            run.run(60);
            run.check();
        });
}
