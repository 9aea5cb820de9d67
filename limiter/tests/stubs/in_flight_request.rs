//! A request that a server has received but not yet answered.

use std::net::TcpStream;
use std::sync::Arc;

use super::{
    idempotent_request, serving, sleep_ms, wait_for, write_ok, Configuration, Endpoint, HttpMessage,
    LimiterProcess, StubServer,
};

/// Ids of the servers in the endpoint list, in the order of [`InFlightRequest::servers`].
const SERVER_IDS: [&str; 2] = ["s-1", "s-2"];

/// Servers, a limiter in front of them, and a client whose request is in flight at one of the servers.
pub struct InFlightRequest {
    /// The servers, whose ids in the endpoint list are s-1 and s-2.
    pub servers: Vec<StubServer>,
    /// The limiter that has forwarded the request.
    pub limiter: LimiterProcess,
    /// The connection on which the request was sent.
    pub client: TcpStream,
}

impl InFlightRequest {
    /// Starts one or two servers that respond in the same way and a limiter in front of them, and sends
    /// `request`. Returns when a server has received the request.
    ///
    /// `respond` answers each request on its connection, and returns whether the connection stays open.
    ///
    /// # Panics
    ///
    /// Panics if no server has received the request within [`super::WAIT_TIMEOUT`].
    pub fn start(
        num_servers: usize,
        respond: impl Fn(&HttpMessage, &mut TcpStream) -> bool + Send + Sync + 'static,
        request: &str,
        alter: impl Fn(Configuration) -> Configuration,
    ) -> InFlightRequest {
        let respond = Arc::new(respond);
        let mut servers: Vec<StubServer> = Vec::new();
        let mut endpoints: Vec<Endpoint> = Vec::new();
        for id in SERVER_IDS.into_iter().take(num_servers) {
            let respond = respond.clone();
            let server = StubServer::new(move |request, stream| respond(request, stream));
            endpoints.push(serving(id, &server));
            servers.push(server);
        }
        let limiter = LimiterProcess::with_endpoints(&endpoints, alter);
        let client = limiter.send(request);
        wait_for("the attempt to reach a server", || {
            servers.iter().map(StubServer::num_received).sum::<usize>() == 1
        });
        InFlightRequest { servers, limiter, client }
    }

    /// Starts one server that responds after 0.3 s, a limiter with the default configuration, and the
    /// default idempotent request.
    ///
    /// # Panics
    ///
    /// Panics if [`InFlightRequest::start`] panics.
    pub fn start_at_slow_server() -> InFlightRequest {
        let respond = |_: &HttpMessage, stream: &mut TcpStream| {
            sleep_ms(300);
            write_ok(stream, "fine")
        };
        InFlightRequest::start(1, respond, &idempotent_request(), |configuration| configuration)
    }
}
