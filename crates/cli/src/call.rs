//! `pointspindle get` and `pointspindle load`: calls by the client library.
use crate::Failure;
use hdrhistogram::Histogram;
use indicatif::{ProgressBar, ProgressStyle};
use pointspindle_client::{
    CertificateFiles, Client, Outcome, Piece, Request, RetryRules, TrustAnchors,
};
use std::io::{IsTerminal, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// `http://ADDRESS:PORT/PATH` or `pspn://ADDRESS:PORT/PATH` for the framed protocol; `https` and `pspns` by TLS.
#[derive(Clone, Debug)]
pub struct Url {
    framed: bool,
    tls: bool,
    at: SocketAddr,
    path: String,
}

impl std::str::FromStr for Url {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let (scheme, rest) = text
            .split_once("://")
            .ok_or("it begins with http:// or pspn://")?;
        let (framed, tls) = match scheme {
            "http" => (false, false),
            "https" => (false, true),
            "pspn" => (true, false),
            "pspns" => (true, true),
            other => {
                return Err(format!(
                    "{other}:// is not spoken here; http, https, pspn and pspns are"
                ));
            }
        };
        let slash = rest.find('/').ok_or("no path after the address")?;
        let (at, path) = rest.split_at(slash);
        let at = at
            .parse()
            .map_err(|_| format!("{at:?} is not an address and port, such as 127.0.0.1:8080"))?;
        Ok(Self {
            framed,
            tls,
            at,
            path: path.to_owned(),
        })
    }
}

/// What both commands ask with.
#[derive(clap::Args)]
pub struct Asking {
    /// Further dispatchers of the same branch, at the same kind of door.
    #[arg(long = "also", value_name = "ADDRESS:PORT")]
    also: Vec<SocketAddr>,
    /// The class, by the framed protocol; by HTTP the path decides.
    #[arg(long, default_value = "test-page")]
    class: String,
    /// Longest wait for the whole answer, milliseconds.
    #[arg(long, default_value_t = 5_000)]
    deadline_ms: u64,
    /// Tries, the first included.
    #[arg(long, default_value_t = 4)]
    tries: u32,
    /// PEM of the authority whose certificates are believed; https and pspns need one.
    #[arg(long, value_name = "FILE")]
    authority: Option<PathBuf>,
    /// Own certificate and key, where dispatchers ask for one.
    #[arg(long, value_name = "FILE", requires = "key")]
    certificate: Option<PathBuf>,
    #[arg(long, value_name = "FILE", requires = "certificate")]
    key: Option<PathBuf>,
    /// The name in the dispatchers' certificates; the address by default.
    #[arg(long)]
    server_name: Option<String>,
}

impl Asking {
    fn client(&self, url: &Url) -> Result<Client, Failure> {
        let all = std::iter::once(url.at).chain(self.also.iter().copied());
        let rules = RetryRules {
            most: self.tries.max(1),
            ..RetryRules::default()
        };
        let mut builder = Client::builder().retries(rules);
        if url.tls {
            let authority = self
                .authority
                .as_ref()
                .ok_or("https and pspns need --authority".to_owned())?;
            let own = self.certificate.clone().zip(self.key.clone());
            let own = own.map(|(certificate, key)| CertificateFiles { certificate, key });
            let trust = TrustAnchors::load(authority, own.as_ref())?;
            builder = builder.tls(trust, self.server_name.clone());
        }
        Ok(if url.framed {
            builder.framed(all)
        } else {
            builder.http(all)
        }
        .build()?)
    }

    fn request(&self, url: &Url) -> Request {
        let deadline = Duration::from_millis(self.deadline_ms.max(1));
        Request::get(url.path.clone(), self.class.clone(), deadline)
    }
}

#[derive(clap::Args)]
pub struct GetArguments {
    /// http://ADDRESS:PORT/PATH, or pspn://ADDRESS:PORT/PATH for the framed protocol; https and pspns by TLS.
    url: Url,
    #[command(flatten)]
    asking: Asking,
    /// Bytes, such as 0-99, 100- or -50 (the last fifty).
    #[arg(long, allow_hyphen_values = true)]
    range: Option<String>,
    /// Into this file; standard output by default.
    #[arg(long, short)]
    out: Option<PathBuf>,
    /// Show the answer's head on standard error.
    #[arg(long, short)]
    verbose: bool,
}

pub async fn get(a: GetArguments) -> Result<(), Failure> {
    let client = a.asking.client(&a.url)?;
    let request = a.asking.request(&a.url);
    let request = match &a.range {
        Some(range) => request.range(format!("bytes={range}")),
        None => request,
    };
    let mut out: Box<dyn Write> = match &a.out {
        Some(file) => Box::new(std::fs::File::create(file)?),
        None => Box::new(std::io::stdout().lock()),
    };
    // Not over the bytes themselves.
    let shown =
        std::io::stderr().is_terminal() && (a.out.is_some() || !std::io::stdout().is_terminal());
    let bar = if shown {
        ProgressBar::no_length()
    } else {
        ProgressBar::hidden()
    };
    let form = "{bar:40} {bytes} of {total_bytes}, {bytes_per_sec}, {eta} to go";
    bar.set_style(
        ProgressStyle::with_template(form).unwrap_or_else(|_| ProgressStyle::default_bar()),
    );
    let mut call = client.call(request)?;
    let mut outcome = Outcome::Failed { may_have_run: true };
    while let Some(piece) = call.next().await {
        match piece {
            Piece::Head(head) => {
                if let Some(size) = head.size {
                    bar.set_length(size);
                }
                if a.verbose {
                    eprintln!("{head:?}");
                }
            }
            Piece::Data(data) => {
                bar.inc(data.len() as u64);
                if let Err(e) = out.write_all(&data) {
                    // A reader that has seen enough is no failure.
                    if e.kind() == std::io::ErrorKind::BrokenPipe {
                        return Ok(());
                    }
                    return Err(e.into());
                }
            }
            Piece::End(end) => outcome = end,
        }
    }
    bar.finish_and_clear();
    out.flush()?;
    match outcome {
        Outcome::Served => Ok(()),
        Outcome::Refused { come_back } => {
            let again = come_back
                .map(|c| format!("; come back after {} ms", c.as_millis()))
                .unwrap_or_default();
            let why = client
                .last_trouble()
                .map(|why| format!("; {why}"))
                .unwrap_or_default();
            eprintln!(
                "refused after {} tries: nothing was done{again}{why}",
                call.tries()
            );
            Err(Failure::No)
        }
        Outcome::Failed { may_have_run } => {
            let ran = if may_have_run {
                "it may have run"
            } else {
                "nothing has run"
            };
            let why = client
                .last_trouble()
                .map(|why| format!("; {why}"))
                .unwrap_or_default();
            eprintln!("failed after {} tries: {ran}{why}", call.tries());
            Err(Failure::No)
        }
    }
}

#[derive(clap::Args)]
pub struct LoadArguments {
    /// As for get.
    url: Url,
    #[command(flatten)]
    asking: Asking,
    /// Calls a second, each at its time whatever became of the others.
    #[arg(long, default_value_t = 100.0)]
    rate: f64,
    #[arg(long, default_value_t = 5.0)]
    seconds: f64,
    /// Calls under way at once; more than that are counted as not begun.
    #[arg(long, default_value_t = 10_000)]
    most: usize,
    /// Print one JSON object.
    #[arg(long)]
    json: bool,
}

pub async fn load(a: LoadArguments) -> Result<(), Failure> {
    if !(a.rate > 0.0 && a.rate <= 1e6 && a.seconds > 0.0 && a.seconds <= 3_600.0) {
        return Err(Failure::CannotRun(
            "--rate above 0 and up to 1e6, --seconds above 0 and up to 3600".into(),
        ));
    }
    let client = a.asking.client(&a.url)?;
    let gap = Duration::from_secs_f64(1.0 / a.rate);
    let calls = (a.rate * a.seconds).ceil() as u64;
    let mut times =
        Histogram::<u64>::new_with_bounds(1, 3_600_000_000, 3).map_err(|e| e.to_string())?;
    let (mut served, mut refused, mut failed, mut tries, mut not_begun) =
        (0_u64, 0_u64, 0_u64, 0_u64, 0_u64);
    let mut running = JoinSet::new();
    let mut add = |(outcome, took, tried): (Outcome, Duration, u32)| {
        tries += u64::from(tried);
        match outcome {
            Outcome::Served => {
                served += 1;
                let _ = times.record((took.as_micros() as u64).max(1));
            }
            Outcome::Refused { .. } => refused += 1,
            Outcome::Failed { .. } => failed += 1,
        }
    };
    let began = Instant::now();
    for n in 0..calls {
        // Times count from when a call was due: one that the generator begins late has waited all the same.
        let due = began + gap.mul_f64(n as f64);
        tokio::time::sleep_until(due.into()).await;
        while let Some(done) = running.try_join_next() {
            add(done?);
        }
        if running.len() >= a.most {
            not_begun += 1;
            continue;
        }
        let mut call = client.call(a.asking.request(&a.url))?;
        running.spawn(async move {
            let mut outcome = Outcome::Failed { may_have_run: true };
            while let Some(piece) = call.next().await {
                if let Piece::End(end) = piece {
                    outcome = end;
                }
            }
            (outcome, due.elapsed(), call.tries())
        });
    }
    while let Some(done) = running.join_next().await {
        add(done?);
    }
    let took = began.elapsed().as_secs_f64();
    let at = |q: f64| times.value_at_quantile(q);
    if a.json {
        let figures = serde_json::json!({
            "calls": calls, "served": served, "refused": refused, "failed": failed, "not_begun": not_begun,
            "tries": tries, "served_per_s": served as f64 / took,
            "p50_us": at(0.5), "p90_us": at(0.9), "p99_us": at(0.99), "p999_us": at(0.999), "most_us": times.max(),
        });
        println!("{figures}");
    } else {
        println!("{calls} calls in {took:.1} s: {served} served, {refused} refused, {failed} failed, {not_begun} not begun; {tries} tries");
        println!(
            "{:.0} served a second; p50 {} us, p90 {} us, p99 {} us, p99.9 {} us, longest {} us",
            served as f64 / took,
            at(0.5),
            at(0.9),
            at(0.99),
            at(0.999),
            times.max()
        );
    }
    if served == 0 {
        return Err(Failure::No);
    }
    Ok(())
}
