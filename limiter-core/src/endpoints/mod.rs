//! The announced servers: which one gets a request, which are ejected, and which warm up.

pub(crate) mod departures;
mod outlier;
pub(crate) mod records;
mod routing;
mod slow_start;
