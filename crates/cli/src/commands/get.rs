//! `pointspindle get`.
use super::client_arguments::{ClientArguments, Url};
use crate::exit::{CommandError, CommandResult};
use indicatif::{ProgressBar, ProgressStyle};
use pointspindle_client::{Call, CallEvent, Client, Outcome, Request};
use std::io::{ErrorKind, IsTerminal, Write};
use std::path::PathBuf;

const PROGRESS_TEMPLATE: &str = "{bar:40} {bytes} of {total_bytes}, {bytes_per_sec}, {eta} to go";

/// Arguments of `get`.
#[derive(clap::Args)]
pub struct GetArguments {
    /// http://ADDRESS:PORT/PATH, or pspn://ADDRESS:PORT/PATH for the framed protocol; https and pspns by TLS.
    url: Url,
    #[command(flatten)]
    client: ClientArguments,
    /// Bytes, such as 0-99, 100- or -50 (the last fifty).
    #[arg(long, allow_hyphen_values = true)]
    range: Option<String>,
    /// Into this file; standard output by default.
    #[arg(long, short)]
    out: Option<PathBuf>,
    /// Show the response's head on standard error.
    #[arg(long, short)]
    verbose: bool,
}

impl GetArguments {
    fn request(&self) -> Request {
        let request = self.client.request(&self.url);
        match &self.range {
            Some(range) => request.range(format!("bytes={range}")),
            None => request,
        }
    }

    fn output(&self) -> std::io::Result<Box<dyn Write>> {
        Ok(match &self.out {
            Some(file) => Box::new(std::fs::File::create(file)?),
            None => Box::new(std::io::stdout().lock()),
        })
    }

    /// On a terminal, unless the object itself goes there.
    fn progress_bar(&self) -> ProgressBar {
        let object_is_elsewhere = self.out.is_some() || !std::io::stdout().is_terminal();
        let bar = if std::io::stderr().is_terminal() && object_is_elsewhere {
            ProgressBar::no_length()
        } else {
            ProgressBar::hidden()
        };
        let style = ProgressStyle::with_template(PROGRESS_TEMPLATE);
        bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
        bar
    }
}

/// Gets an object and writes it out.
pub async fn get(arguments: GetArguments) -> CommandResult {
    let client = arguments.client.client(&arguments.url)?;
    let mut out = arguments.output()?;
    let bar = arguments.progress_bar();
    let mut call = client.call(arguments.request())?;
    let outcome = match receive(&mut call, &mut *out, &bar, arguments.verbose).await {
        Ok(outcome) => outcome,
        // A reader that has seen enough is no failure.
        Err(error) if error.kind() == ErrorKind::BrokenPipe => return Ok(()),
        Err(error) => return Err(error.into()),
    };
    bar.finish_and_clear();
    out.flush()?;
    report(&client, &call, outcome)
}

/// Writes the response out as it arrives, to its end.
async fn receive(
    call: &mut Call,
    out: &mut dyn Write,
    bar: &ProgressBar,
    is_verbose: bool,
) -> std::io::Result<Outcome> {
    let mut outcome = Outcome::Failed { may_have_run: true };
    while let Some(piece) = call.next().await {
        match piece {
            CallEvent::Head(head) => {
                if let Some(size) = head.size {
                    bar.set_length(size);
                }
                if is_verbose {
                    eprintln!("{head:?}");
                }
            }
            CallEvent::Data(data) => {
                bar.inc(data.len() as u64);
                out.write_all(&data)?;
            }
            CallEvent::End(end) => outcome = end,
        }
    }
    Ok(outcome)
}

/// Says on standard error why the object was not served.
fn report(client: &Client, call: &Call, outcome: Outcome) -> CommandResult {
    let reason = client
        .last_connect_error()
        .map(|reason| format!("; {reason}"))
        .unwrap_or_default();
    match outcome {
        Outcome::Served => return Ok(()),
        Outcome::Rejected {
            retry_after: come_back,
        } => {
            let retry_after = come_back
                .map(|wait| format!("; come back after {} ms", wait.as_millis()))
                .unwrap_or_default();
            eprintln!(
                "refused after {} tries: nothing was done{retry_after}{reason}",
                call.attempts()
            );
        }
        Outcome::Failed { may_have_run } => {
            let effect = if may_have_run {
                "it may have run"
            } else {
                "nothing has run"
            };
            eprintln!("failed after {} tries: {effect}{reason}", call.attempts());
        }
    }
    Err(CommandError::Negative)
}
