//! The client side of a request that the engine has taken.

use std::rc::Rc;

use limiter_core::RequestId;
use tokio::sync::oneshot;

use super::Engine;
use crate::messages::request::FinalResponse;

/// A request with the same correlation id is pending: two at the servers could not be told apart.
#[derive(Debug)]
pub struct DuplicateRequest;

/// A submitted request. Dropping it before its response tells the core that the client has disconnected.
pub struct PendingResponse {
    engine: Rc<Engine>,
    id: RequestId,
    response: oneshot::Receiver<FinalResponse>,
}

impl PendingResponse {
    /// The response to a request that the engine has taken; it comes through `response`.
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
        self.engine.client_disconnected(self.id);
    }
}
