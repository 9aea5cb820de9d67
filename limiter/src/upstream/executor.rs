//! Executes the attempts of the engine, and reports how each one ended.

use std::rc::Rc;

use limiter_core::{Outcome, ServerId};
use tokio::sync::oneshot;

use super::attempt::send_and_receive;
use super::servers::Servers;
use crate::engine::{Engine, Upstream};
use crate::messages::attempt::{AttemptId, AttemptJob};

impl Upstream for Rc<Servers> {
    fn start_attempt(&self, engine: &Rc<Engine>, job: AttemptJob, cancelled: oneshot::Receiver<Outcome>) {
        tokio::task::spawn_local(run_attempt(self.clone(), engine.clone(), job, cancelled));
    }

    fn close_idle(&self, server: &ServerId) {
        Servers::close_idle(self, server);
    }
}

/// Executes one attempt, and reports its end to the engine exactly once.
///
/// The engine cancels the attempt by sending the outcome to report through `cancelled`. If both a
/// cancellation and a response have arrived, the cancellation takes precedence, because the `select` is
/// biased. The `select` drops the attempt, and with it the connection, before the end is reported and the
/// engine may begin the next attempt: a request never has two attempts in flight. If the sender of
/// `cancelled` is dropped without an outcome, the attempt continues.
async fn run_attempt(
    servers: Rc<Servers>,
    engine: Rc<Engine>,
    job: AttemptJob,
    cancelled: oneshot::Receiver<Outcome>,
) {
    let result = tokio::select! {
        biased;
        Ok(outcome) = cancelled => outcome.into(),
        result = send_and_receive(&servers, &engine, &job) => {
            result.unwrap_or_else(|error| {
                let AttemptId { request, number: attempt } = job.id;
                let server = &job.server;
                tracing::debug!(request, attempt, %server, %error, "attempt failed without response");
                error.outcome().into()
            })
        }
    };
    engine.record_attempt_end(job.id, result);
}
