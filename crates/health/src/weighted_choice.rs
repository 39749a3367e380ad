//! Weighted random selection.

/// Picks an index with a probability proportional to its weight, where `draw` is a random number from 0 to 1.
///
/// Weights of zero or less are never chosen. If no weight is above zero, the result is 0.
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
