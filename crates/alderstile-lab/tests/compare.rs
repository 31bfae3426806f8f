//! Comparison of load-balancing strategies.

use alderstile_lab::compare::Estimate;

#[test]
fn confidence_interval_follows_the_scatter_of_the_values() {
    assert_eq!(Estimate::from_values(&[0.5]), Estimate { mean: 0.5, half_width: None });
    let estimate = Estimate::from_values(&[1.0, 2.0, 3.0]);
    assert_eq!(estimate.mean, 2.0);
    // Student's t for 2 degrees of freedom, times the standard error 1/sqrt(3).
    assert!((estimate.half_width.expect("three values") - 4.303 / 3f64.sqrt()).abs() < 1e-9);
}
