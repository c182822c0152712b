//! Invalid settings, and the endpoint list that persists over a restart.
use crate::support::*;

#[test]
fn invalid_settings_are_reported_and_prevent_a_start() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("wrong.ini");
    std::fs::write(
        &file,
        "[dispatcher]\nzone = a\nnumbr = 3\n[listen]\nhttp = 127.0.0.1:0\n",
    )
    .unwrap();
    let checked = run_program(&["check", file.to_str().unwrap()]);
    assert_eq!(checked.status.code(), Some(1));
    let output = text(&checked.stdout);
    assert!(
        output.contains("wrong.ini:3: dispatcher.numbr: no such key; did you mean number?"),
        "{output}"
    );
    assert!(output.contains("no class"), "{output}");
    let served = run_program(&["serve", file.to_str().unwrap()]);
    assert_eq!(served.status.code(), Some(2));
    assert!(text(&served.stderr).contains("wrong.ini:3"));
    let scenario = folder.path().join("day.ini");
    std::fs::write(
        &scenario,
        "[day]\nabout = x\n[class a]\n[trouble t]\nkind = earthquake\n",
    )
    .unwrap();
    let checked = run_program(&["lab", "check", scenario.to_str().unwrap()]);
    assert!(
        text(&checked.stdout).contains("day.ini:5: trouble t.kind"),
        "{}",
        text(&checked.stdout)
    );
}

#[tokio::test]
async fn endpoint_list_changed_at_run_time_survives_a_restart() {
    let folder = tempfile::tempdir().unwrap();
    let file = write_settings(
        folder.path(),
        scripted_host(HostBehaviour::RespondsAfterMs(0)).await,
        "",
    );
    let added = scripted_host(HostBehaviour::RespondsAfterMs(0))
        .await
        .to_string();
    let dispatcher = DispatcherProcess::start(&["serve", &file], folder.path());
    let control = dispatcher.bound.control.to_string();
    let set = format!("{added}=ready");
    let output = run_program(&[
        "members", "--at", &control, "--set", &set, "--kind", "cache", "--zone", "b", "--cold",
    ]);
    assert!(output.status.success(), "{}", text(&output.stderr));
    dispatcher.signal("-TERM");
    dispatcher.wait();
    let dispatcher = DispatcherProcess::start(&["serve", &file], folder.path());
    let list =
        text(&run_program(&["members", "--at", &dispatcher.bound.control.to_string()]).stdout);
    assert!(
        list.contains(&added) && list.contains("3 members"),
        "{list}"
    );
    let malformed = run_program(&[
        "members",
        "--at",
        &dispatcher.bound.control.to_string(),
        "--set",
        "nonsense",
    ]);
    assert_eq!(malformed.status.code(), Some(2));
}
