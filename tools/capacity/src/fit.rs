//! A straight line through what was measured at several sizes.

/// One measurement: the size, and what was measured there.
pub type Point = (f64, f64);

/// A least-squares line, and how far the points lie from it.
#[derive(Clone, Debug, Default)]
pub struct Line {
    /// What was measured.
    pub points: Vec<Point>,
    /// Increase for each unit of size.
    pub slope: f64,
    /// Value at size zero.
    pub fixed: f64,
    /// Root of the mean square of the distances, as a percentage of the mean value.
    pub residual_percent: f64,
}

impl Line {
    /// The line through `points`.
    pub fn through(points: Vec<Point>) -> Self {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|p| p.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|p| p.1).sum::<f64>() / count;
        let covariance: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
        let variance: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
        let slope = covariance / variance;
        let fixed = mean_y - slope * mean_x;
        let square: f64 = points
            .iter()
            .map(|p| (p.1 - fixed - slope * p.0).powi(2))
            .sum();
        let residual_percent =
            (square / count).sqrt() / mean_y.abs().max(f64::MIN_POSITIVE) * 100.0;
        Self {
            points,
            slope,
            fixed,
            residual_percent,
        }
    }

    /// The value at `size`.
    pub fn at(&self, size: f64) -> f64 {
        self.fixed + self.slope * size
    }
}
