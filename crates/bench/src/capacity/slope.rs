//! Straight lines through measured points.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// The digits that recorded values keep; more would only be noise.
const DIGITS: f64 = 1e4;

/// A `Point` is one measured value at one size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// The size.
    pub size: f64,
    /// The value.
    pub value: f64,
}

/// A `Slope` is a straight line through values measured at several sizes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Slope {
    /// What was measured, with its unit.
    pub value: String,
    /// What the size counts.
    pub size: String,
    /// The measured points.
    pub points: Vec<Point>,
    /// The value that one more of the size adds.
    pub each: f64,
    /// The value at size 0, as the line has it.
    pub fixed: f64,
    /// The share of the values' variance that the line explains.
    pub fit: f64,
}

/// `Slopes` are all slopes of one run on one machine.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Slopes {
    /// The processors of the machine.
    pub processors: usize,
    /// The slopes by name.
    pub slopes: BTreeMap<String, Slope>,
}

impl Slope {
    /// Returns the line of least squares through points.
    pub fn through(value: &str, size: &str, points: Vec<Point>) -> Slope {
        let points: Vec<Point> = points.into_iter().map(Point::rounded).collect();
        let count = points.len().max(1) as f64;
        let mean = |of: fn(&Point) -> f64| points.iter().map(of).sum::<f64>() / count;
        let (size_mean, value_mean) = (mean(|point| point.size), mean(|point| point.value));
        let (mut spread, mut common, mut variance) = (0.0, 0.0, 0.0);
        for point in &points {
            let (by_size, by_value) = (point.size - size_mean, point.value - value_mean);
            spread += by_size * by_size;
            common += by_size * by_value;
            variance += by_value * by_value;
        }
        let each = if spread == 0.0 { 0.0 } else { common / spread };
        let explained = if variance == 0.0 { 1.0 } else { each * common / variance };
        Slope {
            value: value.to_owned(),
            size: size.to_owned(),
            points,
            each: rounded(each),
            fixed: rounded(value_mean - each * size_mean),
            fit: rounded(explained),
        }
    }

    /// Returns the value that the line has at a size; never below 0.
    pub fn at(&self, size: f64) -> f64 {
        (self.fixed + self.each * size).max(0.0)
    }

    /// Returns the smallest and the largest measured size.
    pub fn range(&self) -> (f64, f64) {
        let sizes = || self.points.iter().map(|point| point.size);
        (sizes().fold(f64::INFINITY, f64::min), sizes().fold(0.0, f64::max))
    }

    /// Returns whether a size lies beyond what was measured.
    pub fn is_beyond(&self, size: f64) -> bool {
        self.range().1 < size
    }
}

impl Point {
    fn rounded(self) -> Point {
        Point { size: rounded(self.size), value: rounded(self.value) }
    }
}

fn rounded(value: f64) -> f64 {
    (value * DIGITS).round() / DIGITS
}
