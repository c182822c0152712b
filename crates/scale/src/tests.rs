use super::slopes::{fit, Fit, Point};
use super::*;

const MINIMAL_TARGET: &str = "[target]\ndispatchers = 590\nhosts = 120\n";

fn parse_error(text: &str) -> String {
    read_target("fleet.ini", text).unwrap_err().to_string()
}

#[test]
fn invalid_or_missing_target_key_is_reported_with_file_and_key() {
    let target = read_target("f", MINIMAL_TARGET).unwrap();
    assert_eq!(target.fleet.dispatchers, 590);
    let error = parse_error("[target]\nhosts = 120\n");
    assert!(
        error.contains("fleet.ini") && error.contains("dispatchers"),
        "{error}"
    );
    let error = parse_error(&format!("{MINIMAL_TARGET}[run]\neach = 5000\n"));
    assert!(error.contains("each"), "{error}");
    let error = parse_error("[target]\ndispatchers = 0\nhosts = 1\n");
    assert!(
        error.contains("dispatchers") && error.contains("0 is not a number from 1 to 100000"),
        "{error}"
    );
}

/// Returns the values of a function at five fleet sizes.
fn points(value: impl Fn(f64) -> f64) -> Vec<Point> {
    [50.0, 100.0, 200.0, 400.0, 590.0]
        .map(|dispatchers| Point {
            dispatchers,
            value: value(dispatchers),
        })
        .to_vec()
}

#[test]
fn fit_keeps_lines_linear_and_detects_quadratic_growth() {
    let line = fit("KB/s", &points(|n| 2.0 + 0.5 * n)).unwrap();
    assert!(
        (line.value_at(1_180.0) - 592.0).abs() < 1e-6 && line.quadratic == 0.0,
        "{line:?}"
    );
    assert_eq!((line.min_dispatchers, line.max_dispatchers), (50, 590));
    let curve = fit("KB/s", &points(|n| 1.0 + 0.01 * n * n)).unwrap();
    assert!(
        (curve.value_at(1_180.0) - 13_925.0).abs() < 1.0 && curve.quadratic > 0.0,
        "{curve:?}"
    );
    assert!(curve.residual < 1e-6);
    // A line with noise is not fitted by a curve.
    let mut noisy = points(|n| n);
    for (point, factor) in noisy.iter_mut().zip([1.03, 0.98, 1.02, 0.99, 1.01]) {
        point.value *= factor;
    }
    assert_eq!(fit("", &noisy).unwrap().quadratic, 0.0);
    assert!(fit("", &[]).is_none());
    let single = Point {
        dispatchers: 7.0,
        value: 3.0,
    };
    assert_eq!(fit("", &[single]).unwrap().value_at(100.0), 3.0);
}

#[test]
fn slope_is_not_reliable_when_runs_disagree() {
    let with_spread = |spread| Fit {
        spread: Some(spread),
        ..Fit::default()
    };
    assert_eq!(
        (
            with_spread(0.6).is_reliable(),
            with_spread(0.1).is_reliable(),
            Fit::default().is_reliable()
        ),
        (false, true, true)
    );
}
