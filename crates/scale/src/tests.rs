use super::slopes::{fit, Slope};
use super::*;

const GOOD: &str = "[target]\ndispatchers = 590\nhosts = 120\n";

#[test]
fn a_target_is_read_and_what_is_missing_is_named_with_file_and_key() {
    assert_eq!(read("f", GOOD).unwrap().dispatchers, 590);
    let wrong = read("fleet.ini", "[target]\nhosts = 120\n")
        .unwrap_err()
        .to_string();
    assert!(
        wrong.contains("fleet.ini") && wrong.contains("dispatchers"),
        "{wrong}"
    );
    let wrong = read("fleet.ini", &format!("{GOOD}[run]\neach = 5000\n"))
        .unwrap_err()
        .to_string();
    assert!(wrong.contains("each"), "{wrong}");
    let wrong = read("fleet.ini", "[target]\ndispatchers = 0\nhosts = 1\n")
        .unwrap_err()
        .to_string();
    assert!(
        wrong.contains("dispatchers") && wrong.contains("0 is not within"),
        "{wrong}"
    );
}

#[test]
fn a_line_is_a_line_and_a_bend_is_told() {
    let points = |of: fn(f64) -> f64| {
        [50.0, 100.0, 200.0, 400.0, 590.0]
            .map(|n| (n, of(n)))
            .to_vec()
    };
    let line = fit("KB/s", &points(|n| 2.0 + 0.5 * n)).unwrap();
    assert!(
        (line.at(1_180.0) - 592.0).abs() < 1e-6 && line.c == 0.0,
        "{line:?}"
    );
    assert_eq!((line.from, line.to), (50, 590));
    let bent = fit("KB/s", &points(|n| 1.0 + 0.01 * n * n)).unwrap();
    assert!(
        (bent.at(1_180.0) - 13_925.0).abs() < 1.0 && bent.c > 0.0,
        "{bent:?}"
    );
    assert!(bent.residual < 1e-6);
    // Noise on a line does not bend it.
    let noisy: Vec<(f64, f64)> = points(|n| n)
        .into_iter()
        .zip([1.03, 0.98, 1.02, 0.99, 1.01])
        .map(|((x, y), k)| (x, y * k))
        .collect();
    assert_eq!(fit("", &noisy).unwrap().c, 0.0);
    assert!(fit("", &Vec::new()).is_none());
    assert_eq!(fit("", &vec![(7.0, 3.0)]).unwrap().at(100.0), 3.0);
}

#[test]
fn runs_that_disagree_give_no_slope() {
    let apart = Slope {
        spread: Some(0.6),
        ..Slope::default()
    };
    let close = Slope {
        spread: Some(0.1),
        ..Slope::default()
    };
    assert_eq!(
        (apart.is_used(), close.is_used(), Slope::default().is_used()),
        (false, true, true)
    );
}
