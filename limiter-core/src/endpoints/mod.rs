//! The announced servers: which one receives an attempt, which are ejected, and which are in slow start.
//!
//! **How an announcement is applied.** Discovery announces either all servers or those that changed.
//! `announcements` passes the list to the registry ([`Endpoints`]). The registry first records the start
//! times, then removes the servers that a complete list does not name, and then applies the entries in the
//! order of the list: removed servers are removed, all others are installed or updated. A server whose start
//! is announced for the first time begins a slow start, unless it is known to have started long ago. Next, a
//! tombstone is recorded for each server that is draining or was removed; peers that are cut off from
//! discovery poll for these tombstones. Finally, queued requests are forwarded if a server may receive them
//! now.
//!
//! **What happens to an attempt whose server is removed.** The attempt stays in flight, and its response is
//! used. The end of the attempt releases its slots, and the latency of a good response is added to the
//! baseline latency of all servers. No record changes: the record of the server was removed, and if the
//! server has been announced again, it has a new record with another id. A silence check that is due while
//! the server is not announced does nothing, because there is no latency to compare with, and no other check
//! of the attempt follows. If the server has been announced again by then, the check uses the latency of the
//! new record and may cancel the attempt, but this timeout does not count against the new record either.
//!
//! An attempt whose server is draining, or restarts under the same id without being removed, is treated like
//! any other: the server keeps its record, and the end of the attempt updates that record. A draining server
//! receives no new attempts.
//!
//! **Files:**
//!
//! | file | contents |
//! | --- | --- |
//! | `announcements` | events of discovery: announcements, the configured list, the failure of the watch |
//! | `registry` | [`Endpoints`]: the records of the servers, and the indexes over them |
//! | `record` | the record of one server; fingerprints |
//! | `ring` | the order in which a limiter visits the servers |
//! | `routing` | the choice of a server: subset, predicted latency, zone, deduplication scope |
//! | `attempts` | updates of the records when an attempt starts, ends or times out |
//! | `outlier` | the health of a server; when it is ejected, or skipped as at capacity or unresponsive |
//! | `latency` | smoothed latency, of one server and of all |
//! | `ejection_log` | ejections that have not been logged yet |
//! | `start_times` | estimates of how long ago a server started, which tolerate steps of the wall clocks |
//! | `slow_start` | the budget of one server in slow start; the warming set |
//! | `slow_start_index`, `slow_start_upkeep` | which servers are in slow start; their periodic refills |
//! | `throughput` | the measured throughput of a warm server, from which the budgets are computed |
//! | `tombstones`, `tombstone_gossip` | servers that departed recently, and their exchange with peers |

mod announcements;
mod attempts;
mod ejection_log;
mod latency;
mod outlier;
mod record;
mod registry;
mod ring;
mod routing;
mod slow_start;
mod slow_start_index;
mod slow_start_upkeep;
mod start_times;
mod throughput;
mod tombstone_gossip;
mod tombstones;

pub(crate) use attempts::AttemptTarget;
pub(crate) use record::{Fingerprint, RecordId, ServerLocation};
pub(crate) use registry::Endpoints;
pub(crate) use tombstones::Tombstones;
