//! The announced servers: which one gets a request, which are ejected, and which warm up.

mod announcements;
mod outlier;
mod registry;
mod routing;
mod slow_start;
mod start_times;
mod throughput;
mod tombstones;

pub(crate) use registry::{AttemptTarget, Endpoints};
pub(crate) use tombstones::Tombstones;
