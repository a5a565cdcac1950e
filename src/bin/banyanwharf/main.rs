//! The command-line tool, which queries daemons over the admin API and checks files.
//!
//! Exit codes: 0 when the answer is positive; 1 when it is negative (a ticket that lags or was
//! refused, an invalid file, an unknown service address); 2 for a usage or connection error and for
//! a file that cannot be read.

mod arguments;
mod ask;
mod check;
mod error;
mod explain;
mod list;
mod output;
mod spans;
mod wait;

use std::{
    io::{self, Write as _},
    process::ExitCode,
};

use arguments::{Command, TicketCommand};
use error::Result;
use output::{ERROR, Output};

fn main() -> ExitCode {
    let command = match arguments::command().run_inner(bpaf::Args::current_args()) {
        Ok(command) => command,
        Err(failure) => {
            failure.print_message(100);
            return ExitCode::from(if failure.exit_code() == 0 { 0 } else { ERROR });
        }
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let output = match runtime {
        Ok(runtime) => runtime.block_on(run(command)),
        Err(source) => Err(error::Error::Runtime { source }),
    };
    match output {
        Ok(output) => {
            // Write errors are ignored, since a reader such as `head` may close the pipe early.
            let _ = io::stderr().write_all(output.stderr.as_bytes());
            let _ = io::stdout().write_all(output.stdout.as_bytes());
            ExitCode::from(output.exit_code)
        }
        Err(error) => {
            let _ = writeln!(io::stderr(), "{:?}", miette::Report::new(error));
            ExitCode::from(ERROR)
        }
    }
}

async fn run(command: Command) -> Result<Output> {
    match command {
        Command::Status { daemons } => list::status(&daemons).await,
        Command::Members { daemons } => list::members(&daemons).await,
        Command::Zones { daemons } => list::zones(&daemons).await,
        Command::Targets { daemons } => list::targets(&daemons).await,
        Command::Flows { daemons } => list::flows(&daemons).await,
        Command::Tickets { daemons } => list::tickets(&daemons).await,
        Command::Ticket { command } => match command {
            TicketCommand::Check { file } => check::ticket(&file),
            TicketCommand::Wait { timeout, daemons, number } => {
                wait::run(&daemons, number, timeout).await
            }
        },
        Command::Explain { udp, daemons, caller, service } => {
            explain::run(&daemons, caller, service, udp).await
        }
        Command::Check { file } => check::file(&file),
        Command::Trace { json, file, id } => spans::run(&file, id.as_deref(), json),
    }
}
