//! The watch on the endpoint list at discovery.
//!
//! A reload of the configuration may change the address of discovery. Each change creates a new source, which
//! has a number and a watch of its own. The versions of one source's list say nothing about the list of
//! another source.
//!
//! Modules, in the order in which to read them; each one uses only those listed after it:
//!
//! | module | job |
//! | --- | --- |
//! | [`watch`] | watches one source: opens the watch, applies lists, reopens the watch |
//! | [`in_flight`] | the watch requests in flight: the newest one, and a slow one |
//! | [`reader`] | reads lists from the response to a watch request |
//! | [`error`] | why a watch has ended |
//! | [`request`] | sends one watch request |
//! | [`framing`] | splits a byte stream into JSON objects |
//! | [`backoff`] | the waits between watch requests |
//! | [`policy`] | timeouts and bounds of the backoff |
//! | [`source`] | the sources of the list, and which one of them is the newest |

mod backoff;
mod error;
mod framing;
mod in_flight;
mod policy;
mod reader;
mod request;
mod source;
#[cfg(test)]
mod test_support;
mod watch;

use std::rc::Rc;

use crate::engine::Engine;
pub use source::WatchTarget;
use source::{WatchSource, FIRST_SOURCE};
use watch::Watch;

/// Watches the source that the configuration names. Never returns.
///
/// After a change of the address, the watch on the old source stays open until the new source has announced a
/// list, so that no earlier announcement of the old source is lost; later ones are ignored. If the watch on
/// an old source ends before that for another reason, it is not reopened.
///
/// Each watch runs in a separate task, which ends by itself. Cancelling this future only prevents new
/// watches.
pub async fn run(engine: Rc<Engine>, target: Rc<WatchTarget>) {
    let mut known_version = engine.config().known_endpoints.as_ref().map(|known| known.version);
    let mut watched = None;
    loop {
        let number = target.newest();
        // A change before the first watch leaves a notification about a source that is already watched. The
        // comparison ensures that each source is watched only once.
        if watched.replace(number) != Some(number) {
            // The version of the configured list belongs to the first source, and is discarded if that source
            // is not watched.
            let version = known_version.take().filter(|_| number == FIRST_SOURCE);
            let source = WatchSource { address: target.address(), number, version };
            tokio::task::spawn_local(Watch::new(engine.clone(), target.clone(), source).run());
        }
        target.changed().await;
    }
}
