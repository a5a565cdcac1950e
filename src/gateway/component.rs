use tokio::{sync::mpsc, task::AbortHandle};

/// A part of the daemon that runs until the daemon stops.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Component {
    DirectoryActor,
    PacketLoop,
    TargetsReader,
    OperatorReader,
    MembersActor,
    FrameReceiver,
    ReportSender,
    JoinTask,
    FollowTask,
    StateFallback,
    AdminHandler,
    MetricsTask,
}

impl Component {
    /// Returns the name of the component for log lines.
    pub(super) fn name(self) -> &'static str {
        match self {
            Component::DirectoryActor => "directory actor",
            Component::PacketLoop => "packet loop",
            Component::TargetsReader => "reader of the targets",
            Component::OperatorReader => "reader of the operators' items",
            Component::MembersActor => "member actor",
            Component::FrameReceiver => "receiver of frames",
            Component::ReportSender => "sender of reports",
            Component::JoinTask => "search for members",
            Component::FollowTask => "follower of the zone reader",
            Component::StateFallback => "fetch of the state of peers",
            Component::AdminHandler => "handler of admin requests",
            Component::MetricsTask => "publication of metrics",
        }
    }

    /// Returns whether the daemon would forward packets by an outdated view, by wrong assumptions
    /// about other daemons, or not at all, without the component.
    pub(super) fn is_essential(self) -> bool {
        match self {
            Component::DirectoryActor
            | Component::PacketLoop
            | Component::TargetsReader
            | Component::OperatorReader
            | Component::MembersActor
            | Component::FrameReceiver
            | Component::JoinTask
            | Component::FollowTask
            | Component::StateFallback => true,
            Component::ReportSender | Component::AdminHandler | Component::MetricsTask => false,
        }
    }
}

/// Reports a component as ended when it is dropped, also during a panic.
#[derive(Debug)]
pub(super) struct Guard {
    component: Component,
    ended: mpsc::UnboundedSender<Component>,
}

impl Drop for Guard {
    fn drop(&mut self) {
        // The receiver is gone only while the daemon stops.
        let _ = self.ended.send(self.component);
    }
}

/// Watches the components of a daemon.
#[derive(Debug, Clone)]
pub(super) struct Watcher {
    ended: mpsc::UnboundedSender<Component>,
}

impl Watcher {
    /// Creates a watcher and the receiver of the components that end. Each component ends once, so
    /// the queue is bounded.
    pub(super) fn new() -> (Watcher, mpsc::UnboundedReceiver<Component>) {
        let (ended, receiver) = mpsc::unbounded_channel();
        (Watcher { ended }, receiver)
    }

    /// Returns the guard of a component, which the component holds while it runs.
    pub(super) fn guard(&self, component: Component) -> Guard {
        Guard { component, ended: self.ended.clone() }
    }

    /// Starts a task that runs a component.
    pub(super) fn spawn(
        &self,
        component: Component,
        run: impl Future<Output = ()> + Send + 'static,
    ) -> AbortHandle {
        let guard = self.guard(component);
        let task = async move {
            let _guard = guard;
            run.await;
        };
        tokio::spawn(task).abort_handle()
    }
}
