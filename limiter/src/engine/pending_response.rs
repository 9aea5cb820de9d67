//! The client's side of a submitted request.

use std::rc::Rc;

use limiter_core::RequestId;
use tokio::sync::oneshot;

use super::Engine;
use crate::messages::request::FinalResponse;

/// A submitted request whose final response is awaited. Dropping it before the response counts as a
/// disconnect of the client.
pub struct PendingResponse {
    engine: Rc<Engine>,
    id: RequestId,
    response: oneshot::Receiver<FinalResponse>,
}

impl PendingResponse {
    /// Creates the client's side of request `id`, whose final response arrives through `response`.
    pub(super) fn new(engine: Rc<Engine>, id: RequestId, response: oneshot::Receiver<FinalResponse>) -> Self {
        PendingResponse { engine, id, response }
    }

    /// Waits for the final response. Cancelling drops `self`, which counts as a disconnect of the client.
    pub async fn wait(mut self) -> FinalResponse {
        (&mut self.response).await.unwrap_or(FinalResponse::Failed)
    }
}

impl Drop for PendingResponse {
    fn drop(&mut self) {
        self.engine.record_client_disconnect(self.id);
    }
}
