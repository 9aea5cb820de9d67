//! For tests in which an answer waits for a word, breaks off or never ends.
// Each file of tests uses a part of this.
#![allow(dead_code)]

use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use crate::stubs::*;

/// Closed until the test opens it.
#[derive(Clone, Default)]
pub struct Gate(Arc<AtomicBool>);

impl Gate {
    pub fn open(&self) {
        self.0.store(true, Ordering::SeqCst);
    }
    pub fn is_open(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
    pub fn wait(&self) {
        wait_for("the gate", || self.is_open());
    }
}

/// Has the next close of a connection be a reset.
pub fn end_by_reset(stream: &TcpStream) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let _inside = runtime.enter();
    let stream = stream.try_clone().expect("a clone");
    stream.set_nonblocking(true).expect("not blocking");
    tokio::net::TcpStream::from_std(stream).expect("a stream").set_zero_linger().expect("no linger");
}

/// The final answer's status; the next answer on the connection is the next request's, so that there was one alone.
pub fn one_final_answer(node: &Node, request: &str) -> u16 {
    let mut client = TcpStream::connect(node.addr).expect("connect");
    let status = exchange(&mut client, request).status;
    let next = exchange(&mut client, &post("book", "fine", "", "fine"));
    assert_eq!((next.status, next.body.as_str()), (200, "fine"));
    status
}

/// The most memory that the program has held, in kB.
pub fn most_memory(node: &Node) -> u64 {
    let mark = format!("ROUTER_DISCOVERY={}", node.discovery.addr);
    let started = |environment: Vec<u8>| environment.split(|b| *b == 0).any(|one| one == mark.as_bytes());
    let mut processes = std::fs::read_dir("/proc").expect("processes").flatten().map(|p| p.path());
    let own = processes.find(|p| std::fs::read(p.join("environ")).is_ok_and(started)).expect("the program");
    let status = std::fs::read_to_string(own.join("status")).expect("its status");
    let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).expect("its memory");
    line.trim().trim_end_matches(" kB").parse().expect("a number")
}

/// The attempts of the one keyed request: 3 at most, all with its key.
pub fn assert_keyed(server: &Stub) {
    let mut keyed = server.seen();
    keyed.retain(|s| s.body == "x");
    assert!((1..=3).contains(&keyed.len()), "{} attempts", keyed.len());
    assert!(keyed.iter().all(|s| s.header("idempotency-key").as_deref() == Some("k")));
}
