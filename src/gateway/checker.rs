use std::{io::ErrorKind, time::Duration};

use tokio::{net::TcpStream, sync::mpsc, time::timeout};

use crate::cookie::{Check, CheckOutcome};

/// How long a target's host may take to answer a connection attempt. Callers retransmit after
/// 200 ms and 400 ms more, so the outcome is known when the second retransmission arrives.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(350);

/// Makes connection checks of targets, each in a task of its own.
pub(super) struct Checker {
    outcomes: mpsc::UnboundedSender<(Check, CheckOutcome)>,
}

impl Checker {
    /// Creates a checker and the receiver of its outcomes. The forwarder limits the number of
    /// checks at the same time, so the queue is bounded.
    pub(super) fn new() -> (Checker, mpsc::UnboundedReceiver<(Check, CheckOutcome)>) {
        let (outcomes, receiver) = mpsc::unbounded_channel();
        (Checker { outcomes }, receiver)
    }

    /// Starts a check.
    pub(super) fn start(&self, check: Check) {
        let outcomes = self.outcomes.clone();
        tokio::spawn(async move {
            let outcome = connect(&check).await;
            // The receiver is gone only if the packet loop has stopped.
            let _ = outcomes.send((check, outcome));
        });
    }
}

/// Opens a connection to a target and closes it again. No request is sent, which would take one of
/// the target's slots.
async fn connect(check: &Check) -> CheckOutcome {
    match timeout(ANSWER_TIMEOUT, TcpStream::connect(check.address)).await {
        Ok(Ok(_)) => CheckOutcome::Accepted,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => CheckOutcome::Refused,
        Ok(Err(error)) => {
            log::debug!("check of the target at {} failed: {error}", check.address);
            CheckOutcome::Unanswered
        }
        Err(_) => CheckOutcome::Unanswered,
    }
}
