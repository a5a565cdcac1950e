use std::{
    collections::HashSet,
    sync::Arc,
    time::{Duration, Instant},
};

use banyanwharf::{
    flow::Hasher,
    forward::Forwarder,
    member::{self, Info, Member, Ranking, Status, View},
    place::{self, Placer},
};
use rand::RngExt;

use super::{Event, Fleet};

const REGION: &str = "region";

/// One daemon: a forwarder and its view of the members.
pub struct Daemon {
    pub forwarder: Forwarder,
    pub zone: Arc<str>,
    pub view: View,
    pub paused: Option<Instant>,
    /// The number of the newest ticket in the routes.
    pub version: u64,
    leaving: Option<Instant>,
    info: Info,
}

impl Daemon {
    fn rank(&self) -> Ranking {
        Ranking::new(&self.view, REGION, &HashSet::new())
    }

    fn knows(&mut self, info: &Info, status: Status, now: Instant) {
        let (info, since) = (info.clone(), now);
        self.view.insert(Member { info, incarnation: 0, status, since });
    }
}

impl Fleet {
    /// Starts a daemon. The others hear of it within 2 s.
    pub fn join(&mut self, zone: &str) -> member::Id {
        self.names += 1;
        let info = Info {
            name: format!("entry-{}", self.names).into(),
            region: REGION.into(),
            zone: zone.into(),
            peer: "127.0.0.1:1".parse().expect("the address is valid"),
            admin: "127.0.0.1:2".parse().expect("the address is valid"),
        };
        let (id, now) = (info.id(), self.now);
        let hasher = Hasher::new(&[7; 16]);
        let seed = self.rng.random();
        let placer = Placer::new(place::Config::default(), id, seed, now);
        let forwarder = Forwarder::new(self.config.clone(), id, hasher, placer, seed, now);
        let mut daemon = Daemon {
            forwarder,
            zone: zone.into(),
            view: View::new(),
            paused: None,
            version: 0,
            leaving: None,
            info: info.clone(),
        };
        for other in self.daemons.values() {
            if self.cut.contains(&other.zone) == self.cut.contains(&daemon.zone) {
                let status = if other.leaving.is_some() { Status::Leaving } else { Status::Alive };
                daemon.knows(&other.info, status, now);
            }
        }
        // The ranking without the joiner names the former owners.
        let former = daemon.rank();
        daemon.knows(&info, Status::Alive, now);
        let ranking = Arc::new(daemon.rank().with_previous(&former, now));
        daemon.forwarder.set_routes(now, self.table.clone());
        let Daemon { forwarder, view, .. } = &mut daemon;
        forwarder.placer_mut().set_members(view, REGION);
        forwarder.set_ranking(now, ranking);
        self.daemons.insert(id, daemon);
        self.announce(id, Status::Alive, 100..2000);
        let delay = self.millis(100..4000);
        self.schedule(delay, Event::Fabric(id, true));
        id
    }

    /// Sends a member's state to all others that can be reached, within a time of their own.
    fn announce(&mut self, id: member::Id, status: Status, delay: std::ops::Range<u64>) {
        for other in self.daemons.keys().copied().collect::<Vec<_>>() {
            if other != id {
                let delay = self.millis(delay.clone());
                self.schedule(delay, Event::View(other, id, status));
            }
        }
    }

    pub(super) fn set_view(&mut self, at: member::Id, of: member::Id, status: Status) {
        let now = self.now;
        let info = self.daemons.get(&of).map(|daemon| daemon.info.clone());
        let paused = self.daemons.get(&of).is_some_and(|daemon| daemon.paused.is_some());
        let cut = info.as_ref().is_some_and(|info| self.cut.contains(&info.zone));
        let Some(daemon) = self.daemons.get_mut(&at) else {
            return;
        };
        if daemon.paused.is_some() {
            return self.schedule(Duration::from_millis(100), Event::View(at, of, status));
        }
        // News do not cross a partition, and a member that is back is not reported dead.
        let apart = cut != self.cut.contains(&daemon.zone);
        let unheard = apart != (status == Status::Failed) && !(paused && status == Status::Failed);
        if info.is_some() && unheard {
            return;
        }
        let known = daemon.view.get(of).map(|member| member.info.clone());
        let Some(info) = info.or(known) else { return };
        daemon.knows(&info, status, now);
        let ranking = Arc::new(daemon.rank());
        self.with(at, &[], |daemon, _| {
            let Daemon { forwarder, view, .. } = daemon;
            forwarder.placer_mut().set_members(view, REGION);
            forwarder.set_ranking(now, ranking);
        });
    }

    /// Kills a daemon. The fabric and the others notice within seconds.
    pub fn crash(&mut self, id: member::Id) {
        if let Some(daemon) = self.daemons.remove(&id) {
            self.former.push(daemon.forwarder.counters().clone());
        }
        self.announce(id, Status::Failed, 1500..4500);
        self.schedule(Duration::from_secs(2), Event::Fabric(id, false));
    }

    /// Stops a daemon as planned.
    pub fn stop(&mut self, id: member::Id) {
        let now = self.now;
        let Some(daemon) = self.daemons.get_mut(&id) else {
            return;
        };
        if daemon.leaving.replace(now).is_some() {
            return;
        }
        daemon.forwarder.begin_leave(now);
        self.announce(id, Status::Leaving, 10..1500);
        self.schedule(Duration::from_millis(1), Event::View(id, id, Status::Leaving));
        self.schedule(Duration::from_secs(5), Event::Fabric(id, false));
    }

    /// Ends the daemons that have handed over their flows 10 s after the stop.
    pub(super) fn finish_leaving(&mut self) {
        let now = self.now;
        let done = self.daemons.iter().filter(|(_, daemon)| {
            let due = daemon.leaving.is_some_and(|since| now - since > Duration::from_secs(10));
            due && daemon.forwarder.is_handed_over()
        });
        for id in done.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.announce(id, Status::Left, 10..1500);
            self.schedule(Duration::ZERO, Event::Stopped(id));
        }
    }

    pub(super) fn stopped(&mut self, id: member::Id) {
        if let Some(daemon) = self.daemons.remove(&id) {
            self.former.push(daemon.forwarder.counters().clone());
        }
    }

    /// Pauses a daemon. After 3 s the others take it for dead.
    pub fn pause(&mut self, id: member::Id, length: Duration) {
        let end = self.now + length;
        let Some(daemon) = self.daemons.get_mut(&id) else {
            return;
        };
        if daemon.paused.is_some() || daemon.leaving.is_some() {
            return;
        }
        daemon.paused = Some(end);
        self.schedule(length, Event::Resume(id));
        if length > Duration::from_secs(4) {
            for other in self.daemons.keys().copied().collect::<Vec<_>>() {
                if other != id {
                    let delay = self.millis(1500..3900);
                    self.schedule(delay, Event::View(other, id, Status::Failed));
                }
            }
        }
    }

    pub(super) fn resume(&mut self, id: member::Id) {
        let Some(daemon) = self.daemons.get_mut(&id) else {
            return;
        };
        daemon.paused = None;
        daemon.forwarder.suspend();
        self.announce(id, Status::Alive, 100..1500);
        self.schedule(Duration::from_millis(200), Event::Synchronised(id));
        self.schedule(Duration::from_millis(190), Event::Routes(id, self.table.clone()));
    }

    /// Cuts the given zones off from the others, or joins all zones again.
    pub fn partition(&mut self, zones: &[&str]) {
        let before = std::mem::take(&mut self.cut);
        self.cut = zones.iter().map(|zone| Arc::from(*zone)).collect();
        let members: Vec<_> = self.daemons.iter().map(|(id, d)| (*id, d.zone.clone())).collect();
        for (at, zone) in &members {
            for (of, other) in &members {
                let was = before.contains(zone) == before.contains(other);
                let is = self.cut.contains(zone) == self.cut.contains(other);
                let delay = self.millis(1500..4500);
                match (was, is) {
                    (true, false) => self.schedule(delay, Event::View(*at, *of, Status::Failed)),
                    (false, true) => self.schedule(delay, Event::View(*at, *of, Status::Alive)),
                    _ => {}
                }
            }
        }
    }
}
