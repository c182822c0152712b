//! The `pointspindle get` command.
use super::client_arguments::{ClientArguments, Url};
use indicatif::{ProgressBar, ProgressStyle};
use pointspindle_cli::exit::{CommandError, CommandResult};
use pointspindle_client::{Call, CallEvent, Client, Outcome, Request};
use std::io::{ErrorKind, IsTerminal, Write};
use std::path::PathBuf;

const PROGRESS_TEMPLATE: &str = "{bar:40} {bytes} of {total_bytes}, {bytes_per_sec}, {eta} to go";

/// Arguments of `get`.
#[derive(clap::Args)]
pub struct GetArguments {
    /// URL: http://ADDRESS:PORT/PATH, or pspn://ADDRESS:PORT/PATH for the framed protocol; https and pspns use TLS.
    url: Url,
    #[command(flatten)]
    client: ClientArguments,
    /// Byte range, such as 0-99, 100- or -50 (the last 50 bytes).
    #[arg(long, allow_hyphen_values = true)]
    range: Option<String>,
    /// Output file; standard output by default.
    #[arg(long, short)]
    out: Option<PathBuf>,
    /// Print the response head on standard error.
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

    /// Returns a progress bar, which is visible only on a terminal to which the object itself is not written.
    fn progress_bar(&self) -> ProgressBar {
        let is_object_redirected = self.out.is_some() || !std::io::stdout().is_terminal();
        let bar = if std::io::stderr().is_terminal() && is_object_redirected {
            ProgressBar::no_length()
        } else {
            ProgressBar::hidden()
        };
        let style = ProgressStyle::with_template(PROGRESS_TEMPLATE);
        bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
        bar
    }
}

/// Gets an object and writes it to the output.
pub async fn get(arguments: GetArguments) -> CommandResult {
    let client = arguments.client.client(&arguments.url)?;
    let mut out = arguments.output()?;
    let bar = arguments.progress_bar();
    let mut call = client.call(arguments.request())?;
    let outcome = match receive(&mut call, &mut *out, &bar, arguments.verbose).await {
        Ok(outcome) => outcome,
        // A reader that closes the pipe early is not a failure.
        Err(error) if error.kind() == ErrorKind::BrokenPipe => return Ok(()),
        Err(error) => return Err(error.into()),
    };
    bar.finish_and_clear();
    out.flush()?;
    report(&client, &call, outcome)
}

/// Writes the response to `out` as it arrives, and returns the outcome of the call.
async fn receive(
    call: &mut Call,
    out: &mut dyn Write,
    bar: &ProgressBar,
    is_verbose: bool,
) -> std::io::Result<Outcome> {
    let mut outcome = Outcome::Failed { may_have_run: true };
    while let Some(event) = call.next().await {
        match event {
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

/// Reports on standard error why the object was not served.
fn report(client: &Client, call: &Call, outcome: Outcome) -> CommandResult {
    let reason = client
        .last_connect_error()
        .map(|reason| format!("; {reason}"))
        .unwrap_or_default();
    match outcome {
        Outcome::Served => return Ok(()),
        Outcome::Rejected {
            retry_after: retry_delay,
        } => {
            let retry_after = retry_delay
                .map(|wait| format!("; retry after {} ms", wait.as_millis()))
                .unwrap_or_default();
            eprintln!(
                "rejected after {} attempts: the request was not executed{retry_after}{reason}",
                call.attempts()
            );
        }
        Outcome::Failed { may_have_run } => {
            let effect = if may_have_run {
                "the request may have been executed"
            } else {
                "the request was not executed"
            };
            eprintln!(
                "failed after {} attempts: {effect}{reason}",
                call.attempts()
            );
        }
    }
    Err(CommandError::Negative)
}
