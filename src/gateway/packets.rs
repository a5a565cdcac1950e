use std::{
    io,
    net::{SocketAddr, UdpSocket},
    sync::{Arc, atomic::Ordering},
    thread,
    time::{Duration, Instant},
};

use log::{error, info, warn};
use ractor::ActorRef;
use tokio::{
    io::Interest,
    net::UdpSocket as AsyncSocket,
    runtime::Builder,
    sync::{mpsc, oneshot},
    time::MissedTickBehavior,
};

use crate::{
    cookie::{Flow, Forwarder, Verdict},
    gateway::{
        Codec, checker::Checker, command::Command, component::Guard, directory_actor::Request,
        event_logger::EventLogger, pause_detector::PauseDetector, report_exchange::ReportExchange,
        shared::Shared,
    },
    telemetry::Histogram,
    util::{ReceiveBatch, SendBatch},
};

/// The interval of the periodic work of the packet loop.
const TICK: Duration = Duration::from_millis(100);

/// The age of the last confirmation of the targets or the configuration from which on the view counts
/// as unconfirmed. A daemon that reads or follows without failures confirms both more often.
const MAXIMUM_VIEW_AGE: Duration = Duration::from_secs(4);

/// The number of ticks between two sweeps of the flow table.
const SWEEP_TICKS: u32 = 10;

/// The loop that receives the packets of callers, decides with the [`Forwarder`] what happens to
/// each, and sends them to targets.
pub(super) struct PacketLoop<C> {
    pub(super) codec: C,
    pub(super) forwarder: Forwarder,
    pub(super) shared: Arc<Shared>,
    pub(super) directory_actor: ActorRef<Request>,
    /// The UDP port at which callers receive packets.
    pub(super) caller_port: u16,
    /// The daemon's availability zone.
    pub(super) zone: Arc<str>,
    pub(super) socket: UdpSocket,
    pub(super) commands: mpsc::Receiver<Command>,
    /// The time that callers waited for the response to an opening packet.
    pub(super) opening_times: Histogram,
    /// The exchange of reports with other daemons, if the settings enable it.
    pub(super) report_exchange: Option<ReportExchange>,
}

impl<C: Codec> PacketLoop<C> {
    /// Starts the loop on its own thread, which holds `guard`. The loop ends when the sender of
    /// `stop` is dropped.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread or its runtime cannot be started.
    pub(super) fn spawn(self, stop: oneshot::Receiver<()>, guard: Guard) -> io::Result<()> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let run = move || {
            let _guard = guard;
            runtime.block_on(async move {
                match self.socket.try_clone().and_then(AsyncSocket::from_std) {
                    Ok(async_socket) => self.run(async_socket, stop).await,
                    Err(error) => {
                        error!("data socket cannot be used; no packets are forwarded: {error}")
                    }
                }
            });
        };
        thread::Builder::new().name("packets".to_owned()).spawn(run).map(drop)
    }

    async fn run(mut self, async_socket: AsyncSocket, mut stop: oneshot::Receiver<()>) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut pause_detector = PauseDetector::new();
        let mut event_logger = EventLogger::new(Instant::now());
        let mut receive_batch = ReceiveBatch::new();
        let mut send_batch = SendBatch::new();
        let (checker, mut check_outcomes) = Checker::new();
        let mut tick: u32 = 0;
        let started_at = Instant::now();
        let mut is_view_outdated = false;
        loop {
            tokio::select! {
                _ = &mut stop => return,
                _ = ticks.tick() => {
                    self.handle_pause(&mut pause_detector);
                    pause_detector.tick();
                    self.refresh_view();
                    self.forwarder
                        .set_cold_sharers(self.shared.cold_sharers.load(Ordering::Relaxed));
                    self.forwarder
                        .set_zone_daemons(self.shared.zone_daemons.load(Ordering::Relaxed));
                    self.update_cut_off();
                    is_view_outdated =
                        self.log_view_age(Instant::now(), started_at, is_view_outdated);
                    self.forwarder.check_unanswered_opens(Instant::now());
                    self.reset_lost_flows(&receive_batch, &mut send_batch);
                    if let Some(exchange) = &mut self.report_exchange {
                        exchange.tick(Instant::now(), &mut self.forwarder);
                    }
                    tick = tick.wrapping_add(1);
                    if tick.is_multiple_of(SWEEP_TICKS) {
                        self.forwarder.sweep(Instant::now());
                        self.shared.publish_stats(&self.forwarder, event_logger.suppressed_lines());
                    }
                }
                Some((check, outcome)) = check_outcomes.recv() => {
                    self.forwarder.record_check(Instant::now(), &check, outcome);
                }
                Some(command) = self.commands.recv() => self.handle_command(command),
                result = async_socket.readable() => {
                    if let Err(error) = result {
                        warn!("data socket failed; no more packets are forwarded: {error}");
                        return;
                    }
                    self.handle_pause(&mut pause_detector);
                    let _ = async_socket.try_io(Interest::READABLE, || {
                        let count = receive_batch.receive(&self.socket)?;
                        self.process_datagrams(count, &receive_batch, &mut send_batch);
                        Ok(())
                    });
                }
            }
            for check in self.forwarder.take_checks() {
                checker.start(check);
            }
            for opening_time in self.forwarder.take_opening_delays() {
                self.opening_times.record(opening_time, "opening");
            }
            let events = self.forwarder.take_events();
            if !events.is_empty() {
                event_logger.log_events(Instant::now(), self.forwarder.view(), events);
            }
        }
    }

    fn handle_pause(&mut self, pause_detector: &mut PauseDetector) {
        let Some(gap) = pause_detector.check() else {
            return;
        };
        warn!(gap_ms = gap.as_millis() as u64; "process was paused");
        self.forwarder.record_pause(Instant::now());
        if let Some(exchange) = &mut self.report_exchange {
            exchange.record_pause(Instant::now());
        }
        self.shared.reader_wakeup.notify_waiters();
        if self.directory_actor.cast(Request::ProcessPaused).is_err() {
            warn!("directory actor has stopped; it is not told of the pause");
        }
    }

    /// Logs when the store has not confirmed the view for [`MAXIMUM_VIEW_AGE`] and when it has
    /// confirmed the view again. Returns whether the view is unconfirmed. The packet loop has its own
    /// thread, so that it also notices when the tasks that renew the view no longer run.
    fn log_view_age(&self, now: Instant, started_at: Instant, was_unconfirmed: bool) -> bool {
        let view = self.forwarder.view();
        if !view.is_complete() {
            return was_unconfirmed;
        }
        let [targets, config] = [view.read_at, view.confirmed_at]
            .map(|at| now.saturating_duration_since(at.unwrap_or(started_at)));
        let is_unconfirmed = targets.max(config) > MAXIMUM_VIEW_AGE;
        if is_unconfirmed && !was_unconfirmed {
            warn!(
                targets_ms = targets.as_millis() as u64, config_ms = config.as_millis() as u64,
                revision:% = view.revision, version = view.version().unwrap_or(0);
                "view is not confirmed; packets are still forwarded by it"
            );
        } else if was_unconfirmed && !is_unconfirmed {
            info!(revision:% = view.revision; "view is confirmed again");
        }
        is_unconfirmed
    }

    /// Publishes whether the daemon is cut off: no target answers, and the store or another zone
    /// cannot be reached either. A daemon that is cut off is not ready.
    fn update_cut_off(&self) {
        let was_cut_off = self.shared.is_cut_off.load(Ordering::Relaxed);
        let failing_calls = self.shared.failing_calls();
        let has_remote_failure = self.shared.has_remote_failure(&self.zone);
        let is_cut_off = match self.forwarder.is_every_target_silent(Instant::now()) {
            Some(true) => was_cut_off || has_remote_failure || self.forwarder.has_silent_zone(),
            Some(false) => false,
            // While the fabric sends the packets of callers to other daemons, no packets show
            // whether targets answer. A daemon that was cut off then stays cut off until the store
            // and the other zones can be reached.
            None => was_cut_off && has_remote_failure,
        };
        if self.shared.is_cut_off.swap(is_cut_off, Ordering::Relaxed) != is_cut_off {
            if is_cut_off {
                warn!(failing_calls = failing_calls; "daemon is cut off: no target answers");
            } else {
                info!(failing_calls = failing_calls; "daemon is no longer cut off");
            }
        }
    }

    fn handle_command(&self, command: Command) {
        // The requester may have given up, so a failed reply is ignored.
        match command {
            Command::LastTarget(flow, reply) => {
                let _ = reply.send(self.forwarder.target_of(&flow).cloned());
            }
            Command::Observations(reply) => {
                let _ = reply.send(self.forwarder.observations());
            }
        }
    }

    /// Resets the flows whose targets have ended or do not answer.
    fn reset_lost_flows(&mut self, receive_batch: &ReceiveBatch, send_batch: &mut SendBatch) {
        for (flow, expected) in self.forwarder.take_lost_flows(Instant::now()) {
            self.queue_reset(&flow, expected, send_batch);
        }
        let failed = send_batch.flush(&self.socket, receive_batch);
        self.shared.count_unsent(failed);
    }

    fn queue_reset(&self, flow: &Flow, expected: u32, send_batch: &mut SendBatch) {
        let caller = (*flow.caller.ip(), self.caller_port).into();
        send_batch.push_written(caller, |buffer| self.codec.encode_reset(flow, expected, buffer));
    }

    /// Hands the newest published view to the forwarder.
    fn refresh_view(&mut self) {
        let view = self.shared.view.load();
        if !Arc::ptr_eq(&view, self.forwarder.view()) {
            self.forwarder.set_view(view.clone());
        }
    }

    fn process_datagrams(
        &mut self,
        count: usize,
        receive_batch: &ReceiveBatch,
        send_batch: &mut SendBatch,
    ) {
        let now = Instant::now();
        self.refresh_view();
        for index in 0..count {
            let Some((_, datagram)) = receive_batch.datagram(index) else {
                continue;
            };
            let packet = match self.codec.decode(datagram) {
                Ok(packet) => packet,
                Err(_) => {
                    self.shared.count_malformed();
                    continue;
                }
            };
            match self.forwarder.decide(now, &packet) {
                Verdict::Forward(destination) => {
                    send_batch.push_written(SocketAddr::V4(destination.address), |buffer| {
                        self.codec.encode_delivery(datagram, &destination, buffer);
                    });
                }
                Verdict::Reset(_) => {
                    self.queue_reset(&packet.flow, packet.acknowledged, send_batch)
                }
                Verdict::Drop(_) => {}
            }
        }
        let failed = send_batch.flush(&self.socket, receive_batch);
        self.shared.count_unsent(failed);
    }
}
