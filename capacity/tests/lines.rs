//! Lines through points, and formulas.

use pointcross_capacity::fit::Line;
use pointcross_capacity::formula::{Figure, Formula, FormulaError, Scope};
use proptest::prelude::*;

proptest! {
    /// Guards against a slope that is not the points' own: a known line, met by every run, comes back with no residual
    /// and no size off it, and is extended as a line.
    #[test]
    fn a_known_line_comes_back(slope in -1e3..1e3f64, intercept in -1e4..1e4f64, step in 1.0..500.0f64) {
        let xs = (1..=5).flat_map(|n| [f64::from(n) * step; 3]);
        let points: Vec<_> = xs.map(|x| (x, intercept + slope * x)).collect();
        let line = Line::through(&points).unwrap();
        let scale = 1.0 + slope.abs() * step + intercept.abs();
        prop_assert!((line.slope - slope).abs() * step < 1e-9 * scale, "{line:?}");
        prop_assert!((line.intercept - intercept).abs() < 1e-9 * scale, "{line:?}");
        prop_assert!(line.residual < 1e-9 * scale && line.slope_error * step < 1e-9 * scale, "{line:?}");
        prop_assert!(line.curvature.unwrap().0.abs() * step * step < 1e-8 * scale, "{line:?}");
        prop_assert!(line.off.is_empty() && line.straight_to == Some(5.0 * step), "{line:?}");
        prop_assert!((line.at(40.0 * step).0 - intercept - slope * 40.0 * step).abs() < 1e-7 * scale);
    }
}

/// Guards against errors worked out wrongly: figures checked by hand (y of 1, 3, 2, 4 at 0 to 3: slope 0.8, squares left
/// 1.8, so the residual is the root of 0.9, and the slope's error that over the root of 5).
#[test]
fn errors_are_those_of_least_squares() {
    let line = Line::through(&[(0.0, 1.0), (1.0, 3.0), (2.0, 2.0), (3.0, 4.0)]).unwrap();
    let near = |a: f64, b: f64| assert!((a - b).abs() < 1e-12, "{a} and {b}: {line:?}");
    near(line.slope, 0.8);
    near(line.intercept, 1.3);
    near(line.residual, 0.9f64.sqrt());
    near(line.slope_error, (0.9f64 / 5.0).sqrt());
    near(line.intercept_error, (0.9f64 * (0.25 + 2.25 / 5.0)).sqrt());
    near(line.r2, 0.64);
    assert_eq!((line.spread, line.straight_to), (None, None), "one run a size says nothing of the spread");
}

/// Guards against a curve taken for a line: a cost that grows with the square is named where it leaves the line, its
/// term in x squared comes back, and what is asked for comes from the sizes, beyond them from the last step.
#[test]
fn a_curve_is_named_and_extended_by_its_last_step() {
    let spread = [-0.5, 0.0, 0.5];
    let sizes = [100.0, 200.0, 300.0, 1200.0];
    let runs = sizes.iter().flat_map(|&x: &f64| spread.map(|by| (x, x + 0.01 * x * x + by)));
    let line = Line::through(&runs.collect::<Vec<_>>()).unwrap();
    assert!(!line.off.is_empty() && line.straight_to.is_none(), "{line:?}");
    let (c, error) = line.curvature.unwrap();
    assert!((c - 0.01).abs() < 3.0 * error + 1e-6, "{line:?}");
    assert!((line.at(1200.0).0 - 15_600.0).abs() < 1e-6, "a measured size is what was measured");
    let last_step = (15_600.0 - 1_200.0) / 900.0;
    assert!((line.at(2400.0).0 - 15_600.0 - 1200.0 * last_step).abs() < 1e-6);
    assert_eq!((line.beyond(2400.0), line.beyond(1000.0)), (2.0, 1.0));

    let bends = [(50.0, 50.0), (150.0, 150.0), (400.0, 400.0), (1200.0, 2000.0)];
    let runs: Vec<_> = bends.iter().flat_map(|&(x, y)| spread.map(|by| (x, y + by))).collect();
    assert_eq!(Line::through(&runs).unwrap().straight_to, Some(400.0));
    assert!(Line::through(&runs[..3]).is_err(), "three runs at one size make no line");
}

/// Guards against sizes that were measured, and so differ a little between runs, taken for sizes of their own: then no run
/// had another at its size, and nothing was known of the spread.
#[test]
fn sizes_that_nearly_agree_are_one() {
    let runs = [1.95, 2.0, 2.05, 3.9, 4.0, 4.1, 9.8, 10.0, 10.2, 0.0, 0.0, 0.0].map(|x| (x, 5.0 + 3.0 * x));
    let line = Line::through(&runs).unwrap();
    let sizes: Vec<_> = line.sizes.iter().map(|size| (size.x * 100.0).round() / 100.0).collect();
    assert_eq!(sizes, [0.0, 2.0, 4.0, 10.0]);
    assert!(line.spread.is_some_and(|spread| spread < 1e-12) && line.off.is_empty(), "{line:?}");
}

struct Two;

impl Scope for Two {
    fn name(&mut self, name: &str) -> Result<Figure, FormulaError> {
        let of = |value, key: &str, by| Figure { value, moved: [((key.to_owned(), 0), by)].into() };
        match name {
            "a" => Ok(of(8.0, "a", 0.3)),
            "b" => Ok(of(2.0, "b", 0.4)),
            _ => Err(FormulaError::Unknown(name.into())),
        }
    }
}

/// Guards against a formula read other than it is written, and against an error that counts one parameter twice.
#[test]
fn formulas_keep_their_order_and_carry_errors() {
    let figure = |text: &str| Formula::parse(text).and_then(|formula| formula.figure(&mut Two));
    for (text, value, error) in [
        ("a - b - 1", 5.0, 0.5),
        ("a / b / 2 * 3", 6.0, (0.3f64 * 0.75).hypot(0.4 * 3.0)),
        ("2 * (a + b)", 20.0, 1.0),
        ("a - a", 0.0, 0.0),
        ("-b + 1_000", 998.0, 0.4),
        ("max(a, b, 3)", 8.0, 0.3),
        ("sqrt(a * b)", 4.0, (0.3f64 * 0.25).hypot(0.4)),
        ("exp(0 * a)", 1.0, 0.0),
    ] {
        let figure = figure(text).unwrap();
        assert!(
            (figure.value - value).abs() < 1e-12 && (figure.error() - error).abs() < 1e-12,
            "{text}: {figure:?}"
        );
    }
    for text in ["a +", "(a", "a b", "3..4", "min()", "c", "a / (b - 2)", "exp(a, b)", "A"] {
        assert!(figure(text).is_err(), "{text}");
    }
}
