/// What a forwarder knows about a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Standing {
    /// The target may receive packets of the service.
    Usable,
    /// A ticket removed the target, took its zone out, or its drain deadline has passed.
    Gone,
    /// No ticket with the target has arrived yet.
    Unheard,
}
