//! Ways of choosing held beside each other.

use alderstile_lab::compare::Figure;

#[test]
fn an_interval_is_as_wide_as_the_values_scatter() {
    assert_eq!(Figure::of(&[0.5]), Figure { mean: 0.5, half: None });
    let figure = Figure::of(&[1.0, 2.0, 3.0]);
    assert_eq!(figure.mean, 2.0);
    // t(2) times 1 over the square root of 3.
    assert!((figure.half.expect("three values") - 4.303 / 3f64.sqrt()).abs() < 1e-9);
}
