use std::{
    io,
    net::{SocketAddr, UdpSocket},
    sync::{Arc, atomic::Ordering},
    thread::{self, JoinHandle},
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
        Codec, boot_clock::PauseWatch, command::Command, keeper::Request, report::Reporter,
        shared::Shared,
    },
    telemetry::Histogram,
    util::{Inbox, Outbox},
};

/// How often timers of the packet loop run.
const TICK: Duration = Duration::from_millis(100);

/// The ticks between two sweeps of the flow table.
const SWEEP_TICKS: u32 = 10;

/// Receives, decides and sends.
pub(super) struct PacketLoop<C> {
    pub(super) codec: C,
    pub(super) forwarder: Forwarder,
    pub(super) shared: Arc<Shared>,
    pub(super) keeper: ActorRef<Request>,
    /// The port at which callers receive packets.
    pub(super) caller_port: u16,
    /// The daemon's availability zone.
    pub(super) zone: Arc<str>,
    pub(super) socket: UdpSocket,
    pub(super) commands: mpsc::Receiver<Command>,
    /// How long callers waited for the answer to an opening packet.
    pub(super) openings: Histogram,
}

impl<C: Codec> PacketLoop<C> {
    /// Starts the loop on a thread of its own, which ends when `stop` is dropped.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread or its runtime cannot be started.
    pub(super) fn spawn(self, stop: oneshot::Receiver<()>) -> io::Result<JoinHandle<()>> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let run = move || {
            runtime.block_on(async move {
                match self.socket.try_clone().and_then(AsyncSocket::from_std) {
                    Ok(ready) => self.run(ready, stop).await,
                    Err(error) => error!("data socket cannot be used: {error}"),
                }
            });
        };
        thread::Builder::new().name("packets".to_owned()).spawn(run)
    }

    async fn run(mut self, ready: AsyncSocket, mut stop: oneshot::Receiver<()>) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut pauses = PauseWatch::new();
        let mut reporter = Reporter::new(Instant::now());
        let mut inbox = Inbox::new();
        let mut outbox = Outbox::new();
        let mut tick: u32 = 0;
        loop {
            tokio::select! {
                _ = &mut stop => return,
                _ = ticks.tick() => {
                    self.notice_pause(&mut pauses);
                    pauses.tick();
                    self.refresh();
                    self.forwarder
                        .set_zone_daemons(self.shared.zone_daemons.load(Ordering::Relaxed));
                    self.notice_cut();
                    self.give_up(&inbox, &mut outbox);
                    tick = tick.wrapping_add(1);
                    if tick.is_multiple_of(SWEEP_TICKS) {
                        self.forwarder.sweep(Instant::now());
                        self.shared.observe(&self.forwarder, reporter.suppressed());
                    }
                }
                Some(command) = self.commands.recv() => self.answer(command),
                result = ready.readable() => {
                    if let Err(error) = result {
                        warn!("data socket failed: {error}");
                        return;
                    }
                    self.notice_pause(&mut pauses);
                    let _ = ready.try_io(Interest::READABLE, || {
                        let count = inbox.receive(&self.socket)?;
                        self.handle(count, &inbox, &mut outbox);
                        Ok(())
                    });
                }
            }
            for waited in self.forwarder.take_opening_delays() {
                self.openings.record(waited, "opening");
            }
            let events = self.forwarder.take_events();
            if !events.is_empty() {
                reporter.write(Instant::now(), self.forwarder.view(), events);
            }
        }
    }

    fn notice_pause(&mut self, pauses: &mut PauseWatch) {
        let Some(gap) = pauses.check() else {
            return;
        };
        warn!(gap_ms = gap.as_millis() as u64; "process was paused");
        self.forwarder.record_pause(Instant::now());
        self.shared.read_now.notify_waiters();
        if self.keeper.cast(Request::Paused).is_err() {
            warn!("keeper has ended; it does not hear of the pause");
        }
    }

    /// Publishes whether the daemon is cut off: no target answers, and the path to the store or to a
    /// zone is broken. The daemon is not ready meanwhile.
    fn notice_cut(&self) {
        let was_cut_off = self.shared.is_cut_off.load(Ordering::Relaxed);
        let failing_calls = self.shared.failing_calls();
        let is_path_broken = self.shared.is_path_broken(&self.zone);
        let is_cut_off = match self.forwarder.is_cut_off(Instant::now()) {
            Some(true) => was_cut_off || is_path_broken || self.forwarder.has_silent_zone(),
            Some(false) => false,
            // When the fabric has sent the callers elsewhere, only the path can tell.
            None => was_cut_off && is_path_broken,
        };
        if self.shared.is_cut_off.swap(is_cut_off, Ordering::Relaxed) != is_cut_off {
            if is_cut_off {
                warn!(failing_calls = failing_calls; "daemon is cut off: no target answers");
            } else {
                info!(failing_calls = failing_calls; "daemon is no longer cut off");
            }
        }
    }

    fn answer(&self, command: Command) {
        // An asker that has gone is no event.
        match command {
            Command::Seen(flow, reply) => {
                let _ = reply.send(self.forwarder.target_of(&flow).cloned());
            }
            Command::Observations(reply) => {
                let _ = reply.send(self.forwarder.observations());
            }
        }
    }

    /// Resets the flows whose targets are lost.
    fn give_up(&mut self, inbox: &Inbox, outbox: &mut Outbox) {
        for (flow, expected) in self.forwarder.take_lost_flows(Instant::now()) {
            self.reset(&flow, expected, outbox);
        }
        let failed = outbox.flush(&self.socket, inbox);
        self.shared.count_unsent(failed);
    }

    fn reset(&self, flow: &Flow, expected: u32, outbox: &mut Outbox) {
        let caller = (*flow.caller.ip(), self.caller_port).into();
        outbox.push_copy(caller, |buffer| self.codec.reset(flow, expected, buffer));
    }

    /// Uses the view that was published last.
    fn refresh(&mut self) {
        let view = self.shared.view.load();
        if !Arc::ptr_eq(&view, self.forwarder.view()) {
            self.forwarder.set_view(view.clone());
        }
    }

    fn handle(&mut self, count: usize, inbox: &Inbox, outbox: &mut Outbox) {
        let now = Instant::now();
        self.refresh();
        for index in 0..count {
            let Some((_, datagram)) = inbox.datagram(index) else {
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
                Verdict::Forward(delivery) => {
                    outbox.push_copy(SocketAddr::V4(delivery.address), |buffer| {
                        self.codec.deliver(datagram, &delivery, buffer);
                    });
                }
                Verdict::Reset(_) => self.reset(&packet.flow, packet.acknowledged, outbox),
                Verdict::Drop(_) => {}
            }
        }
        let failed = outbox.flush(&self.socket, inbox);
        self.shared.count_unsent(failed);
    }
}
