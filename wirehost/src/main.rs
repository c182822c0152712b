//! Adapter that hosts one [`Router`] for each dispatcher of a bench, and translates between its wire messages on
//! standard input and output and the events and actions of the routers. It makes no decisions of its own.
mod translate;
mod wire;

use pointspindle::{Action, EndpointId, Event, Micros, Router};
use pointspindle_platform_protocol::settings;
use std::collections::BTreeMap;
use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;

struct Instance {
    router: Router,
    names: BTreeMap<EndpointId, String>,
}

struct Host<W: Write> {
    instances: BTreeMap<u64, Instance>,
    now: Micros,
    round: u64,
    actions: Vec<Action>,
    out: W,
}

impl<W: Write> Host<W> {
    fn handle_event(&mut self, dispatcher: u64, event: Event) -> Result<(), String> {
        let unknown = || format!("message for unknown Dispatcher {dispatcher}");
        let instance = self.instances.get_mut(&dispatcher).ok_or_else(unknown)?;
        self.actions.clear();
        instance.router.handle(self.now, event, &mut self.actions);
        for action in &self.actions {
            if let Some(message) = translate::action(dispatcher, action, &instance.names) {
                write_line(&mut self.out, &message)?;
            }
        }
        Ok(())
    }

    fn handle_line(&mut self, text: &str) -> Result<(), String> {
        match serde_json::from_str(text).map_err(|e| e.to_string())? {
            wire::Inbound::Round(r) => (self.now, self.round) = (settings::micros(r.t_ms), r.round),
            wire::Inbound::OverToYou(_) => {
                write_line(
                    &mut self.out,
                    &wire::Outbound::Eor(wire::Eor { round: self.round }),
                )?;
                self.out.flush().map_err(|e| e.to_string())?;
            }
            wire::Inbound::Provision(p) => {
                let settings = settings::router_settings(&p.config).map_err(|e| e.to_string())?;
                let router = Router::new(settings, p.nonce64.unwrap_or_default());
                self.instances.insert(
                    p.dispatcher,
                    Instance {
                        router,
                        names: BTreeMap::new(),
                    },
                );
            }
            wire::Inbound::Kill(k) => {
                self.instances.remove(&k.dispatcher);
            }
            wire::Inbound::Sync(s) => {
                let dispatcher = s.dispatcher;
                let unknown = || format!("message for unknown Dispatcher {dispatcher}");
                let instance = self.instances.get_mut(&dispatcher).ok_or_else(unknown)?;
                let event = translate::endpoints(s, &mut instance.names)?;
                self.handle_event(dispatcher, event)?;
            }
            wire::Inbound::Incoming(r) => self.handle_event(r.dispatcher, translate::request(r))?,
            wire::Inbound::Ended(o) => self.handle_event(o.dispatcher, translate::outcome(o)?)?,
            wire::Inbound::Hangup(h) => {
                self.handle_event(
                    h.dispatcher,
                    Event::ClientDisconnected(pointspindle::RequestId(h.req)),
                )?;
            }
            wire::Inbound::Reminder(r) => {
                self.handle_event(r.dispatcher, Event::Timer(r.cookie))?
            }
            wire::Inbound::Voided(v) => self.handle_event(v.dispatcher, translate::purge(v))?,
            wire::Inbound::Begun(b) => self.handle_event(
                b.dispatcher,
                Event::ResponseStarted(EndpointId::named(&b.host)),
            )?,
            // Routers do not use peer messages and probe results.
            wire::Inbound::NeighbourSays(i) | wire::Inbound::Echo(i) => {
                if !self.instances.contains_key(&i.dispatcher) {
                    return Err(format!("message for unknown Dispatcher {}", i.dispatcher));
                }
            }
        }
        Ok(())
    }
}

fn write_line<W: Write>(out: &mut W, message: &wire::Outbound) -> Result<(), String> {
    serde_json::to_writer(&mut *out, message).map_err(|e| e.to_string())?;
    out.write_all(b"\n").map_err(|e| e.to_string())
}

fn run() -> Result<(), String> {
    let mut input = io::BufReader::with_capacity(1 << 16, io::stdin().lock());
    let out = BufWriter::with_capacity(1 << 16, io::stdout().lock());
    let mut host = Host {
        instances: BTreeMap::new(),
        now: 0,
        round: 0,
        actions: Vec::new(),
        out,
    };
    let mut text = String::new();
    for number in 1_u64.. {
        text.clear();
        match input.read_line(&mut text) {
            Ok(0) => break,
            Ok(_) if text.trim().is_empty() => {}
            Ok(_) => host
                .handle_line(&text)
                .map_err(|e| format!("line {number}: {e}"))?,
            Err(e) => return Err(format!("line {number}: {e}")),
        }
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("pointspindle-wirehost: {error}");
            ExitCode::FAILURE
        }
    }
}
