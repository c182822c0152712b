//! Names of fields and variants in saved files. Later builds must be able to read these files, so the serialized names
//! must not change when an item is renamed in the code.
use pointspindle_audit::fleet_totals::{measure_totals, FleetTotals, RoleTotals, SiteService};
use pointspindle_audit::trace::{
    AttemptOutcome, ClientAttemptId, ClientOutcome, TraceEntry, TraceEvent,
};
use pointspindle_report::compare::{Difference, Figures, Pair};
use pointspindle_report::record::Run;
use pointspindle_report::sweep::{self, Cell, CellResult};
use pointspindle_scenario::parse_with;
use serde::Serialize;
use serde_json::{json, Value};

const SCENARIO: &str = include_str!("../../../scenarios/site-loss.ini");

fn to_value(value: &impl Serialize) -> Value {
    serde_json::to_value(value).unwrap()
}

/// Returns the names of an object's fields, sorted.
fn fields(object: &Value) -> String {
    let mut names: Vec<&str> = object
        .as_object()
        .unwrap()
        .keys()
        .map(String::as_str)
        .collect();
    names.sort_unstable();
    names.join(" ")
}

#[test]
fn saved_run_is_serialized_under_stable_names() {
    let scenario = parse_with("site-loss.ini", SCENARIO, Some(1), &[]).unwrap();
    let (run, outcome) = Run::simulate(&scenario, &[]).unwrap();
    let run = to_value(&run);
    assert_eq!(
        fields(&run),
        "about bands by_second fallen form hosts in_virtual_time rules scenario seconds seed service sets warm_s"
    );
    assert_eq!(fields(&run["bands"][0]), "from_s kind name to_s");
    assert_eq!(
        fields(&run["by_second"][0]),
        "failed old p50_ms p99_ms refused served"
    );
    assert_eq!(
        fields(&run["hosts"][0]),
        "address fell load role started zone"
    );
    assert_eq!(
        fields(&run["rules"][0]),
        "about breaches checked name unknowing"
    );
    let service = &run["service"];
    assert_eq!(
        fields(service),
        "attempts by_branch by_second classes goal service tries worst_10s worst_from_s"
    );
    assert_eq!(
        fields(&service["classes"][0]),
        "calls failed largest late left name next_largest p50_ms p99_ms refused served service"
    );
    assert_eq!(fields(&service["classes"][0]["largest"]), "answered calls");
    assert_eq!(service["by_second"][0].as_array().unwrap().len(), 2);

    let totals = measure_totals(&scenario, &outcome.service, &outcome.trace);
    let totals = to_value(&totals);
    let warm_up_fields = "allowed at_s dispatchers host knew most requests";
    assert_eq!(fields(&totals["cold"]), warm_up_fields);
    assert_eq!(fields(&totals["cold_unknown"]), warm_up_fields);
}

#[test]
fn fleet_totals_are_serialized_under_stable_names() {
    assert_eq!(
        fields(&to_value(&FleetTotals::default())),
        "cold cold_unknown fairness least_dispatcher least_served left mean_served roles \
         second_attempts second_attempts_at_s second_attempts_worst sites"
    );
    let role = to_value(&RoleTotals::default());
    assert_eq!(fields(&role), "attempts returned role under_way");
    assert_eq!(
        fields(&role["under_way"]),
        "at_s by_weight count dispatchers host"
    );
    assert_eq!(
        fields(&to_value(&SiteService::default())),
        "back_after_s before name service since struck worst"
    );
    assert_eq!(
        fields(&to_value(&FleetTotals::default())["left"]),
        "attempts clients longest_ms unsent"
    );
}

#[test]
fn sweeps_and_comparisons_are_serialized_under_stable_names() {
    let figures = Figures::default();
    assert_eq!(
        fields(&to_value(&figures)),
        "breaches fallen goal neighbours parents service worst_10s"
    );
    let cell = Cell {
        seed: 1,
        overrides: Vec::new(),
    };
    let result = to_value(&CellResult { cell, figures });
    assert_eq!(fields(&result), "cell figures");
    assert_eq!(fields(&result["cell"]), "seed sets");
    let row = sweep::summarize("A".into(), &[figures]);
    assert_eq!(
        fields(&to_value(&row)),
        "broken days fallen goal least most service way worst_10s"
    );
    let pair = Pair {
        run: "1".into(),
        a: figures,
        b: figures,
    };
    assert_eq!(fields(&to_value(&pair)), "a b day");
    let difference = Difference::of(&[pair], |figures| figures.service);
    assert_eq!(fields(&to_value(&difference)), "days error mean");
}

#[test]
fn trace_events_are_serialized_under_stable_names() {
    let id = ClientAttemptId {
        call: 1,
        attempt: 2,
    };
    let outcome = ClientOutcome::Rejected {
        retry_after: Some(3),
    };
    let ended = TraceEntry {
        at: 4,
        event: TraceEvent::RequestEnded { id, outcome },
    };
    assert_eq!(
        to_value(&ended),
        json!({"at": 4, "saw": {"Ended": {
            "id": {"call": 1, "try_no": 2}, "end": {"Refused": {"come_back": 3}}
        }}})
    );
    let sent = TraceEvent::RequestSent {
        id,
        dispatcher: 5,
        class: 6,
        object_number: 7,
        group: 8,
        part: 9,
        deadline: 10,
    };
    assert_eq!(
        fields(&to_value(&sent)["Asked"]),
        "class deadline dispatcher group id number part"
    );
    let ended_at_host = TraceEvent::AttemptEnded {
        host: "h".into(),
        id: None,
        attempt: 0,
        dispatcher: Some(1),
        outcome: AttemptOutcome::ConnectionLost,
    };
    assert_eq!(
        to_value(&ended_at_host),
        json!({"Gone": {"host": "h", "id": null, "attempt": 0, "by": 1, "how": "Lost"}})
    );
    let list = TraceEvent::EndpointListDelivered {
        dispatcher: 0,
        full: true,
        ready: Vec::new(),
        incarnations: Vec::new(),
        not_ready: Vec::new(),
    };
    assert_eq!(
        fields(&to_value(&list)["ToldList"]),
        "dispatcher out ready starts whole"
    );
}
