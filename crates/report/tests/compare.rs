//! Mean and standard error of paired differences, and the verdicts drawn from them.
use pointspindle_report::compare::{Difference, Figures, Pair, Verdict};

fn pairs(differences: &[f64]) -> Vec<Pair> {
    let figures = |service| Figures {
        service,
        ..Default::default()
    };
    let pair = |(n, d): (usize, &f64)| Pair {
        run: n.to_string(),
        a: figures(0.5),
        b: figures(0.5 + d),
    };
    differences.iter().enumerate().map(pair).collect()
}

#[test]
fn difference_within_two_standard_errors_is_noise() {
    let verdict = |d: &[f64]| Difference::of(&pairs(d), |f| f.service).verdict();
    assert_eq!(verdict(&[0.1, 0.1, 0.12, 0.08]), Verdict::Better);
    assert_eq!(verdict(&[-0.1, -0.1, -0.12, -0.08]), Verdict::Worse);
    assert_eq!(verdict(&[0.1, -0.1, 0.12, -0.09]), Verdict::Noise);
    assert_eq!(verdict(&[0.0, 0.0]), Verdict::Same);
    assert_eq!(verdict(&[0.3]), Verdict::TooFew);
}

#[test]
fn difference_of_four_pairs_has_the_standard_error_of_the_mean() {
    let d = Difference::of(&pairs(&[0.1, 0.2, 0.3, 0.4]), |f| f.service);
    assert!(
        (d.mean - 0.25).abs() < 1e-9 && (d.standard_error.unwrap() - 0.0645497).abs() < 1e-6,
        "{d:?}"
    );
}
