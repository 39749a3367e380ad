//! Choice among weighted alternatives by a random number.

/// The index on which `draw`, a random number from 0 to 1, falls, with odds in proportion to the weights.
///
/// Weights of zero or less are never chosen; if none is above zero, the index is 0.
pub fn pick_weighted(weights: impl Iterator<Item = f64> + Clone, draw: f64) -> usize {
    let mut remaining = draw * weights.clone().sum::<f64>();
    let mut chosen = 0;
    for (index, weight) in weights.enumerate() {
        if weight <= 0.0 {
            continue;
        }
        chosen = index;
        remaining -= weight;
        if remaining < 0.0 {
            break;
        }
    }
    chosen
}

#[cfg(test)]
mod tests;
