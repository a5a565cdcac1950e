//! Placement: slow start of cold targets, limits and balance.

mod common;

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::{Duration, Instant},
};

use banyanwharf::{
    load::Class,
    member::{Id, Info, Member, Status, View, id},
    place::{Config, Placer, Preference, Refusal},
    ticket::{Priority, TargetState},
};

const REGION: &str = "region-1";

fn member(name: &str, zone: &str, status: Status, since: Instant) -> Member {
    let address = "127.0.0.1:1".parse().expect("the address is valid");
    let info = Info {
        name: Arc::from(name),
        region: Arc::from(REGION),
        zone: Arc::from(zone),
        peer: address,
        admin: address,
    };
    Member { info, incarnation: 1, status, since }
}

fn view(members: &[(usize, Status)], since: Instant) -> View {
    let mut view = View::new();
    for (number, status) in members {
        view.insert(member(&format!("entry-{number}"), "zone-a", *status, since));
    }
    view
}

fn placer(number: usize, now: Instant) -> Placer {
    Placer::new(Config::default(), id(&format!("entry-{number}")), 7, now)
}

/// Guards against daemons with different views that together place more new flows on a cold target
/// than its slots allow in one unit period.
#[test]
fn cold_allowance_holds_under_uneven_views() {
    bolero::check!().with_iterations(300).with_type::<Vec<(u8, u8, u8)>>().for_each(|steps| {
        let start = Instant::now();
        let mut now = start + Duration::from_secs(100);
        let target = common::target(1, "zone-a");
        let table = common::table(vec![target.clone()], Priority::Balance);
        let mut placers: BTreeMap<usize, Placer> = BTreeMap::new();
        // Test oracle: the existing members, when each joined, and the member lists over time.
        let mut joined: BTreeMap<usize, Instant> = (0..4).map(|n| (n, start)).collect();
        let mut changed = vec![(start, (0..4).collect::<Vec<_>>())];
        let mut placed: Vec<Instant> = Vec::new();
        for number in 0..4 {
            placers.insert(number, placer(number, start));
        }
        let started = now;
        for placer in placers.values_mut() {
            placer.set_class(target.id, Class::Cold, started);
        }
        for (flow, (action, who, wait)) in steps.iter().enumerate() {
            now += Duration::from_millis(u64::from(*wait) * 4);
            if action % 8 == 0 && joined.len() < 8 {
                let number = joined.len();
                joined.insert(number, now);
                let mut placer = placer(number, now);
                placer.set_class(target.id, Class::Cold, started);
                placers.insert(number, placer);
                changed.push((now, joined.keys().copied().collect()));
            }
            let number = usize::from(*who) % joined.len();
            // A daemon learns of a join after at most 10 s.
            let known = changed
                .iter()
                .rev()
                .find(|(at, members)| {
                    (*at + Duration::from_secs(u64::from(action % 11)) <= now || *at == start)
                        && members.contains(&number)
                })
                .map_or_else(|| vec![number], |(_, members)| members.clone());
            let members: Vec<_> = known.iter().map(|n| (*n, Status::Alive)).collect();
            let placer = placers.get_mut(&number).expect("the placer exists");
            placer.set_members(&view(&members, start), REGION);
            let key = common::key(flow as u32);
            let service = table.service(0).expect("the service exists");
            let fingerprint = common::hasher().fingerprint(&key);
            if placer.place(now, &table, service, fingerprint, Preference::Balance, &[]).is_ok() {
                placer.record_open(target.id);
                placed.push(now);
            }
            let recent = placed.iter().filter(|at| **at + Duration::from_secs(1) > now).count();
            let elapsed = now.duration_since(started).as_secs_f64() / 30.0;
            let allowed = 1 + (3.0 * elapsed.min(1.0)).floor() as usize;
            if now.duration_since(started) < target.ramp {
                assert!(recent <= allowed, "{recent} new flows in 1 s, {allowed} allowed");
            }
        }
    });
}

/// Guards against using the units of a failed member twice: the member may only be unreachable, and
/// then still uses its units.
#[test]
fn failed_member_keeps_its_units_for_a_minute() {
    let start = Instant::now();
    let failed_at = start + Duration::from_secs(100);
    let target = common::target(1, "zone-a");
    let before = view(&[(0, Status::Alive), (1, Status::Alive)], start);
    let mut after = view(&[(0, Status::Alive)], start);
    after.insert(member("entry-1", "zone-a", Status::Failed, failed_at));
    let units_held = |view: &View, now: Instant, number: usize| {
        banyanwharf::place::UnitHolders::new(view, REGION, Duration::from_secs(60)).units_held(
            now,
            &target,
            16,
            id(&format!("entry-{number}")),
        )
    };
    let own = units_held(&before, failed_at, 0);
    assert_eq!(own + units_held(&before, failed_at, 1), 16);
    assert_eq!(units_held(&after, failed_at + Duration::from_secs(59), 0), own);
    assert_eq!(units_held(&after, failed_at + Duration::from_secs(60), 0), 16);
}

fn place_flows(placer_count: usize, flows: u32, priority: Priority) -> Vec<u32> {
    let now = Instant::now() + Duration::from_secs(100);
    let targets: Vec<_> = (1..=14).map(|id| common::target(id, "zone-a")).collect();
    let table = common::table(targets, priority);
    let members: Vec<_> = (0..placer_count).map(|n| (n, Status::Alive)).collect();
    let mut placers: Vec<_> = (0..placer_count).map(|n| placer(n, now)).collect();
    for placer in &mut placers {
        placer.set_members(&view(&members, now), REGION);
        placer.set_routes(now, &table);
    }
    let service = table.service(0).expect("the service exists");
    let mut counts: HashMap<u64, u32> = HashMap::new();
    for number in 0..flows {
        let key = common::key(number);
        let fingerprint = common::hasher().fingerprint(&key);
        let placer = &mut placers[usize::from(fingerprint.slot()) % placer_count];
        let target = placer
            .place(now, &table, service, fingerprint, Preference::Balance, &[])
            .expect("the targets are not full");
        placer.record_open(target);
        *counts.entry(target).or_default() += 1;
    }
    counts.into_values().collect()
}

fn max_over_mean(counts: &[u32]) -> f64 {
    let sum: u32 = counts.iter().sum();
    let max = counts.iter().copied().max().unwrap_or_default();
    f64::from(max) * 14.0 / f64::from(sum)
}

/// Guards against imbalance: in steady state with 14 targets, the goal for the most loaded target
/// is at most 1.10 times the mean.
#[test]
fn steady_placement_is_balanced() {
    let balanced = place_flows(5, 14_000, Priority::Balance);
    assert!(max_over_mean(&balanced) <= 1.10, "{balanced:?}");
    let stable = place_flows(5, 14_000, Priority::Stability);
    assert!(max_over_mean(&stable) <= 1.25 + 0.05, "{stable:?}");
}

/// Guards against placers that together exceed the connections of a target.
#[test]
fn connections_are_shared() {
    let now = Instant::now() + Duration::from_secs(100);
    let table = common::table(vec![common::target(1, "zone-a")], Priority::Balance);
    let members = [(0, Status::Alive), (1, Status::Failed), (2, Status::Suspect)];
    let service = table.service(0).expect("the service exists");
    let mut placed = 0;
    for number in 0..3 {
        let mut placer = placer(number, now);
        placer.set_members(&view(&members, now), REGION);
        for flow in 0..3000 {
            let key = common::key(flow);
            let fingerprint = common::hasher().fingerprint(&key);
            match placer.place(now, &table, service, fingerprint, Preference::Balance, &[]) {
                Ok(target) => placer.record_open(target),
                Err(refusal) => {
                    assert_eq!(refusal, Refusal::Full);
                    break;
                }
            }
            placed += 1;
        }
    }
    assert!(placed <= 2000 && placed > 1900, "{placed}");
}

/// Guards against new flows on targets that drain, are in quarantine, have failed, or are in a zone
/// out of service.
#[test]
fn unplaceable_targets_get_no_flow() {
    let now = Instant::now() + Duration::from_secs(100);
    let mut targets: Vec<_> = (1..=4).map(|id| common::target(id, "zone-a")).collect();
    targets[0].state = TargetState::Draining;
    targets[1].zone_out = true;
    targets[2].quarantined = true;
    let table = common::table(targets, Priority::Balance);
    let mut placer = placer(0, now);
    let service = table.service(0).expect("the service exists");
    let place = |placer: &mut Placer, flow: u32, excluded: &[u64]| {
        let key = common::key(flow);
        placer.place(
            now,
            &table,
            service,
            common::hasher().fingerprint(&key),
            Preference::Balance,
            excluded,
        )
    };
    for flow in 0..100 {
        assert_eq!(place(&mut placer, flow, &[]), Ok(4));
    }
    assert_eq!(place(&mut placer, 100, &[4]), Err(Refusal::NoTarget));
    placer.set_class(4, Class::Failing, now);
    assert_eq!(place(&mut placer, 101, &[]), Err(Refusal::Full));
}

/// Guards against one caller that takes all new flows while the daemon is above its rate limit.
#[test]
fn busy_caller_leaves_room_for_others() {
    let now = Instant::now();
    let mut placer =
        Placer::new(Config { new_flows_per_second: 1000, ..Config::default() }, 1 as Id, 7, now);
    let busy_caller = "192.0.2.1".parse().expect("the address is valid");
    let admitted = (0..5000).filter(|_| placer.admit(now, busy_caller).is_ok()).count();
    assert_eq!(admitted, 1000);
    for number in 0..200 {
        assert!(placer.admit(now, common::key(number).caller.ip()).is_ok());
    }
    assert_eq!(placer.admit(now, busy_caller), Err(Refusal::CallerLimit));
    assert!(placer.admit(now + Duration::from_secs(1), busy_caller).is_ok());
}
