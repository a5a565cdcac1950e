//! The cases of the review.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    client::{Client, Flow, Outcome},
    record::Record,
    testbed::{GRACE, Plan, Result, SERVICE, Testbed, config, config_with_rate, idle_service},
};

pub struct Verdict {
    pub is_broken: bool,
    pub reason: String,
}

/// The callers' deadline.
const DEADLINE: Duration = Duration::from_secs(8);

pub fn run(case: &str, has_trouble: bool, record: &Arc<Record>) -> Result<Verdict> {
    match case {
        "large-config" => large_config(has_trouble, record),
        "foreign-entry" => foreign_entry(has_trouble, record),
        "restarted-backend" => restarted_backend(has_trouble, record),
        "fraction" => fraction(has_trouble, record),
        "cold-backend" => cold_backend(has_trouble, record),
        _ => Err(format!("no case {case:?}").into()),
    }
}

fn sleep(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds));
}

/// The configuration grows to a size that the store accepts, then a zone is evacuated.
fn large_config(has_trouble: bool, record: &Arc<Record>) -> Result<Verdict> {
    /// `evacuateMs`, and `configApplyMs` of the deployments with links of 10 Mbit/s.
    const BOUND: Duration = Duration::from_secs(5);
    /// What one `big_config` adds.
    const STEP: usize = 1400;
    let plan = Plan {
        daemons: vec!["za", "za", "zb"],
        backends: vec!["za", "za", "zb", "zb"],
        clients: vec!["za", "zb"],
        link_mbps: Some(10.0),
        ..Plan::default()
    };
    let testbed = Testbed::start(&plan, &config(1, 10), record)?;
    let is_ended = Arc::new(AtomicBool::new(false));
    let evacuated_at = Arc::new(std::sync::Mutex::new(None::<Instant>));
    let mut threads = Vec::new();
    for client in testbed.clients.clone() {
        let (is_ended, evacuated_at) = (is_ended.clone(), evacuated_at.clone());
        let zone_ids: Vec<String> = testbed
            .backends
            .iter()
            .filter(|backend| backend.config.zone == "zb")
            .map(|backend| backend.id())
            .collect();
        threads.push(thread::spawn(move || {
            let (mut served, mut late) = (0, 0);
            while !is_ended.load(Ordering::SeqCst) {
                let sent_at = Instant::now();
                if let Ok(mut flow) = client.open(SERVICE) {
                    let outcome = flow.request(&format!("{}-{served}", client.zone), DEADLINE);
                    flow.close();
                    if let Outcome::Answered(backend) = outcome {
                        served += 1;
                        let evacuated_at = *evacuated_at.lock().unwrap();
                        let is_late = evacuated_at.is_some_and(|at| sent_at > at + BOUND);
                        late += u32::from(is_late && zone_ids.contains(&backend));
                    }
                }
                thread::sleep(Duration::from_millis(100));
            }
            (served, late)
        }));
    }
    let mut idle = 10;
    for version in 2..=5 {
        sleep(1.5);
        idle += if has_trouble { STEP } else { 10 };
        testbed.publish(version, &config(version, idle));
    }
    let newest = (idle_service(idle - 1), Instant::now());
    sleep(6.0);
    // A route that the newest configuration has added is tried through each zone.
    let probes: Vec<String> = testbed
        .clients
        .iter()
        .map(|client| match client.open(newest.0) {
            Ok(flow) => {
                flow.close();
                "opened".to_owned()
            }
            Err(outcome) => format!("{outcome:?}"),
        })
        .collect();
    record.add(format!(
        "a route of the newest configuration {:.1} s after its acknowledgement: {probes:?}",
        newest.1.elapsed().as_secs_f64()
    ));
    testbed.store.put("op/evacuate/zb", b"{}");
    *evacuated_at.lock().unwrap() = Some(Instant::now());
    record.add("the evacuation of zb is acknowledged");
    sleep(15.0);
    is_ended.store(true, Ordering::SeqCst);
    let results: Vec<(u32, u32)> =
        threads.into_iter().filter_map(|thread| thread.join().ok()).collect();
    for daemon in &testbed.daemons {
        for line in daemon
            .log_lines(&["configuration is in force", "does not answer", "is not confirmed"], 6)
        {
            record.add(format!("log of {}: {line}", daemon.fields.name));
        }
    }
    let served: u32 = results.iter().map(|(served, _)| served).sum();
    let late: u32 = results.iter().map(|(_, late)| late).sum();
    if served < 50 {
        return Err(format!("only {served} requests were served").into());
    }
    let refused = probes.iter().filter(|probe| *probe != "opened").count();
    Ok(Verdict {
        is_broken: late > 0 || refused > 0,
        reason: format!(
            "EVAC: {late} flows that were opened later than 5 s after the acknowledgement ran in zb; \
             CONFIG: {refused} of {} probes of a route that was added 6 s before were refused ({served} requests served)",
            probes.len()
        ),
    })
}

/// Opens flows until `count` of them have had a request answered, and returns them.
fn open_flows(client: &Arc<Client>, count: usize, name: &str) -> Vec<Flow> {
    let mut flows = Vec::new();
    for index in 0..2 * count {
        if flows.len() >= count {
            break;
        }
        let Ok(mut flow) = client.open(SERVICE) else { continue };
        if matches!(flow.request(&format!("{name}-{index}"), DEADLINE), Outcome::Answered(_)) {
            flows.push(flow);
        }
    }
    flows
}

/// Another writer overwrites the entry of a running backend for a moment.
fn foreign_entry(has_trouble: bool, record: &Arc<Record>) -> Result<Verdict> {
    let plan = Plan { backends: vec!["za"; 3], ..Plan::default() };
    let testbed = Testbed::start(&plan, &config(1, 10), record)?;
    // The daemons have known the targets for longer than any of their own delays.
    sleep(6.0);
    let mut flows = open_flows(&testbed.clients[0], 12, "first");
    let backend = testbed.backends[0].clone();
    let on_backend =
        flows.iter().filter(|flow| flow.backend.as_deref() == Some(&*backend.id())).count();
    if on_backend == 0 {
        return Err("no flow is open on the backend".into());
    }
    record.add(format!(
        "{on_backend} of {} flows are open on backend {}",
        flows.len(),
        backend.id()
    ));
    if has_trouble {
        let revision =
            testbed.store.put(&backend.key(), br#"{"service":"board","state":"paused"}"#);
        record.add(format!(
            "another writer overwrites the entry of {}, revision {revision}",
            backend.id()
        ));
    }
    let mut resets = 0;
    let mut answered = 0;
    for round in 0..10 {
        sleep(0.4);
        let mut open = Vec::new();
        for (index, mut flow) in flows.into_iter().enumerate() {
            match flow.request(&format!("round{round}-{index}"), DEADLINE) {
                Outcome::Answered(_) => {
                    answered += 1;
                    open.push(flow);
                }
                Outcome::ResetBySystem => resets += 1,
                Outcome::ResetByBackend | Outcome::Deadline => {}
            }
        }
        flows = open;
    }
    for daemon in &testbed.daemons {
        for line in daemon.log_lines(&["target has changed", "is ignored", "reset"], 8) {
            record.add(format!("log of {}: {line}", daemon.fields.name));
        }
    }
    Ok(Verdict {
        is_broken: resets > 0,
        reason: format!(
            "FLOW: {resets} open flows of running backends were reset by the system ({answered} requests answered)"
        ),
    })
}

/// A backend starts again under its id, then the daemons are stopped and started in turn.
fn restarted_backend(has_trouble: bool, record: &Arc<Record>) -> Result<Verdict> {
    // One backend of eight restarts, 0.125 of them.
    let plan = Plan { backends: vec!["za"; 8], ..Plan::default() };
    let mut testbed = Testbed::start(&plan, &config(1, 10), record)?;
    sleep(6.0);
    let backend = testbed.backends[0].clone();
    if has_trouble {
        backend.crash();
        sleep(0.1);
        // Its first heartbeat comes within `heartbeatMs`.
        backend.start(Duration::from_millis(1000))?;
    }
    let restarted_at = Instant::now();
    sleep(0.1);
    let flows = open_flows(&testbed.clients[0], 48, "first");
    record.add(format!(
        "{} flows are open {:.3} s after the start of {}",
        flows.len(),
        restarted_at.elapsed().as_secs_f64(),
        backend.id()
    ));
    if flows.len() < 4 {
        return Err("too few flows are open".into());
    }
    let idle_since = Instant::now();
    sleep(2.0);
    for index in 0..testbed.daemons.len() {
        testbed.daemons[index].stop(GRACE);
        testbed.daemons[index].start()?;
        if !testbed.wait_for_rotation(index, Duration::from_secs(10)) {
            return Err("a daemon is not ready after its restart".into());
        }
        record.add(format!("daemon {} is in rotation again", testbed.daemons[index].fields.name));
    }
    // Longer than `stabilityMs` after all that, and less than `idleTimeoutMs` after the last packets.
    sleep(4.5);
    let idle = idle_since.elapsed();
    record.add(format!("the flows have been idle for {:.1} s", idle.as_secs_f64()));
    if idle > Duration::from_secs(14) {
        return Err("the flows were idle for too long".into());
    }
    let threads: Vec<_> = flows
        .into_iter()
        .enumerate()
        .map(|(index, mut flow)| {
            thread::spawn(move || {
                (flow.backend.clone(), flow.request(&format!("second-{index}"), DEADLINE))
            })
        })
        .collect();
    let results: Vec<(Option<String>, Outcome)> =
        threads.into_iter().filter_map(|thread| thread.join().ok()).collect();
    let count =
        |outcome: fn(&Outcome) -> bool| results.iter().filter(|(_, found)| outcome(found)).count();
    let resets = count(|outcome| *outcome == Outcome::ResetBySystem);
    let answered = count(|outcome| matches!(outcome, Outcome::Answered(_)));
    let others = results.len() - resets - answered;
    for daemon in &testbed.daemons {
        for line in daemon.log_lines(&["reset", "configuration is in force"], 8) {
            record.add(format!("log of {}: {line}", daemon.fields.name));
        }
    }
    Ok(Verdict {
        is_broken: resets > 0,
        reason: format!(
            "FLOW: of {} open flows, {resets} were reset by the system while their backend ran undisturbed, \
             {answered} were answered, {others} ended otherwise",
            results.len()
        ),
    })
}

/// A bound in the settings becomes a fraction, and the daemons are stopped and started in turn.
fn fraction(has_trouble: bool, record: &Arc<Record>) -> Result<Verdict> {
    let plan = Plan::default();
    let mut testbed = Testbed::start(&plan, &config(1, 10), record)?;
    let grace = if has_trouble { "6.5" } else { "7" };
    for daemon in &mut testbed.daemons {
        daemon.fields.grace_s = grace.to_owned();
        daemon.write_settings()?;
        daemon.signal("HUP");
    }
    record.add(format!("the settings have changed: graceS={grace}"));
    sleep(3.0);
    let mut failed_starts = 0;
    for index in 0..testbed.daemons.len() {
        testbed.daemons[index].stop(GRACE);
        // The platform starts a process again that has ended.
        for _ in 0..5 {
            testbed.daemons[index].start()?;
            sleep(2.0);
            match testbed.daemons[index].ended() {
                Some(status) => {
                    failed_starts += 1;
                    record.add(format!(
                        "daemon {} ended by itself: {status}",
                        testbed.daemons[index].fields.name
                    ));
                }
                None => break,
            }
        }
    }
    let flows = open_flows(&testbed.clients[0], 4, "last");
    for daemon in &testbed.daemons {
        for line in daemon.log_lines(&["invalid", "problem", "settings"], 4) {
            record.add(format!("log of {}: {line}", daemon.fields.name));
        }
    }
    Ok(Verdict {
        is_broken: failed_starts > 0,
        reason: format!(
            "Fault: processes ended by themselves at {failed_starts} starts with graceS={grace}; \
             {} of 4 flows could be opened afterwards",
            flows.len()
        ),
    })
}

/// All daemons of a large zone are killed and start again, the three seeds later than the others. Meanwhile
/// a backend is added, which is cold.
fn cold_backend(has_trouble: bool, record: &Arc<Record>) -> Result<Verdict> {
    /// `warmupPerS`, `coldOver` and `coldSlack`.
    const RATE: f64 = 13.0;
    const LIMIT: f64 = RATE * 1.5 + 5.0;
    const SEEDS: usize = 3;
    const COLD_FOR: Duration = Duration::from_secs(2);
    /// When backends are added, and when the machines of the seeds are back, after the kill.
    const ADDED_AFTER: Duration = Duration::from_millis(1600);
    const SEEDS_DOWN: Duration = Duration::from_millis(3500);
    let plan = Plan {
        daemons: vec!["za"; 23],
        // One backend is added to four, 0.25 of them.
        backends: vec!["za"; 5],
        clients: vec!["za"; 4],
        later_backends: 1,
        cold_for: COLD_FOR,
        ..Plan::default()
    };
    let mut testbed = Testbed::start(&plan, &config_with_rate(1, 10, RATE), record)?;
    // The daemons know each other, and the first backends are warm.
    sleep(18.0);
    let is_ended = Arc::new(AtomicBool::new(false));
    let openers: Vec<_> = (0..40)
        .map(|index| {
            let client = testbed.clients[index % testbed.clients.len()].clone();
            let is_ended = is_ended.clone();
            thread::spawn(move || {
                // The flows stay open.
                let mut flows = Vec::new();
                while !is_ended.load(Ordering::SeqCst) {
                    flows.extend(client.open(SERVICE));
                    thread::sleep(Duration::from_millis(150));
                }
                flows.len()
            })
        })
        .collect();
    sleep(3.0);
    let killed_at = Instant::now();
    if has_trouble {
        testbed.daemons.iter_mut().for_each(|daemon| daemon.kill());
        record.add("all daemons are killed");
        sleep(0.6);
        for daemon in &mut testbed.daemons[SEEDS..] {
            daemon.start()?;
        }
    }
    thread::sleep((killed_at + ADDED_AFTER).saturating_duration_since(Instant::now()));
    let added = testbed.backends[plan.backends.len() - plan.later_backends..].to_vec();
    let started_at = record.now();
    for backend in &added {
        backend.start(Duration::ZERO)?;
    }
    thread::sleep((killed_at + SEEDS_DOWN).saturating_duration_since(Instant::now()));
    if has_trouble {
        for daemon in &mut testbed.daemons[..SEEDS] {
            daemon.start()?;
        }
    }
    sleep(1.0);
    is_ended.store(true, Ordering::SeqCst);
    let flows: usize = openers.into_iter().filter_map(|opener| opener.join().ok()).sum();
    let mut most = 0;
    for backend in &added {
        let mut openings = backend.openings.lock().unwrap().clone();
        openings.retain(|at| *at < started_at + COLD_FOR);
        let within = |first: &Duration| {
            let second = Duration::from_secs(1);
            openings.iter().filter(|at| *at >= first && **at < *first + second).count()
        };
        let highest = openings.iter().map(within).max().unwrap_or(0);
        record.add(format!(
            "cold backend {}: {} flows while it was cold, at most {highest} in one second",
            backend.id(),
            openings.len()
        ));
        most = most.max(highest);
    }
    for daemon in &testbed.daemons[SEEDS..SEEDS + 3] {
        for line in daemon.log_lines(&["limits of cold targets"], 3) {
            record.add(format!("log of {}: {line}", daemon.fields.name));
        }
    }
    Ok(Verdict {
        is_broken: most as f64 > LIMIT,
        reason: format!(
            "FAILBACK: a cold backend got {most} flows in one second, the limit is {LIMIT} ({flows} flows opened)"
        ),
    })
}
