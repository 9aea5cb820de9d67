//! A request that a server has and has not answered yet.

use std::net::TcpStream;
use std::sync::Arc;

use super::{
    idempotent_request, serving, sleep_ms, wait_for, write_ok, Configuration, Endpoint, HttpMessage,
    LimiterProcess, StubServer,
};

/// Servers, the program in front of them, and a client whose request one of them has.
pub struct InFlightRequest {
    pub servers: Vec<StubServer>,
    pub limiter: LimiterProcess,
    pub client: TcpStream,
}

impl InFlightRequest {
    /// One or two servers, which respond alike.
    pub fn start(
        num_servers: usize,
        respond: impl Fn(&HttpMessage, &mut TcpStream) -> bool + Send + Sync + 'static,
        request: &str,
        alter: impl Fn(Configuration) -> Configuration,
    ) -> InFlightRequest {
        let respond = Arc::new(respond);
        let alike = |_| {
            let respond = respond.clone();
            StubServer::new(move |request, stream| respond(request, stream))
        };
        let servers: Vec<StubServer> = (0..num_servers).map(alike).collect();
        let endpoints: Vec<Endpoint> =
            ["s-1", "s-2"].into_iter().zip(&servers).map(|(id, server)| serving(id, server)).collect();
        let limiter = LimiterProcess::with_endpoints(&endpoints, alter);
        let client = limiter.send(request);
        wait_for("the attempt", || servers.iter().map(StubServer::num_received).sum::<usize>() == 1);
        InFlightRequest { servers, limiter, client }
    }

    /// One server that responds after 0.3 s, and the idempotent request that it has.
    pub fn start_at_slow_server() -> InFlightRequest {
        let respond = |_: &HttpMessage, stream: &mut TcpStream| {
            sleep_ms(300);
            write_ok(stream, "fine")
        };
        InFlightRequest::start(1, respond, &idempotent_request(), |configuration| configuration)
    }
}
