//! Pipelined requests: a client writes several at once, and their responses arrive in the same order.

use std::time::Instant;

use tokio::io::AsyncWriteExt;
use tokio::time::timeout;

use super::exchange::LimiterConnection;
use super::request::RequestSpec;
use super::{Clients, RESPONSE_GRACE};
use crate::http::MessageKind;
use crate::record::Outcome;

impl Clients {
    /// Writes several requests at once on a new connection to the first member of the first request's quota,
    /// and reads their responses in order. Requests after the first that were not forwarded when the limiter
    /// closed the connection are removed from the record.
    pub(super) async fn send_pipelined(&self, requests: &[RequestSpec]) {
        let limiter = requests[0].first_member;
        let Some(connection) = self.connect(limiter).await else { return };
        let incarnation = self.limiters[limiter].incarnation();
        let mut limiter_connection = LimiterConnection { connection, limiter, incarnation, is_reused: false };
        let text: String = requests.iter().map(|request| request.to_http(&self.deployment)).collect();
        if limiter_connection.connection.stream.write_all(text.as_bytes()).await.is_err() {
            return;
        }
        let written_at = Instant::now();
        for request in requests {
            self.record_request(request, &limiter_connection, written_at);
        }
        for (index, request) in requests.iter().enumerate() {
            let is_first = index == 0;
            self.read_pipelined_response(request, &mut limiter_connection, written_at, is_first).await;
        }
    }

    async fn read_pipelined_response(
        &self,
        request: &RequestSpec,
        limiter_connection: &mut LimiterConnection,
        written_at: Instant,
        is_first: bool,
    ) {
        let time_left = (request.timeout + RESPONSE_GRACE).saturating_sub(written_at.elapsed());
        // Responses arrive in the order of the requests, regardless of the timeout of each. The response to a
        // later request therefore gets at least the grace period after the wait for the one ahead of it.
        let max_wait = if is_first { time_left } else { time_left.max(RESPONSE_GRACE) };
        match timeout(max_wait, limiter_connection.connection.read(MessageKind::Response)).await {
            Ok(Ok(response)) => self.record_outcome(request.id, request.outcome(&response)),
            Ok(Err(_)) if !is_first && !self.was_forwarded(request.id) => self.remove_request(request.id),
            Ok(Err(_)) => self.record_outcome(request.id, Outcome::Closed),
            Err(_) => self.record_outcome(request.id, Outcome::TimedOut),
        }
    }
}
