use std::{net::SocketAddr, path::PathBuf};

use banyanwharf::ticket::Number;
use bpaf::Bpaf;

/// The admin address of a daemon on the same VM.
const DEFAULT_ADMIN: &str = "127.0.0.1:7002";

/// Queries the state of banyanwharf daemons and checks files.
///
///
///
/// Exit codes: 0 positive answer; 1 negative answer, such as an invalid file, a lagging ticket or
/// an unknown service; 2 usage or connection error.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub(crate) enum Command {
    /// Show the state of each given daemon
    #[bpaf(command)]
    Status {
        #[bpaf(external)]
        daemons: Daemons,
    },
    /// List the members that a daemon knows
    #[bpaf(command)]
    Members {
        #[bpaf(external)]
        daemons: Daemons,
    },
    /// List the availability zones
    #[bpaf(command)]
    Zones {
        #[bpaf(external)]
        daemons: Daemons,
    },
    /// List the targets
    #[bpaf(command)]
    Targets {
        #[bpaf(external)]
        daemons: Daemons,
    },
    /// Show the numbers of flows that a daemon holds
    #[bpaf(command)]
    Flows {
        #[bpaf(external)]
        daemons: Daemons,
    },
    /// List the accepted and refused tickets
    #[bpaf(command)]
    Tickets {
        #[bpaf(external)]
        daemons: Daemons,
    },
    /// Check a ticket or wait for one
    #[bpaf(command)]
    Ticket {
        #[bpaf(external(ticket_command))]
        command: TicketCommand,
    },
    /// Show what a daemon would do with a flow
    #[bpaf(command)]
    Explain {
        /// The flow uses UDP instead of TCP
        #[bpaf(long)]
        udp: bool,
        #[bpaf(external)]
        daemons: Daemons,
        /// Address and port of the caller
        #[bpaf(positional("CALLER"))]
        caller: SocketAddr,
        /// Address and port of the service
        #[bpaf(positional("SERVICE"))]
        service: SocketAddr,
    },
    /// Check a settings or ticket file
    #[bpaf(command)]
    Check {
        /// The file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Print the spans of a trace file as trees
    #[bpaf(command)]
    Trace {
        /// Print JSON
        #[bpaf(long)]
        json: bool,
        /// The trace file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
        /// The first digits of a trace id; all traces if absent
        #[bpaf(positional("ID"))]
        id: Option<String>,
    },
}

#[derive(Debug, Clone, Bpaf)]
pub(crate) enum TicketCommand {
    /// Check a ticket file
    #[bpaf(command)]
    Check {
        /// The file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Wait until a ticket is in force at every reachable member
    ///
    ///
    ///
    /// Exit codes: 0 in force everywhere; 1 refused, or lagging at the timeout; 2 usage or
    /// connection error.
    #[bpaf(command)]
    Wait {
        /// Maximum time to wait in seconds (default 30)
        #[bpaf(long, argument("S"), fallback(30))]
        timeout: u64,
        #[bpaf(external)]
        daemons: Daemons,
        /// The ticket's number
        #[bpaf(positional("N"))]
        number: Number,
    },
}

/// The daemons to query and the format of the answer.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct Daemons {
    /// Admin address of a daemon, repeatable (default 127.0.0.1:7002)
    #[bpaf(long("admin"), argument("ADDRESS"), many, map(or_default))]
    pub(crate) admin: Vec<SocketAddr>,
    /// Print JSON
    #[bpaf(long)]
    pub(crate) json: bool,
}

fn or_default(addresses: Vec<SocketAddr>) -> Vec<SocketAddr> {
    if addresses.is_empty() { DEFAULT_ADMIN.parse().into_iter().collect() } else { addresses }
}
