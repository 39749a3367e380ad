use super::*;
use yare::parameterized;

#[parameterized(first = { 0.0, 1 }, second = { 0.5, 2 }, end = { 0.999, 2 })]
fn picks_in_proportion_to_weights(draw: f64, index: usize) {
    assert_eq!(pick_weighted([0.0, 1.0, 3.0, 0.0].into_iter(), draw), index);
}
