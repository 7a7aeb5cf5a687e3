/// Upper bounds of the histograms in seconds.
pub(crate) const BOUNDS_S: [f64; 12] = [
    0.01, 0.02, 0.04, 0.08, 0.12, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8,
];
