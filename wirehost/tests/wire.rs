//! Tests the adapter over its standard input and output.
use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run(lines: &[&str]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_pointspindle-wirehost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut input = child.stdin.take().unwrap();
    for line in lines {
        // The host stops reading at the first invalid line.
        if writeln!(input, "{line}").is_err() {
            break;
        }
    }
    drop(input);
    child.wait_with_output().unwrap()
}

fn replies(lines: &[&str]) -> Vec<serde_json::Value> {
    let out = run(lines);
    assert!(
        out.status.success(),
        "host ended with an error: {}",
        String::from_utf8_lossy(&out.stderr)
    );
    let text = String::from_utf8(out.stdout).unwrap();
    text.lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect()
}

fn error_output(lines: &[&str]) -> String {
    let out = run(lines);
    assert!(!out.status.success());
    let text = String::from_utf8(out.stderr).unwrap();
    assert!(!text.contains("panicked"), "host panicked: {text}");
    text
}

const ROUND: &str = r#"{"ROUND":{"TMs":5000.25,"round":3}}"#;
const OVER_TO_YOU: &str = r#"{"OVER_TO_YOU":{}}"#;
const PROVISION: &str = r#"{"PROVISION":{"Dispatcher":4,"Nonce64":9,"Config":{"NewKey":[1],"Balancers":1,"Me":0,"Zone":1,
 "Zones":["hub","edge"],"WeightSource":"nominal","Allowed":{"MaxAttempts":6,"MayCancel":true,"RetryAfter":null},
 "Classes":[{"AimMs":300.0,"DeadlineMs":2500.0,"Repeat":"idempotent","Worth":1.0}],
 "Rules":{"FallMs":1000.0,"OverloadFactor":2.0,"StartCapacity":0.2,"WarmWithinMs":9000.0},
 "FamilyInfo":{"MasterKind":2,"SecondTierKind":1,"MaxAgeMs":[12000.0],"UsableAfterMs":[20000.0],
 "InstancesByZone":[0,1],"ZoneHub":[0,0],"MergesFills":true,"Tells":"all","Neighbours":"any","Straight":false,
 "StreamKbPerS":6000.0,"GoneEverywhereMs":6000.0}}}}"#;
const SYNC: &str = r#"{"SYNC":{"Dispatcher":4,"Form":"cached","SeqNo":1,"Members":[
 {"Pod":0,"Availability":"IN","Scale":4,"Hall":1,"Sku":0,"Host":"10.0.0.1:80","CameUpMs":null,"New":1},
 {"Pod":1,"Availability":"IN","Scale":9,"Hall":0,"Sku":1,"Host":"10.0.0.2:80"},
 {"Pod":2,"Availability":"IN","Scale":9,"Hall":0,"Sku":2,"Host":"10.0.0.3:80","CameUpMs":0}]}}"#;
const INCOMING: &str = r#"{"INCOMING":{"Dispatcher":4,"Req":77,"Cls":0,"ContentId":"obj:a","ExpiresInMs":900.5,"SetNo":2,
 "Kbytes":null,"Extra":{}}}"#;

fn without_newlines(text: &str) -> String {
    text.replace('\n', "")
}

#[test]
fn an_empty_batch_is_echoed() {
    let out = replies(&[ROUND, OVER_TO_YOU]);
    assert_eq!(out, vec![serde_json::json!({"EOR":{"round":3}})]);
}

#[test]
fn end_of_input_is_a_clean_exit() {
    assert!(run(&[]).status.success());
}

#[test]
fn request_is_translated_to_a_fetch_message() {
    let out = replies(&[
        ROUND,
        &without_newlines(PROVISION),
        &without_newlines(SYNC),
        &without_newlines(INCOMING),
        OVER_TO_YOU,
    ]);
    let sent = &out.iter().find(|m| m.get("ANSWER_FROM").is_some()).unwrap()["ANSWER_FROM"];
    assert_eq!(sent["Host"], "10.0.0.1:80");
    assert_eq!(sent["FillFrom"], "10.0.0.2:80");
    assert_eq!((&sent["Req"], &sent["Dispatcher"]), (&77.into(), &4.into()));
    assert_eq!(sent["TimeoutMs"], 900.5);
    assert_eq!(sent["HowOldMs"], 12000.0);
    assert_eq!(
        sent["Switches"], 9,
        "the bits for coalescing (1) and revalidation (8)"
    );
    assert_eq!(out.last().unwrap()["EOR"]["round"], 3);
}

#[test]
fn unexpected_but_valid_messages_are_accepted() {
    let kill = r#"{"KILL":{"Dispatcher":4}}"#;
    let late = r#"{"ENDED":{"Dispatcher":4,"Req":5,"StateCode":"pass","RoundNo":0,"Host":"10.0.0.9:80","Over":true}}"#;
    let hangup = r#"{"HANGUP":{"Dispatcher":4,"Req":5}}"#;
    let timer = r#"{"REMINDER":{"Dispatcher":4,"Cookie":99}}"#;
    let purge = r#"{"VOIDED":{"Dispatcher":4,"Group":1,"HowOldMs":0,"ContentId":null}}"#;
    let peer = r#"{"NEIGHBOUR_SAYS":{"Dispatcher":4,"From":1,"Blob":"x"}}"#;
    let empty = r#"{"SYNC":{"Dispatcher":4,"Form":"full","SeqNo":2,"Members":[]}}"#;
    let failed = r#"{"SYNC":{"Dispatcher":4,"Form":"failed","SeqNo":2,"Members":null}}"#;
    let (provision, list, request) = (
        without_newlines(PROVISION),
        without_newlines(SYNC),
        without_newlines(INCOMING),
    );
    let out = replies(&[
        ROUND,
        &provision,
        &list,
        late,
        hangup,
        timer,
        purge,
        peer,
        empty,
        failed,
        &request,
        kill,
        &provision,
        &list,
        OVER_TO_YOU,
    ]);
    assert_eq!(out.iter().filter(|m| m.get("EOR").is_some()).count(), 1);
}

#[test]
fn invalid_line_ends_the_host_with_an_error_that_names_it() {
    assert!(error_output(&[ROUND, "{not json"]).contains("line 2"));
    assert!(error_output(&[r#"{"SURPRISE":{}}"#]).contains("SURPRISE"));
    assert!(error_output(&[r#"{"KILL":{}}"#]).contains("Dispatcher"));
    let unknown_dispatcher = r#"{"REMINDER":{"Dispatcher":8,"Cookie":1}}"#;
    assert!(error_output(&[ROUND, unknown_dispatcher]).contains("unknown Dispatcher 8"));
    let state_code =
        r#"{"ENDED":{"Dispatcher":4,"Req":5,"StateCode":"melted","RoundNo":0,"Host":"a:1"}}"#;
    assert!(error_output(&[ROUND, &without_newlines(PROVISION), state_code]).contains("melted"));
}
