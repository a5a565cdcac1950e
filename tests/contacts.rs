//! Daemons query contacts that they do not know, so that groups which formed separately discover each
//! other, and the queries stay cheap.

mod detectors;

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use banyanwharf::member::{Contacts, Detector, Id, Member, Status, View};
use detectors::{Fleet, info};

/// The interval at which a daemon asks which contacts are due.
const CHECK_PERIOD: Duration = Duration::from_millis(250);

/// The bytes of a query without the member view in the response.
const QUERY_BYTES: u64 = 1000;

/// The bytes per second that queries may cost on average.
const BYTES_PER_SECOND: u64 = 200;

/// A fleet whose daemons have the first `contacts` daemons as contacts.
struct Deployment {
    fleet: Fleet,
    contacts: Vec<Contacts>,
    addresses: Vec<SocketAddr>,
    /// The number of queries of each daemon.
    queries: Vec<u64>,
}

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

impl Deployment {
    fn start(size: usize, contacts: usize, seed: u64) -> Deployment {
        let mut fleet = Fleet::new(size, 3, seed);
        for index in 0..size {
            fleet.start_alone(index);
        }
        let now = fleet.now;
        Deployment {
            addresses: fleet.daemons[..contacts].iter().map(|daemon| daemon.info.admin).collect(),
            fleet,
            contacts: (0..size).map(|_| Contacts::new(now)).collect(),
            queries: vec![0; size],
        }
    }

    /// Lets the daemons know only the daemons of their own group.
    fn form_groups(&mut self, groups: &[&[usize]]) {
        for group in groups {
            let now = self.fleet.now;
            let snapshot = self.fleet.detector(group[0]).snapshot(now);
            for index in &group[1..] {
                let merge =
                    |detector: &mut Detector| detector.merge_snapshot(now, snapshot.clone());
                self.fleet.with_detector(*index, merge);
            }
        }
        self.fleet.run(seconds(20));
    }

    /// Runs the fleet with queries of contacts. A contact that has stopped does not answer.
    fn run(&mut self, time: Duration) {
        let until = self.fleet.now + time;
        while self.fleet.now < until {
            for index in self.fleet.running() {
                self.query(index);
            }
            self.fleet.run(CHECK_PERIOD);
        }
    }

    fn query(&mut self, index: usize) {
        let now = self.fleet.now;
        let view = self.fleet.detector(index).view();
        let own = &self.fleet.daemons[index].info;
        let due = self.contacts[index].due(now, own, &self.addresses, view);
        for address in due {
            self.queries[index] += 1;
            let contact = self.fleet.daemons.iter().find(|daemon| daemon.info.admin == address);
            let Some(detector) = contact.and_then(|contact| contact.detector.as_ref()) else {
                continue;
            };
            let snapshot = detector.snapshot(now);
            let bytes = serde_json::to_vec(&snapshot).expect("a snapshot is serializable").len();
            self.contacts[index].record_response(now, bytes);
            self.fleet.with_detector(index, |detector| detector.merge_snapshot(now, snapshot));
        }
    }

    /// Returns the number of alive members in the view of each running daemon.
    fn alive(&self) -> Vec<usize> {
        let count = |index: &usize| {
            let view = self.fleet.detector(*index).view();
            view.iter().filter(|(_, member)| member.status == Status::Alive).count()
        };
        self.fleet.running().iter().map(count).collect()
    }
}

fn view(members: impl IntoIterator<Item = (usize, Status)>, now: Instant) -> View {
    let mut view = View::new();
    for (index, status) in members {
        view.insert(Member { info: info(index, 0), incarnation: 1, status, since: now });
    }
    view
}

fn ids(view: &View) -> Vec<Id> {
    view.iter().map(|(id, _)| id).collect()
}

/// Guards against two groups of daemons that know only each other for as long as they run, since a
/// daemon stops querying its contacts once it knows any other daemon (soak seed 7110).
#[test]
fn groups_that_formed_separately_discover_each_other() {
    for seed in 0..10 {
        let mut deployment = Deployment::start(5, 1, seed);
        deployment.form_groups(&[&[0, 3, 4], &[1, 2]]);
        assert_eq!(deployment.alive(), [3, 2, 2, 3, 3], "the groups are separate");
        deployment.run(seconds(10));
        assert_eq!(deployment.alive(), [5; 5], "seed {seed}");
    }
}

/// Guards against groups that stay separate because the first contacts in the settings are down.
#[test]
fn contacts_that_are_down_delay_the_discovery_only() {
    let mut deployment = Deployment::start(40, 3, 1);
    let even: Vec<usize> = (2..40).filter(|index| index % 2 == 0).collect();
    let odd: Vec<usize> = (2..40).filter(|index| index % 2 == 1).collect();
    deployment.fleet.crash(0);
    deployment.fleet.crash(1);
    deployment.form_groups(&[&even, &odd]);
    deployment.run(seconds(30));
    assert_eq!(deployment.alive(), [38; 38]);
}

/// Guards against members that are lost while no contact answers.
#[test]
fn known_members_stay_while_all_contacts_are_down() {
    let mut deployment = Deployment::start(8, 3, 1);
    deployment.run(seconds(30));
    assert_eq!(deployment.alive(), [8; 8]);
    for contact in 0..3 {
        deployment.fleet.crash(contact);
    }
    deployment.run(seconds(60));
    assert_eq!(deployment.alive(), [5; 5]);
}

/// Guards against the adoption of failures that a contact claims which was cut off from the others.
#[test]
fn stale_contact_does_not_make_members_fail() {
    let mut deployment = Deployment::start(6, 1, 1);
    deployment.run(seconds(30));
    assert_eq!(deployment.alive(), [6; 6]);
    deployment.fleet.daemons[0].side = 1;
    deployment.fleet.run(seconds(20));
    let now = deployment.fleet.now;
    let snapshot = deployment.fleet.detector(0).snapshot(now);
    assert!(snapshot.members.iter().any(|member| member.status == Status::Failed));
    deployment.fleet.with_detector(1, |detector| detector.merge_snapshot(now, snapshot));
    let alive = deployment.fleet.detector(1).view().iter();
    let alive = alive.filter(|(_, member)| member.status == Status::Alive).count();
    assert!(alive >= 5, "{alive} members are alive");
}

/// Guards against queries that cost more than 200 bytes per second on average: contacts that are
/// down, and a contact whose address in the settings is not the one in its description, so that it is
/// never known. Its responses contain 1,100 members.
#[test]
fn queries_cost_at_most_200_bytes_per_second() {
    let own = info(0, 0);
    let addresses: Vec<SocketAddr> = (0..3).map(|n| ([10, 9, 9, n], 7001).into()).collect();
    let now = Instant::now();
    let views =
        [view([(0, Status::Alive)], now), view([(0, Status::Alive), (1, Status::Alive)], now)];
    for view in views {
        for response_bytes in [0, 2_000, 240_000] {
            let mut contacts = Contacts::new(now);
            let mut bytes = 0;
            let day = 24 * 3600;
            for check in 0..day * 4 {
                let now = now + CHECK_PERIOD * check;
                for _ in contacts.due(now, &own, &addresses, &view) {
                    contacts.record_response(now, response_bytes);
                    bytes += QUERY_BYTES + response_bytes as u64;
                }
            }
            // The first queries may cost as much as the member view of the largest fleet.
            let limit = u64::from(day) * BYTES_PER_SECOND + 512 * 1024;
            assert!(bytes > 0 && bytes <= limit, "{bytes} of {limit}, members {:?}", ids(&view));
        }
    }
}

/// Guards against contacts that get a query from each of 1,100 daemons every few seconds although
/// all daemons know each other.
#[test]
fn known_contacts_are_not_queried() {
    let mut deployment = Deployment::start(12, 3, 1);
    deployment.run(seconds(30));
    assert_eq!(deployment.alive(), [12; 12]);
    let before = deployment.queries.clone();
    deployment.run(seconds(60));
    assert_eq!(deployment.queries, before);
}

/// Guards against a contact that is no longer queried after it was replaced at its address.
#[test]
fn contact_is_queried_until_it_is_present() {
    let now = Instant::now();
    let (own, contact) = (info(0, 0), info(1, 0));
    let cases = [
        (Status::Alive, false),
        (Status::Leaving, false),
        (Status::Suspect, false),
        (Status::Failed, true),
        (Status::Left, true),
    ];
    for (status, is_due) in cases {
        let view = view([(0, Status::Alive), (1, status), (2, Status::Alive)], now);
        let due = Contacts::new(now).due(now, &own, &[own.admin, contact.admin], &view);
        assert_eq!(!due.is_empty(), is_due, "{status:?}");
    }
}
