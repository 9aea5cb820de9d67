//! The configuration file of the limiter, and the changes to the file that several tests need.

use std::net::SocketAddr;

/// The endpoint list in the configuration file, unless the test sets another.
pub const EMPTY_ENDPOINT_LIST: &str = r#"{"version":1,"full":true,"servers":[]}"#;

/// The configuration file from which all tests start, with the placeholder `DISCOVERY` for the address of
/// discovery.
const DEFAULT_CONFIGURATION: &str = r#"{
"name":"n0","listen":"127.0.0.1:0","discovery":"DISCOVERY","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":{"version":1,"full":true,"servers":[]},
"settings":{"Balancers":1,"Position":0,"Zone":"a","Dcs":["a","b"],"RoundMs":4,"Discovery":"automatic",
"Classes":[{"Name":"look","AimMs":1000,"Effect":"read_like","LateWorth":0},
{"Name":"book","AimMs":2500,"Effect":"idempotency_key","KeyScope":"all","WindowMs":8000}],
"TiersOfService":[{"Name":"basic","Rate":0,"StoreSize":0}],
"Bounds":{"MostTries":3,"DialTimeoutMs":250,"Cancelling":true,"MayTell":true},
"Obligations":{"StartCapacity":0.2,"ColdMs":9000,"FallMultiple":3,"TipAfterMs":2000},
"Domain":{"MailPerS":60}}}"#;

/// The text of a configuration file.
///
/// Changes replace text instead of parsed values, so that a test shows the key and the value that it changes,
/// and can write invalid files. Every method that changes the text panics if the text to be replaced does not
/// occur.
#[derive(Clone, Debug)]
pub struct Configuration(String);

impl Configuration {
    /// Returns the configuration from which all tests start: one limiter without quotas, and discovery at
    /// this address.
    pub fn with_discovery_at(address: &str) -> Configuration {
        Configuration(DEFAULT_CONFIGURATION.to_string()).replace("DISCOVERY", address)
    }

    /// Returns a configuration with the text of an existing file.
    pub fn from_text(text: String) -> Configuration {
        Configuration(text)
    }

    /// Returns the text of the file.
    pub fn text(&self) -> &str {
        &self.0
    }

    /// Replaces all occurrences of a text.
    pub fn replace(self, from: &str, to: &str) -> Configuration {
        assert!(self.0.contains(from), "the configuration does not contain {from}");
        Configuration(self.0.replace(from, to))
    }

    /// Replaces the first occurrence of a text.
    pub fn replace_first(self, from: &str, to: &str) -> Configuration {
        assert!(self.0.contains(from), "the configuration does not contain {from}");
        Configuration(self.0.replacen(from, to, 1))
    }

    /// Sets the latency objective of the class `look` to 10 minutes, so that the limiter may queue or retry
    /// its idempotent requests until their clients time out.
    pub fn with_long_latency_objective(self) -> Configuration {
        self.with_latency_objective_ms(600_000)
    }

    /// Sets the latency objective of the class `look`, whose requests are idempotent.
    pub fn with_latency_objective_ms(self, ms: u32) -> Configuration {
        self.replace(r#""AimMs":1000"#, &format!("\"AimMs\":{ms}"))
    }

    /// Adds a plan named `refused` before `basic`, the plan of all other requests. The quota of `refused` is
    /// so small that each request of this plan is rejected and never forwarded.
    pub fn with_rejecting_plan(self) -> Configuration {
        let plans = r#""TiersOfService":["#;
        let rejecting_plan = r#"{"Name":"refused","Rate":0.001,"StoreSize":0.001},"#;
        self.replace(plans, &format!("{plans}{rejecting_plan}"))
    }

    /// Sets the quota of the plan `basic`, in JSON: the keys `Rate` and `StoreSize`, and others as needed.
    pub fn with_quota(self, quota: &str) -> Configuration {
        self.replace(r#""Rate":0,"StoreSize":0"#, quota)
    }

    /// Sets the largest cost of a request, in units.
    pub fn with_max_cost_units(self, units: u32) -> Configuration {
        self.replace(r#""MailPerS":60"#, &format!("\"MailPerS\":60,\"UnitsTop\":{units}"))
    }

    /// Sets the largest number of attempts of a request, including the first one.
    pub fn with_max_attempts(self, attempts: u32) -> Configuration {
        self.replace(r#""MostTries":3"#, &format!("\"MostTries\":{attempts}"))
    }

    /// Sets the timeout of a connect to a server.
    pub fn with_connect_timeout_ms(self, ms: u32) -> Configuration {
        self.replace(r#""DialTimeoutMs":250"#, &format!("\"DialTimeoutMs\":{ms}"))
    }

    /// Sets the number of limiters of the deployment.
    pub fn with_num_limiters(self, limiters: u32) -> Configuration {
        self.replace(r#""Balancers":1"#, &format!("\"Balancers\":{limiters}"))
    }

    /// Makes the limiter part of a deployment whose limiters gossip. `addresses` contains the gossip
    /// addresses of all limiters, beginning with that of the limiter under test.
    pub fn with_peers(self, addresses: &[SocketAddr]) -> Configuration {
        let quoted: Vec<String> = addresses.iter().map(|address| format!("\"{address}\"")).collect();
        let local = &quoted[0];
        let all = quoted.join(",");
        let known = r#""known":"#;
        let peers = format!(r#""peer_listen":{local},"peers":[{all}],{known}"#);
        self.replace(known, &peers).with_num_limiters(addresses.len() as u32)
    }

    /// Sets the position of the limiter among all limiters of the deployment, counted from 0.
    pub fn with_position(self, position: u32) -> Configuration {
        self.replace(r#""Position":0"#, &format!("\"Position\":{position}"))
    }

    /// Sets the configured number of descriptors that the limiter may have open. The limit of the operating
    /// system does not change.
    pub fn with_max_descriptors(self, descriptors: u32) -> Configuration {
        self.replace(r#""sockets":1024"#, &format!("\"sockets\":{descriptors}"))
    }

    /// Sets the memory limit, in megabytes.
    pub fn with_memory_mb(self, megabytes: u32) -> Configuration {
        self.replace(r#""memory_mb":192"#, &format!("\"memory_mb\":{megabytes}"))
    }

    /// Sets the configured endpoint list, which may be stale.
    pub fn with_configured_endpoints(self, list: &str) -> Configuration {
        self.replace(EMPTY_ENDPOINT_LIST, list.trim_end())
    }

    /// Sets how the limiter receives endpoint lists: `automatic` (pushed) or `subscribe`.
    pub fn with_discovery_mode(self, mode: &str) -> Configuration {
        self.replace("automatic", mode)
    }
}
