//! Reloads of the configuration. Only the address of discovery can change while the program runs.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{sleep, Instant};

use crate::config::{Config, ConfigError};
use crate::discovery::WatchTarget;
use crate::runtime::signals::Signals;

/// Time for which reading the file is retried: system calls may fail temporarily, and a file may be read
/// while it is being written. A limiter is expected to know the endpoint list of the new discovery 4 s after
/// the signal; the rest of that time is for the first watch.
const MAX_RETRY_TIME: Duration = Duration::from_secs(3);
/// Delay between two attempts to read the file.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Reads the configuration again on each SIGHUP. A configuration that cannot be used changes nothing. Never
/// returns.
pub async fn reload_on_hangup(signals: Rc<Signals>, watch_target: Rc<WatchTarget>) {
    loop {
        signals.reload_requested().await;
        match read_configuration().await {
            Ok(config) => apply(&config, &watch_target),
            Err(error) => {
                tracing::warn!(%error, "configuration reload failed, keeping current configuration");
            }
        }
    }
}

fn apply(config: &Config, watch_target: &WatchTarget) {
    let address = config.discovery;
    if watch_target.change_to(address) {
        tracing::info!(%address, "configuration reloaded, discovery address changed");
    } else {
        tracing::info!("configuration reloaded, nothing changed");
    }
}

/// Reads the configuration. Retries for up to [`MAX_RETRY_TIME`] while the file cannot be read or parsed.
async fn read_configuration() -> Result<Config, ConfigError> {
    let began = Instant::now();
    let mut is_retry = false;
    loop {
        match Config::reloaded() {
            Err(error) if error.is_transient() && began.elapsed() < MAX_RETRY_TIME => {
                if !is_retry {
                    tracing::warn!(%error, "configuration reload failed, retrying");
                }
                is_retry = true;
                sleep(RETRY_DELAY).await;
            }
            result => return result,
        }
    }
}
