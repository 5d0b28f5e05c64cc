//! Linear fits of measured points.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// The scale that rounds recorded values to four decimal places; further ones are noise.
const DECIMAL_SCALE: f64 = 1e4;

/// A `Point` is one measured value at one size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// The size.
    pub size: f64,
    /// The value.
    pub value: f64,
}

/// A `Slope` is a linear fit of values measured at several sizes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Slope {
    /// The measured quantity, with its unit.
    pub value: String,
    /// The quantity that the size is counted in.
    pub size: String,
    /// The measured points.
    pub points: Vec<Point>,
    /// The slope: the increase of the value per unit of size.
    pub each: f64,
    /// The intercept: the value of the fit at size 0.
    pub fixed: f64,
    /// The coefficient of determination: the share of the variance that the fit explains.
    pub fit: f64,
}

/// `Slopes` are all linear fits of one run on one machine.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Slopes {
    /// The number of processors of the machine.
    pub processors: usize,
    /// The slopes by name.
    pub slopes: BTreeMap<String, Slope>,
}

impl Slope {
    /// Returns the least-squares fit of `points`.
    pub fn through(value: &str, size: &str, points: Vec<Point>) -> Slope {
        let points: Vec<Point> = points.into_iter().map(Point::rounded).collect();
        let count = points.len().max(1) as f64;
        let mean = |of: fn(&Point) -> f64| points.iter().map(of).sum::<f64>() / count;
        let (size_mean, value_mean) = (mean(|point| point.size), mean(|point| point.value));
        let (mut size_variance, mut covariance, mut value_variance) = (0.0, 0.0, 0.0);
        for point in &points {
            let (by_size, by_value) = (point.size - size_mean, point.value - value_mean);
            size_variance += by_size * by_size;
            covariance += by_size * by_value;
            value_variance += by_value * by_value;
        }
        let each = if size_variance == 0.0 { 0.0 } else { covariance / size_variance };
        let explained =
            if value_variance == 0.0 { 1.0 } else { each * covariance / value_variance };
        Slope {
            value: value.to_owned(),
            size: size.to_owned(),
            points,
            each: rounded(each),
            fixed: rounded(value_mean - each * size_mean),
            fit: rounded(explained),
        }
    }

    /// Returns the value of the fit at a size; at least 0.
    pub fn at(&self, size: f64) -> f64 {
        (self.fixed + self.each * size).max(0.0)
    }

    /// Returns the smallest and the largest measured size.
    pub fn range(&self) -> (f64, f64) {
        let sizes = || self.points.iter().map(|point| point.size);
        (sizes().fold(f64::INFINITY, f64::min), sizes().fold(0.0, f64::max))
    }

    /// Returns whether a size is above the measured range.
    pub fn is_extrapolated(&self, size: f64) -> bool {
        self.range().1 < size
    }
}

impl Point {
    fn rounded(self) -> Point {
        Point { size: rounded(self.size), value: rounded(self.value) }
    }
}

fn rounded(value: f64) -> f64 {
    (value * DECIMAL_SCALE).round() / DECIMAL_SCALE
}
