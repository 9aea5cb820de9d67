//! The announced servers: which one gets a request, which are ejected, and which warm up.

pub(crate) mod departure_log;
mod departures;
mod outlier;
mod routing;
mod slow_start;
pub(crate) mod table;
