//! The cases.

use std::time::{Duration, Instant};

use crate::{
    daemon::Signal,
    world::{BOARD, SHEETS, World, ZONES},
};

const REQUEST_INTERVAL: Duration = Duration::from_millis(300);

/// How long the platform takes to start a killed process again.
const RESTART_DELAY: Duration = Duration::from_millis(200);

/// The number of times that a zone is emptied and taken back.
const ROUNDS: usize = 4;

/// The number of times that the zone reader is killed.
const KILLS: usize = 5;

/// The number of times that another writer writes an entry of another service.
const FOREIGN_WRITES: usize = 3;

/// The life of a flow that is opened for a request or two.
const SHORT_FLOW: Duration = Duration::from_millis(400);

/// Long enough that a flow is not closed within a run.
const WHOLE_RUN: Duration = Duration::from_secs(100);

/// Runs a case. Returns whether it could run.
pub fn run(case: &str, world: &mut World, has_trouble: bool) -> bool {
    if !world.wait_until_ready() {
        world.record.print("daemons are not ready");
        return false;
    }
    match case {
        "entry-of-another-service" => entry_of_another_service(world, has_trouble),
        "entry-without-born" => entry_without_born(world, has_trouble),
        "late-write" => late_write(world, has_trouble),
        "returned-zone" => returned_zone(world, has_trouble),
        "reader-restart" => reader_restart(world, has_trouble),
        _ => {
            world.record.print(format!("unknown case {case}"));
            false
        }
    }
}

/// Opens `count` long flows for each client.
fn open_long_flows(world: &mut World, count: usize) {
    for _ in 0..count {
        for index in 0..world.clients.len() {
            world.open(index, BOARD, REQUEST_INTERVAL, WHOLE_RUN);
        }
        world.run_for(Duration::from_millis(20));
    }
}

/// Another writer writes an entry without `born` that names another service under the key of a running
/// backend.
fn entry_of_another_service(world: &mut World, has_trouble: bool) -> bool {
    let Some(backend) = world.backends.iter().position(|backend| backend.service == SHEETS) else {
        return false;
    };
    let mut turn = 0;
    let mut next_at = Instant::now();
    let mut open_often = |world: &mut World, now: Instant| {
        if now >= next_at {
            next_at += Duration::from_millis(25);
            turn += 1;
            world.open(turn % world.clients.len(), BOARD, REQUEST_INTERVAL, SHORT_FLOW);
        }
    };
    world.run_while(Duration::from_secs(10), &mut open_often);
    for _ in 0..FOREIGN_WRITES {
        if has_trouble {
            let backend = &world.backends[backend];
            let (key, fields) = (backend.key(), backend.entry_fields());
            let entry = format!("{{\"service\":\"{BOARD}\",{fields},\"seqNo\":4}}");
            let service = backend.service;
            world.record.print(format!("another writer writes {key} of {service}: {entry}"));
            world.store.write(&key, &entry);
        }
        world.run_while(Duration::from_millis(4300), &mut open_often);
    }
    true
}

/// Another writer writes an entry without `born` under the key of a running backend.
fn entry_without_born(world: &mut World, has_trouble: bool) -> bool {
    open_long_flows(world, 8);
    world.run_for(Duration::from_secs(10));
    let open = world.open_flow_count();
    world.record.print(format!("{open} flows are open"));
    if has_trouble {
        let backend = &world.backends[0];
        let (key, fields) = (backend.key(), backend.entry_fields());
        let entry = format!("{{\"service\":\"{}\",{fields},\"seqNo\":4}}", backend.service);
        world.record.print(format!("another writer writes {key}: {entry}"));
        world.store.write(&key, &entry);
    }
    world.run_for(Duration::from_secs(8));
    open > 0
}

/// The platform loses the answer to a heartbeat of a backend and makes its write 6 s later. Meanwhile
/// the backend has crashed and started again under its id.
fn late_write(world: &mut World, has_trouble: bool) -> bool {
    open_long_flows(world, 6);
    world.run_for(Duration::from_secs(8));
    if has_trouble {
        world.record.print("answers of the store are lost from here");
        world.late_backend = Some(0);
        let begun_at = Instant::now();
        world.run_while(Duration::from_millis(1500), |world, now| {
            world.store_disturbed_at = Some(now);
        });
        if world.late_writes.is_empty() {
            return false;
        }
        let ms = begun_at.elapsed().as_millis();
        world.record.print(format!("answers of the store were lost for {ms} ms"));
        world.backends[0].crash(Instant::now());
        world.record.print("the backend crashes");
        world.run_for(Duration::from_millis(400));
        world.backends[0].start_again(Instant::now());
        world.record.print("the backend starts again under its id");
    }
    for _ in 0..40 {
        for index in 0..world.clients.len() {
            world.open(index, BOARD, REQUEST_INTERVAL, WHOLE_RUN);
        }
        world.run_for(Duration::from_millis(60));
    }
    let open = world.flows_at(0);
    world.record.print(format!("{open} flows are open at the backend"));
    world.run_while(Duration::from_secs(8), |world, now| {
        if let Some((at, _, _)) = world.late_writes.first()
            && now - *at >= Duration::from_secs(6)
        {
            let (_, key, value) = world.late_writes.remove(0);
            world.record.print(format!("the store makes the late write of {key}"));
            world.store.write(&key, &value);
        }
    });
    open > 0
}

/// The process that reads the store for its zone is killed and starts again while another writer
/// writes unreadable entries under the key of a running backend.
fn reader_restart(world: &mut World, has_trouble: bool) -> bool {
    open_long_flows(world, 8);
    world.run_for(Duration::from_secs(8));
    let follows = |world: &World, index: usize| {
        !world.daemons[index].log_lines("store is read by another daemon").is_empty()
    };
    // One of the two daemons of the first zone follows the other one.
    let reader = if follows(world, 0) { 1 } else { 0 };
    if !follows(world, 1 - reader) {
        world.record.print("no daemon follows the zone reader");
        return false;
    }
    let name = world.daemons[reader].name.clone();
    world.record.print(format!("{name} reads the store for its zone"));
    world.disturbed_daemons.insert(reader);
    for _ in 0..KILLS {
        // Callers whose flows were reset open new ones.
        while world.open_flow_count() < 48 {
            for index in 0..world.clients.len() {
                world.open(index, BOARD, REQUEST_INTERVAL, WHOLE_RUN);
            }
            world.run_for(Duration::from_millis(300));
        }
        world.run_for(Duration::from_millis(9000));
        if has_trouble {
            world.daemons[reader].signal(Signal::Kill);
            world.record.print(format!("{name} is killed"));
            let mut next_write_at = Instant::now();
            let mut writes = 0;
            let killed_at = Instant::now();
            let mut is_down = true;
            world.run_while(Duration::from_millis(1500), |world, now| {
                if is_down && now - killed_at >= RESTART_DELAY {
                    is_down = false;
                    world.daemons[reader].spawn();
                    world.record.write("it starts again");
                }
                if now >= next_write_at && writes < 2 {
                    writes += 1;
                    next_write_at += Duration::from_millis(600);
                    let key = world.backends[0].key();
                    world.record.write(format!("another writer writes {key}"));
                    world.store.write(&key, "maintenance");
                }
            });
        }
    }
    true
}

/// A zone that was emptied is taken back, and the daemon of the zone is killed and starts again.
fn returned_zone(world: &mut World, has_trouble: bool) -> bool {
    let (zone, daemon, clients) = (ZONES[2], 3, [2, 5]);
    let key = format!("op/evacuate/{zone}");
    let mut turn = 0;
    let mut next_at = Instant::now();
    let mut open_often = |world: &mut World, now: Instant| {
        if now >= next_at {
            next_at += Duration::from_millis(20);
            turn += 1;
            world.open(clients[turn % 2], BOARD, REQUEST_INTERVAL, SHORT_FLOW);
        }
    };
    for _ in 0..ROUNDS {
        world.run_while(Duration::from_secs(5), &mut open_often);
        world.store.write(&key, "{}");
        world.record.print(format!("{zone} is emptied"));
        world.run_while(Duration::from_secs(8), &mut open_often);
        let now = Instant::now();
        for backend in world.backends.iter_mut().filter(|backend| backend.zone == zone) {
            backend.cold_until = Some(now + Duration::from_secs(5));
        }
        world.store.delete(&key);
        world.record.print(format!("{zone} is taken back, its backends are cold"));
        if has_trouble {
            world.daemons[daemon].signal(Signal::Kill);
            world.run_while(RESTART_DELAY, &mut open_often);
            world.daemons[daemon].spawn();
        }
        world.run_while(Duration::from_secs(6), &mut open_often);
    }
    true
}
