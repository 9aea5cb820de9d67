//! The client's side of a submitted request.

use std::rc::Rc;

use limiter_core::RequestId;
use tokio::sync::oneshot;

use super::Engine;
use crate::messages::request::FinalResponse;

/// The receiver of a submitted request's final response. Dropping it before the final response is sent
/// records a disconnect of the client; dropping it afterwards has no effect.
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

    /// Waits for the final response. Cancelling drops `self`, which records a disconnect of the client.
    pub async fn wait(mut self) -> FinalResponse {
        (&mut self.response).await.unwrap_or(FinalResponse::Failed)
    }
}

impl Drop for PendingResponse {
    fn drop(&mut self) {
        self.engine.record_client_disconnect(self.id);
    }
}
