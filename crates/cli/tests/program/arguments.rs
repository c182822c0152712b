//! Completions, manual page, help and exit statuses of the program.
use crate::support::{run_program, text};

#[test]
fn completions_name_the_commands_for_each_shell() {
    for shell in ["bash", "zsh", "fish"] {
        let output = run_program(&["completions", shell]);
        assert!(output.status.success(), "{shell}");
        let script = text(&output.stdout);
        assert!(
            script.contains("serve") && script.contains("lab"),
            "{shell}: {script}"
        );
    }
    assert_eq!(
        run_program(&["completions", "abacus"]).status.code(),
        Some(2)
    );
}

#[test]
fn manual_page_is_roff_and_lists_the_exit_statuses() {
    let output = run_program(&["manual"]);
    assert!(output.status.success());
    let page = text(&output.stdout);
    assert!(page.contains(".TH pointspindle"), "{page}");
    assert!(page.contains("the result is negative"), "{page}");
}

#[test]
fn help_lists_the_exit_statuses() {
    let help = text(&run_program(&["--help"]).stdout);
    for status in [
        "0  the command succeeded",
        "1  the result is negative",
        "2  the command could not run",
    ] {
        assert!(help.contains(status), "{help}");
    }
}

/// Each fault that needs no sockets has the same effect by both names, in a short run in virtual time.
#[test]
fn injected_fault_has_the_same_effect_by_its_old_and_new_name() {
    let scenario = concat!(env!("CARGO_MANIFEST_DIR"), "/../../scenarios/bad-day.ini");
    let run = |arguments: [&str; 2]| {
        let output = run_program(
            &[
                &[
                    "--log",
                    "error",
                    "lab",
                    "run",
                    scenario,
                    "--virtual",
                    "--json",
                ][..],
                &["--seconds", "4", "--seed", "7"][..],
                &arguments[..],
            ]
            .concat(),
        );
        assert!(matches!(output.status.code(), Some(0 | 1)), "{arguments:?}");
        text(&output.stdout)
    };
    for (old, new) in [
        ("drain", "withhold-drain"),
        ("purge", "ignore-purge"),
        ("cold", "hide-restart"),
        ("alone", "miscount-dispatchers"),
    ] {
        let by_old_name = run(["--plant", old]);
        assert_eq!(by_old_name, run(["--inject-fault", new]), "{old}, {new}");
        assert_eq!(by_old_name, run(["--inject-fault", old]), "{old}");
    }
}
