//! The limit that a backend server sets on the requests it gets.

/// A `RequestLimit` is what one response of a backend server says about the rate of requests that it accepts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum RequestLimit {
    /// The server accepts any rate.
    #[default]
    Unlimited,
    /// The server accepts this many requests per second from all nodes together.
    PerSecond(f64),
    /// The limit can't be parsed, or is not a finite number of at least 0.
    Malformed,
}
