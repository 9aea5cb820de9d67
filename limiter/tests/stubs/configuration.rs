//! The program's configuration file, and the changes to it that several tests need.

use std::net::SocketAddr;

/// The endpoint list that the configuration gives the program for its start.
pub const EMPTY_ENDPOINT_LIST: &str = r#"{"version":1,"full":true,"servers":[]}"#;

const CONFIGURATION: &str = r#"{"name":"n0","listen":"127.0.0.1:0","discovery":"DISCOVERY","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":{"version":1,"full":true,"servers":[]},
"settings":{"Balancers":1,"Position":0,"Zone":"a","Dcs":["a","b"],"RoundMs":4,"Discovery":"automatic",
"Classes":[{"Name":"look","AimMs":1000,"Effect":"read_like","LateWorth":0},
{"Name":"book","AimMs":2500,"Effect":"idempotency_key","KeyScope":"all","WindowMs":8000}],
"TiersOfService":[{"Name":"basic","Rate":0,"StoreSize":0}],
"Bounds":{"MostTries":3,"DialTimeoutMs":250,"Cancelling":true,"MayTell":true},
"Obligations":{"StartCapacity":0.2,"ColdMs":9000,"FallMultiple":3,"TipAfterMs":2000},"Domain":{"MailPerS":60}}}"#;

/// The text of a configuration file.
#[derive(Clone, Debug)]
pub struct Configuration(String);

impl Configuration {
    pub fn with_discovery_at(address: &str) -> Configuration {
        Configuration(CONFIGURATION.to_string()).replace("DISCOVERY", address)
    }

    pub fn from_text(text: String) -> Configuration {
        Configuration(text)
    }

    pub fn text(&self) -> &str {
        &self.0
    }

    /// Replaces a text that is there.
    pub fn replace(self, from: &str, to: &str) -> Configuration {
        assert!(self.0.contains(from), "the configuration has no {from}");
        Configuration(self.0.replace(from, to))
    }

    /// Replaces the first place of a text that is there.
    pub fn replace_first(self, from: &str, to: &str) -> Configuration {
        assert!(self.0.contains(from), "the configuration has no {from}");
        Configuration(self.0.replacen(from, to, 1))
    }

    /// The program may hold idempotent requests for as long as their clients wait.
    pub fn with_long_latency_objective(self) -> Configuration {
        self.with_latency_objective_ms(600_000)
    }

    /// The latency objective of idempotent requests.
    pub fn with_latency_objective_ms(self, ms: u32) -> Configuration {
        self.replace(r#""AimMs":1000"#, &format!("\"AimMs\":{ms}"))
    }

    /// A further plan, whose requests are rejected before they are forwarded.
    pub fn with_rejecting_plan(self) -> Configuration {
        let plans = r#""TiersOfService":["#;
        let rejecting = r#"{"Name":"refused","Rate":0.001,"StoreSize":0.001},"#;
        self.replace(plans, &format!("{plans}{rejecting}"))
    }

    /// The quota of the plan of all requests.
    pub fn with_quota(self, quota: &str) -> Configuration {
        self.replace(r#""Rate":0,"StoreSize":0"#, quota)
    }

    /// No request may cost more units.
    pub fn with_max_cost_units(self, units: u32) -> Configuration {
        self.replace(r#""MailPerS":60"#, &format!("\"MailPerS\":60,\"UnitsTop\":{units}"))
    }

    pub fn with_max_attempts(self, attempts: u32) -> Configuration {
        self.replace(r#""MostTries":3"#, &format!("\"MostTries\":{attempts}"))
    }

    pub fn with_connect_timeout_ms(self, ms: u32) -> Configuration {
        self.replace(r#""DialTimeoutMs":250"#, &format!("\"DialTimeoutMs\":{ms}"))
    }

    pub fn with_num_limiters(self, limiters: u32) -> Configuration {
        self.replace(r#""Balancers":1"#, &format!("\"Balancers\":{limiters}"))
    }

    /// One of a fleet that gossips; the program's own address is the first one.
    pub fn with_peers(self, addresses: &[SocketAddr]) -> Configuration {
        let quoted: Vec<String> = addresses.iter().map(|address| format!("\"{address}\"")).collect();
        let (own, all) = (&quoted[0], quoted.join(","));
        // An unknown key is ignored; it takes the brace that ends the limits.
        let peers = format!(r#""sockets":1024}},"peer_listen":{own},"peers":[{all}],"unread":{{"x":1"#);
        self.replace(r#""sockets":1024"#, &peers).with_num_limiters(addresses.len() as u32)
    }

    /// The number of the program among the limiters.
    pub fn with_position(self, position: u32) -> Configuration {
        self.replace(r#""Position":0"#, &format!("\"Position\":{position}"))
    }

    /// The descriptors that the program may use.
    pub fn with_max_descriptors(self, descriptors: u32) -> Configuration {
        self.replace(r#""sockets":1024"#, &format!("\"sockets\":{descriptors}"))
    }

    /// An endpoint list for the start, which may be old.
    pub fn with_configured_endpoints(self, list: &str) -> Configuration {
        self.replace(EMPTY_ENDPOINT_LIST, list.trim_end())
    }

    pub fn with_discovery_mode(self, mode: &str) -> Configuration {
        self.replace("automatic", mode)
    }
}
