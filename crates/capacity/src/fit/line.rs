use celeryhaven_derives::state;

state! {
    /// A least-squares line.
    #[derive(Copy)]
    pub struct Line {
        /// Increase of y per unit of x.
        pub slope: f64,
        /// Value at x = 0.
        pub at_zero: f64,
        /// Largest absolute deviation of a point from the line, relative to the largest absolute y.
        pub residual: f64,
    }
}

impl Line {
    /// Fits a line to points. The slope is zero unless there are at least two different x.
    ///
    /// ```
    /// use celeryhaven_capacity::Line;
    /// let line = Line::fit(&[(1.0, 3.0), (2.0, 5.0), (3.0, 7.0)]);
    /// assert!((line.slope - 2.0).abs() < 1e-9 && line.residual < 1e-9);
    /// assert!((line.at(10.0) - 21.0).abs() < 1e-9);
    /// ```
    pub fn fit(points: &[(f64, f64)]) -> Self {
        let count = points.len().max(1) as f64;
        let mean = |value: fn(&(f64, f64)) -> f64| points.iter().map(value).sum::<f64>() / count;
        let (x_mean, y_mean) = (mean(|point| point.0), mean(|point| point.1));
        let sum_xx: f64 = points.iter().map(|(x, _)| (x - x_mean).powi(2)).sum();
        let sum_xy: f64 = points.iter().map(|(x, y)| (x - x_mean) * (y - y_mean)).sum();
        let slope = if sum_xx > 0.0 { sum_xy / sum_xx } else { 0.0 };
        let at_zero = y_mean - slope * x_mean;
        let largest = points.iter().map(|(_, y)| y.abs()).fold(f64::MIN_POSITIVE, f64::max);
        let deviations = points.iter().map(|(x, y)| (y - (at_zero + slope * x)).abs());
        Self { slope, at_zero, residual: deviations.fold(0.0, f64::max) / largest }
    }

    /// Returns the value at x.
    pub fn at(&self, x: f64) -> f64 {
        self.at_zero + self.slope * x
    }
}
