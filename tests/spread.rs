//! Every daemon must reach the state with the highest number of each object, whatever the
//! network, the platform and restarts do.

use std::{
    collections::{BTreeMap, HashSet},
    time::{Duration, Instant},
};

use banyanwharf::{
    member::{Status, View},
    route::{Compiler, QUARANTINE_PERIOD},
    spread::{Action, Blob, BlobRequest, Config, Disseminator, Message},
    ticket::{self, Number, ObjectKey, State, Ticket},
    wire::{Body, Frame, Keyring},
};
use rand::{RngExt as _, SeedableRng as _, seq::SliceRandom as _};
use rand_pcg::Pcg64Mcg;
use serde_json::json;
use spreaders::{Fleet, Network};

mod spreaders;

const QUIET: Network = Network { loss: 0.0, duplicates: 0.0, delay: Duration::from_millis(3) };

/// A ticket that sets a zone, a policy and a service with `targets` targets.
fn ticket(number: Number, name: u8, targets: usize) -> Ticket {
    let targets: Vec<_> = (0..targets)
        .map(|index| {
            let [high, low] = (index as u16).to_be_bytes();
            json!({ "name": format!("target-{index}"), "zone": "zone-1",
                "address": format!("10.{name}.{high}.{low}:6080"),
                "weight": 1 + number % 100,
                "health": format!("http://10.{name}.{high}.{low}:8080/health"),
                "load": format!("http://10.{name}.{high}.{low}:8080/load") })
        })
        .collect();
    let text = json!({ "number": number,
        "services": [{ "name": format!("service-{name}"), "targets": targets,
            "addresses": [{ "protocol": "tcp", "address": format!("198.51.100.{name}:80") }] }],
        "zones": [{ "name": format!("zone-{}", name % 3), "state": "in" }],
        "policies": [{ "name": format!("policy-{number}"), "bound": 1.5 }] });
    ticket::parse("t", &text.to_string()).expect("the ticket is valid")
}

fn has_all(fleet: &Fleet, tickets: &[Ticket]) -> bool {
    fleet
        .nodes
        .iter()
        .all(|node| tickets.iter().all(|ticket| node.state.history().is_applied(ticket.number)))
}

/// Asserts that all daemons hold the highest number of each object and the same generations.
fn assert_converged(fleet: &Fleet, tickets: &[Ticket], seed: u64) {
    let mut oracle: BTreeMap<ObjectKey, Number> = BTreeMap::new();
    for ticket in tickets {
        for object in ticket.objects() {
            let number = oracle.entry(object).or_default();
            *number = ticket.number.max(*number);
        }
    }
    for (index, node) in fleet.nodes.iter().enumerate() {
        let newest = node.state.items_in_force().map(|item| (item.object(), item.number));
        assert_eq!(newest.collect::<BTreeMap<_, _>>(), oracle, "seed {seed}, daemon {index}");
        let counters = node.disseminator.counters();
        assert_eq!((counters.invalid, counters.conflicts, counters.malformed), (0, 0, 0));
    }
}

/// Publishes the tickets of `make` in random order while faults happen, then heals everything
/// and waits until all daemons have the same state.
fn run_with_faults(seed: u64, make: impl Fn(Number, &mut Pcg64Mcg) -> Ticket) -> Fleet {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let network = Network {
        loss: rng.random_range(0.0..0.3),
        duplicates: rng.random_range(0.0..0.2),
        delay: Duration::from_millis(rng.random_range(1..400)),
    };
    let daemons = rng.random_range(3..10);
    let mut fleet = Fleet::new(seed, daemons, 3, network);
    let count = rng.random_range(1..14);
    let mut tickets: Vec<Ticket> = (1..=count).map(|n| make(n * 3, &mut rng)).collect();
    tickets.shuffle(&mut rng);
    for ticket in &tickets {
        fleet.platform.push(ticket.clone());
        match rng.random_range(0..8) {
            0 => fleet.restart(rng.random_range(0..daemons)),
            1 => {
                let sides = rng.random_range(1..4);
                fleet.divide(|index| index % sides);
            }
            2 => fleet.divide(|_| 0),
            3 => fleet.platform_up = !fleet.platform_up,
            4 => fleet.stale = Some(rng.random_range(0..fleet.platform.len())),
            _ => {}
        }
        fleet.run(Duration::from_millis(rng.random_range(0..8_000)), |_| false);
    }
    fleet.divide(|_| 0);
    (fleet.platform_up, fleet.stale) = (true, None);
    let same = |fleet: &Fleet| {
        let first = &fleet.nodes[0].state;
        let known = tickets.iter().all(|t| first.history().is_known(t.number));
        let mut nodes = fleet.nodes.iter();
        known && nodes.all(|node| node.state.summary() == first.summary())
    };
    assert!(fleet.run(Duration::from_secs(300), same), "seed {seed}: no agreement");
    fleet
}

/// Guards against a lost ticket, a reverted object or daemons that never agree, under loss,
/// duplication, reordering, partitions, restarts without memory, a stale platform and crossing
/// tickets of two operators.
#[test]
fn daemons_agree_after_any_faults() {
    bolero::check!().with_type::<u64>().with_iterations(24).for_each(|&seed| {
        let fleet = run_with_faults(seed, |number, rng| {
            ticket(number, rng.random_range(1..4), rng.random_range(0..20))
        });
        assert!(has_all(&fleet, &fleet.platform));
        assert_converged(&fleet, &fleet.platform, seed);
    });
}

/// Guards against daemons that route an address to different services for good, when tickets
/// claim the same addresses and readers decide differently because their states differ.
#[test]
fn clashes_end_the_same_everywhere() {
    bolero::check!().with_type::<u64>().with_iterations(24).for_each(|&seed| {
        let mut fleet = run_with_faults(seed, |number, rng| {
            let mut ticket = ticket(number, rng.random_range(1..4), 2);
            ticket.services[0].addresses[0].address.set_port(rng.random_range(1..3));
            let host = rng.random_range(1..3);
            let ip = std::net::IpAddr::from([10, 0, 0, host]);
            ticket.services[0].targets[0].address.set_ip(ip);
            ticket.services[0].addresses[0].address.set_ip(ip);
            ticket
        });
        fleet.run(Duration::from_secs(60), |_| false);
        let later = fleet.now + QUARANTINE_PERIOD;
        let routes: Vec<_> = fleet
            .nodes
            .iter()
            .map(|node| {
                let compilation = Compiler::new().compile(later, &node.state);
                let targets: Vec<_> = compilation.table.targets().cloned().collect();
                (compilation.issues, targets)
            })
            .collect();
        assert!(routes.windows(2).all(|pair| pair[0] == pair[1]), "seed {seed}");
        let reachable = routes[0].1.iter().filter(|target| target.is_reachable());
        let addresses: Vec<_> = reachable.map(|target| target.address).collect();
        let distinct: HashSet<_> = addresses.iter().collect();
        assert_eq!(distinct.len(), addresses.len(), "seed {seed}");
    });
}

/// Guards against depending on the platform after one reader has read a ticket, and against a
/// member with empty memory that learns nothing from its peers.
#[test]
fn peers_suffice_when_the_platform_is_down() {
    let mut fleet = Fleet::new(1, 24, 4, Network { loss: 0.1, ..QUIET });
    let tickets: Vec<Ticket> = (1..=60).map(|n| ticket(n, (n % 50) as u8 + 1, 3)).collect();
    fleet.platform = tickets.clone();
    assert!(fleet.run(Duration::from_secs(60), |fleet| has_all(fleet, &tickets)));
    fleet.platform_up = false;
    fleet.restart(5);
    assert!(fleet.run(Duration::from_secs(120), |fleet| has_all(fleet, &tickets)));
    assert_converged(&fleet, &tickets, 1);
}

/// Guards against large services that do not fit in a message, against starting over when some
/// parts are lost, and against tickets that wait for a large one.
#[test]
fn large_services_arrive_in_parts() {
    let network = Network { loss: 0.1, ..QUIET };
    let mut fleet = Fleet::new(2, 30, 2, network);
    let tickets = vec![ticket(1, 1, 1_000), ticket(2, 2, 3)];
    fleet.platform = tickets.clone();
    assert!(fleet.run(Duration::from_secs(19), |fleet| has_all(fleet, &tickets[1..])));
    assert!(!has_all(&fleet, &tickets), "the large ticket is too small for this test");
    assert!(fleet.run(Duration::from_secs(600), |fleet| has_all(fleet, &tickets)));
    println!("large service: {:?}", fleet.now.duration_since(fleet.started_at));
    assert_converged(&fleet, &tickets, 2);
}

/// Guards against a daemon that acts on its old state after a pause, and against one that never
/// resumes when no member responds.
#[test]
fn a_paused_daemon_fetches_before_it_resumes() {
    let mut fleet = Fleet::new(3, 6, 2, QUIET);
    let tickets: Vec<Ticket> = (1..=4).map(|n| ticket(n, n as u8, 2)).collect();
    fleet.platform.push(tickets[0].clone());
    fleet.run(Duration::from_secs(10), |_| false);
    fleet.divide(|index| usize::from(index == 5));
    fleet.platform_up = true;
    fleet.stale = Some(1);
    for ticket in &tickets[1..] {
        fleet.platform.push(ticket.clone());
    }
    // Only daemons of the second zone see the new tickets; the paused one does not run.
    fleet.run(Duration::from_secs(10), |fleet| {
        fleet.nodes[..5].iter().all(|node| node.state.history().is_applied(4))
    });
    fleet.restart(5);
    fleet.platform_up = false;
    fleet.divide(|_| 0);
    fleet.run(Duration::from_millis(200), |_| false);
    fleet.with(5, |disseminator, now, _, state, out| disseminator.confirm(now, state, out));
    assert!(!fleet.nodes[5].disseminator.is_confirmed(fleet.now));
    assert!(fleet.run(Duration::from_secs(4), |fleet| {
        let node = &fleet.nodes[5];
        let confirmed = node.disseminator.is_confirmed(fleet.now);
        assert!(!confirmed || node.state.len() == fleet.nodes[0].state.len());
        confirmed
    }));
    fleet.divide(|index| index);
    fleet.with(5, |disseminator, now, _, state, out| disseminator.confirm(now, state, out));
    fleet.run(Duration::from_millis(1_900), |_| false);
    assert!(!fleet.nodes[5].disseminator.is_confirmed(fleet.now));
    fleet.run(Duration::from_millis(200), |_| false);
    assert!(fleet.nodes[5].disseminator.is_confirmed(fleet.now));
}

/// Returns the messages among the actions and removes all actions.
fn sent(out: &mut Vec<Action>) -> Vec<Message> {
    let messages = out.drain(..).filter_map(|action| match action {
        Action::Send { message, .. } => Some(message),
        _ => None,
    });
    messages.collect()
}

/// Guards against leaving a lost message to the comparison of states, against accepting a
/// blob whose parts do not fit, and against not offering what the other member lacks.
#[test]
fn lost_messages_are_requested_again() {
    let (now, view) = (Instant::now(), View::new());
    let seconds = |seconds| now + Duration::from_secs(seconds);
    let (mut a, mut b) = (State::default(), State::default());
    let mut sender = Disseminator::new(Config::new("z".into()), 1, 1, now);
    let mut receiver = Disseminator::new(Config::new("z".into()), 2, 2, now);
    let mut out = Vec::new();
    sender.on_published(now, vec![ticket(7, 1, 30)], &mut a, &mut out);
    sent(&mut out);
    let wants_ticket = |messages: &[Message]| {
        let ticket = |want: &BlobRequest| want.blob == Blob::Ticket(7);
        let mut messages = messages.iter();
        messages.any(|m| matches!(m, Message::Request(wants) if wants.iter().any(ticket)))
    };
    receiver.on_message(now, 1, Message::Announce(vec![7]), &mut b, &mut out);
    let request = sent(&mut out);
    assert!(wants_ticket(&request));
    receiver.on_tick(seconds(2), &view, &b, &mut out);
    assert!(wants_ticket(&sent(&mut out)), "the lost request is not repeated");
    // Of the answer, all parts but the second of the service arrive, and that one is damaged.
    sender.on_message(now, 2, request[0].clone(), &mut a, &mut out);
    let answer = sent(&mut out);
    let second = |m: &&Message| matches!(m, Message::Part(part) if part.index == 1);
    let Some(Message::Part(lost)) = answer.iter().find(second).cloned() else {
        panic!("the service fits in one part");
    };
    for message in answer.iter().filter(|m| !second(m)) {
        receiver.on_message(seconds(2), 1, message.clone(), &mut b, &mut out);
    }
    sent(&mut out);
    receiver.on_tick(seconds(4), &view, &b, &mut out);
    let expected = BlobRequest { blob: lost.blob, parts: vec![1] };
    assert!(sent(&mut out).contains(&Message::Request(vec![expected])));
    let mut damaged = lost.clone();
    let name = damaged.bytes.windows(6).position(|bytes| bytes == b"target");
    damaged.bytes[name.expect("the part has a target")] = b'x';
    receiver.on_message(seconds(4), 1, Message::Part(damaged), &mut b, &mut out);
    assert!(b.services().next().is_none() && !b.history().is_applied(7));
    // The next retry fetches the object as a whole.
    receiver.on_tick(seconds(12), &view, &b, &mut out);
    for message in sent(&mut out) {
        sender.on_message(seconds(12), 2, message, &mut a, &mut out);
    }
    for message in sent(&mut out) {
        receiver.on_message(seconds(12), 1, message, &mut b, &mut out);
    }
    assert!(b.history().is_applied(7) && out.contains(&Action::InForce(7)));
    let (from, to, digests) = (0, u64::MAX, Vec::new());
    sent(&mut out);
    let nothing = Message::Listing { from, to, digests };
    receiver.on_message(seconds(12), 1, nothing, &mut b, &mut out);
    let objects = sent(&mut out);
    let small = |m: &&Message| matches!(m, Message::Part(_));
    let large = |m: &&Message| matches!(m, Message::Listing { digests, .. } if digests.len() == 1);
    assert_eq!(objects.iter().filter(small).count(), 2);
    assert_eq!(objects.iter().filter(large).count(), 1);
}

/// Guards against a budget that counts other bytes than the frames on the wire have.
#[test]
fn counted_bytes_are_those_of_frames() {
    let (now, mut state, mut out) = (Instant::now(), State::default(), Vec::new());
    let mut disseminator = Disseminator::new(Config::new("z".into()), 1, 1, now);
    disseminator.on_published(now, vec![ticket(7, 1, 30)], &mut state, &mut out);
    let (blob, parts) = (Blob::Ticket(7), Vec::new());
    let request = Message::Request(vec![BlobRequest { blob, parts }]);
    disseminator.on_message(now, 2, request, &mut state, &mut out);
    let summary = State::default().summary();
    disseminator.on_message(now, 2, Message::Digest(summary), &mut state, &mut out);
    let keyring = Keyring::new([(1, [7; 32])]).expect("a key is given");
    let (mut buffer, mut bytes) = (Vec::new(), 0);
    for message in sent(&mut out) {
        let frame = Frame { sender: 1, body: Body::Spread(message), packet: &[] };
        buffer.clear();
        frame.encode(&keyring, &mut buffer).expect("it fits");
        assert!(buffer.len() < 1_200, "{} bytes", buffer.len());
        // The headers of IPv4 and UDP.
        bytes += buffer.len() as u64 + 28;
    }
    assert!(bytes > 2_000);
    assert_eq!(disseminator.counters().sent_bytes, bytes);
}

/// Guards against taking tickets for in force that only the sender has.
#[test]
fn histories_count_only_with_the_same_items() {
    let now = Instant::now();
    let (mut full, mut empty) = (State::default(), State::default());
    full.apply(now, ticket(7, 1, 1)).expect("accepted");
    let message = Message::History {
        summary: full.summary(),
        applied: vec![(1, 7)],
        refused: vec![(9, 9)],
        reply: true,
    };
    let mut disseminator = Disseminator::new(Config::new("z".into()), 1, 1, now);
    let mut out = Vec::new();
    disseminator.on_message(now, 2, message.clone(), &mut empty, &mut out);
    assert!(!empty.history().is_applied(7) && empty.history().is_refused(9) && out.is_empty());
    empty.merge(now, full.items().cloned().collect());
    disseminator.on_message(now, 2, message, &mut empty, &mut out);
    assert!(empty.history().is_applied(7) && out == [Action::InForce(7)]);
}

/// Guards against a number of platform readers that grows with the fleet, and against a zone
/// without a reader after one failed.
#[test]
fn two_members_of_each_zone_read() {
    let fleet = Fleet::new(4, 40, 4, QUIET);
    let mut view = fleet.view(0);
    let readers = |view: &_| -> HashSet<usize> {
        let nodes = fleet.nodes.iter().enumerate();
        let live = nodes.filter(|(_, node)| node.disseminator.is_reader(view));
        live.map(|(index, _)| index).collect()
    };
    let before = readers(&view);
    for zone in 0..4 {
        assert_eq!(before.iter().filter(|index| *index % 4 == zone).count(), 2);
    }
    let failed = *before.iter().min().expect("there are readers");
    let mut member = view.get(fleet.nodes[failed].id).expect("a member").clone();
    member.status = Status::Suspect;
    view.insert(member);
    let mut after = readers(&view);
    after.remove(&failed);
    assert_eq!(after.len(), 8);
    assert_eq!(after.intersection(&before).count(), 7);
}

/// Guards against a panic on any message, and against content in force that does not validate.
#[test]
fn arbitrary_messages_do_no_harm() {
    let now = Instant::now();
    let mut sender = State::default();
    sender.apply(now, ticket(7, 1, 4)).expect("accepted");
    let manifest: Vec<_> = ticket(7, 1, 4).objects().map(|object| object.id()).collect();
    let mut valid = vec![Message::Announce(vec![7, 8])];
    let mut source = Disseminator::new(Config::new("z".into()), 1, 1, now);
    let mut out = Vec::new();
    source.on_published(now, vec![ticket(7, 1, 4)], &mut State::default(), &mut out);
    let mut state = sender.clone();
    let wants = manifest.iter().map(|id| Blob::Object(*id));
    let wants = wants.chain([Blob::Ticket(7)]);
    let wants = wants.map(|blob| BlobRequest { blob, parts: Vec::new() }).collect();
    source.on_message(now, 2, Message::Request(wants), &mut state, &mut out);
    source.on_message(now, 2, Message::Digest(State::default().summary()), &mut state, &mut out);
    source.on_message(now, 2, Message::Buckets(vec![0; 64]), &mut state, &mut out);
    valid.extend(out.into_iter().filter_map(|action| match action {
        Action::Send { message, .. } => Some(message),
        _ => None,
    }));
    let valid: Vec<Vec<u8>> =
        valid.iter().map(|m| postcard::to_stdvec(m).expect("messages can be encoded")).collect();
    assert!(valid.len() > 10);
    bolero::check!().with_type::<(Vec<u8>, Vec<(u16, u8)>, u8)>().for_each(
        |(bytes, changes, first)| {
            let mut disseminator = Disseminator::new(Config::new("z".into()), 1, 1, now);
            let mut state = State::default();
            state.apply(now, ticket(9, 2, 2)).expect("accepted");
            let before: Vec<_> = state.items().cloned().collect();
            let mut messages = vec![bytes.clone()];
            for (index, (position, byte)) in changes.iter().enumerate() {
                let mut mutated = valid[(usize::from(*first) + index) % valid.len()].clone();
                let position = usize::from(*position) % mutated.len();
                mutated[position] = *byte;
                messages.push(mutated);
            }
            for bytes in messages {
                if let Ok(message) = postcard::from_bytes::<Message>(&bytes) {
                    disseminator.on_message(now, 2, message, &mut state, &mut Vec::new());
                }
            }
            assert!(state.items().all(|item| item.validate().is_ok()));
            assert!(before.iter().all(|item| {
                state.items().any(|other| other == item)
                    || state
                        .get(item.object().id())
                        .is_some_and(|newest| newest.number > item.number)
            }));
        },
    );
}
