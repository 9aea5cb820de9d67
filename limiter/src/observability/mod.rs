//! Observability: structured log events and counters.

pub mod labels;
pub mod logging;
pub mod metrics;

#[cfg(test)]
mod tests;
