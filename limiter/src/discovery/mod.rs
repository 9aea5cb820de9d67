//! The watch on the endpoint list at discovery.
//!
//! A reload of the configuration may name another address of discovery. Each address that was ever named is a
//! separate source, with a number and a watch. Versions of one source's list say nothing about the list of
//! another source.
//!
//! Modules, in the order in which to read them; each one uses only those listed after it:
//!
//! | module | job |
//! | --- | --- |
//! | [`watch`] | watches one source: opens the watch, applies lists, reopens the watch |
//! | [`in_flight`] | the watch requests that are in flight: the newest, and a slow one |
//! | [`request`] | sends one watch request |
//! | [`reader`] | reads lists from the response to a watch request |
//! | [`error`] | why a watch has ended |
//! | [`framing`] | splits a byte stream into JSON objects |
//! | [`backoff`] | the waits between watch requests |
//! | [`policy`] | bounds of the waits and timeouts |
//! | [`source`] | the sources, and which one of them counts |

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

/// Watches the source that the configuration names, forever.
///
/// After a change of the address, the watch on the old source continues until the new source has announced a
/// list. No announcement of the old source is lost until then; later ones are ignored.
///
/// Each watch is a separate task that ends by itself. Cancelling this future only prevents new watches.
pub async fn run(engine: Rc<Engine>, target: Rc<WatchTarget>) {
    let mut known_version = engine.config().known_endpoints.as_ref().map(|known| known.version);
    let mut watched = None;
    loop {
        let number = target.newest();
        // A change before the first watch has left a notification, after which the number is the same: each
        // source is watched once.
        if watched.replace(number) != Some(number) {
            // The version of the configured list belongs to the first source, whether or not that was ever
            // watched.
            let version = known_version.take().filter(|_| number == FIRST_SOURCE);
            let source = WatchSource { address: target.address(), number, version };
            tokio::task::spawn_local(Watch::new(engine.clone(), target.clone(), source).run());
        }
        target.changed().await;
    }
}
