//! The watch requests in flight: the newest one, and an earlier one that was not answered in time.
//!
//! A request that exceeds the response timeout stays in flight during the backoff and the requests that
//! follow it. If it were dropped, the limiter would never receive a list from a discovery that answers every
//! request later than the response timeout. A response that arrives during a backoff is returned by the next
//! call of [`InFlightRequests::open_watch`].

use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use tokio::time::{sleep_until, timeout, Instant};

use super::request::{send_watch_request, WatchRequestError, WatchStream};
use super::source::WatchSource;

/// Time from sending a request until it is abandoned. After the response timeout, the request stays in flight
/// beside the requests that follow it, because discovery may be slow or overloaded. A limiter is expected to
/// know a change 6 s after discovery has received it.
const SLOW_REQUEST_TIMEOUT: Duration = Duration::from_secs(6);

/// A watch request that awaits its response. Dropping the request closes its connection.
type InFlightRequest = Pin<Box<dyn Future<Output = Result<WatchStream, WatchRequestError>>>>;

/// A request that was not answered in time.
struct SlowRequest {
    request: InFlightRequest,
    /// When the request is abandoned.
    deadline: Instant,
}

/// Sends the requests of one watch, and holds those that are in flight.
pub struct InFlightRequests {
    /// Longest time for which the response to the newest request is awaited.
    response_timeout: Duration,
    /// The oldest request that exceeded the response timeout and is still unanswered. Of all unanswered
    /// requests, its response is expected first.
    slow: Option<SlowRequest>,
}

impl InFlightRequests {
    /// Creates an empty set of requests.
    pub fn new(response_timeout: Duration) -> InFlightRequests {
        InFlightRequests { response_timeout, slow: None }
    }

    /// Requests a watch on a source, from the last version of its list that was read. A response to the slow
    /// request opens the watch as well. Once a watch is open, every other request is dropped.
    ///
    /// Cancelling drops the new request, and leaves the slow one in flight.
    ///
    /// # Errors
    /// [`WatchRequestError`] if the new request fails, or no request is answered in time.
    pub async fn open_watch(&mut self, source: &WatchSource) -> Result<WatchStream, WatchRequestError> {
        let sent_at = Instant::now();
        let mut request: InFlightRequest = Box::pin(send_watch_request(source.clone()));
        let response = timeout(self.response_timeout, self.first_response(&mut request)).await;
        let Ok(response) = response else {
            self.slow
                .get_or_insert_with(|| SlowRequest { request, deadline: sent_at + SLOW_REQUEST_TIMEOUT });
            return Err(WatchRequestError::TimedOut);
        };
        if response.is_ok() {
            self.slow = None;
        }
        response
    }

    /// Returns the first response to the new request or to the slow one. The slow request is dropped if it
    /// fails or times out; the new one is then awaited alone. Cancelling loses neither request.
    async fn first_response(
        &mut self,
        request: &mut InFlightRequest,
    ) -> Result<WatchStream, WatchRequestError> {
        if let Some(slow) = &mut self.slow {
            let slow_response = tokio::select! {
                response = &mut *request => return response,
                slow_response = &mut slow.request => slow_response.ok(),
                () = sleep_until(slow.deadline) => None,
            };
            // The slow request has ended and must not be polled again.
            self.slow = None;
            if let Some(watch) = slow_response {
                return Ok(watch);
            }
        }
        request.await
    }
}
