//! Reloads of the configuration. Only discovery's address can change while serving.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{sleep, Instant};

use crate::config::{Config, ConfigError};
use crate::discovery::WatchTarget;
use crate::runtime::signals::Signals;

/// For so long a file is read again that cannot be read: calls fail for a moment, and files are seen half written. What a
/// new discovery has counts as announced 4 s after the signal.
const MAX_RETRY_TIME: Duration = Duration::from_secs(3);
/// Pause between two reads of the file.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Reads the configuration again on each SIGHUP, forever; one that cannot be used changes nothing.
pub async fn reload_on_hangup(signals: Rc<Signals>, watch_target: Rc<WatchTarget>) {
    loop {
        signals.reload_requested().await;
        match read_configuration().await {
            Ok(new) if watch_target.change_to(new.discovery) => {
                let address = new.discovery;
                tracing::info!(%address, "configuration reloaded, discovery address changed");
            }
            Ok(_) => tracing::info!("configuration reloaded, nothing changed"),
            Err(error) => {
                tracing::warn!(%error, "configuration reload failed, keeping current configuration");
            }
        }
    }
}

/// The configuration as it is now, or within [`MAX_RETRY_TIME`].
async fn read_configuration() -> Result<Config, ConfigError> {
    let began = Instant::now();
    let mut is_retry = false;
    loop {
        match Config::reloaded() {
            Err(error) if error.may_pass() && began.elapsed() < MAX_RETRY_TIME => {
                if !std::mem::replace(&mut is_retry, true) {
                    tracing::warn!(%error, "configuration reload failed, retrying");
                }
                sleep(RETRY_DELAY).await;
            }
            result => return result,
        }
    }
}
