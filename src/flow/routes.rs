//! Routes: which services take the new flows to an address.

use std::{net::SocketAddrV4, sync::Arc};

use crate::proto::flow as wire;

/// Idle time after which a flow is forgotten while no configuration says otherwise.
const DEFAULT_IDLE_TIMEOUT_MS: u64 = 60_000;
/// Wanted time of a route that names none: what a person hardly notices.
const DEFAULT_TARGET_LATENCY_MS: u32 = 250;

/// A service's share of a route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Backend {
    /// Name of the service.
    pub service: Arc<str>,
    /// Weight among the route's backends.
    pub weight: u32,
}

/// One address of callers and the services behind it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// Address that callers open flows to.
    pub address: SocketAddrV4,
    /// Services that share the new flows.
    pub backends: Vec<Backend>,
    /// Urgency and wanted time of the requests.
    pub class: Class,
}

/// What is wanted for the requests of a route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Class {
    /// Time in which callers want an answer, in milliseconds.
    pub target_latency_ms: u32,
    /// Urgency; 0 is the highest.
    pub priority: u8,
}

impl Default for Class {
    fn default() -> Self {
        Self {
            target_latency_ms: DEFAULT_TARGET_LATENCY_MS,
            priority: u8::MAX,
        }
    }
}

/// The routes of one version, sorted by address.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteTable {
    version: u64,
    idle_timeout_ms: u64,
    routes: Vec<Route>,
}

impl Default for RouteTable {
    fn default() -> Self {
        Self::new(0, Vec::new())
    }
}

impl RouteTable {
    /// Makes a table; version 0 stands for no configuration at all.
    ///
    /// ```
    /// use bamboowind::flow::routes::{Backend, Class, Route, RouteTable};
    ///
    /// let address = "198.18.0.1:443".parse().unwrap();
    /// let backend = Backend { service: "catalogo".into(), weight: 1 };
    /// let route = Route { address, backends: vec![backend], class: Class::default() };
    /// let table = RouteTable::new(7, vec![route]);
    /// assert_eq!(&*table.service(address, 12).unwrap(), "catalogo");
    /// ```
    #[must_use]
    pub fn new(version: u64, mut routes: Vec<Route>) -> Self {
        routes.sort_by_key(|route| route.address);
        routes.dedup_by_key(|route| route.address);
        Self {
            version,
            idle_timeout_ms: DEFAULT_IDLE_TIMEOUT_MS,
            routes,
        }
    }

    /// Sets the time after which a silent flow may be forgotten.
    #[must_use]
    pub fn with_idle_timeout_ms(mut self, idle_timeout_ms: u64) -> Self {
        self.idle_timeout_ms = idle_timeout_ms;
        self
    }

    /// Version of the configuration.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Time after which a silent flow may be forgotten, in milliseconds.
    #[must_use]
    pub fn idle_timeout_ms(&self) -> u64 {
        self.idle_timeout_ms
    }

    /// Number of routes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// Whether there is no route.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }

    /// What is wanted for the requests to an address.
    #[must_use]
    pub fn class(&self, address: SocketAddrV4) -> Class {
        let found = self
            .routes
            .binary_search_by_key(&address, |route| route.address);
        found.map_or_else(|_| Class::default(), |index| self.routes[index].class)
    }

    /// The services behind an address.
    #[must_use]
    pub fn backends(&self, address: SocketAddrV4) -> &[Backend] {
        let found = self
            .routes
            .binary_search_by_key(&address, |route| route.address);
        found.map_or(&[], |index| &self.routes[index].backends)
    }

    /// The service that takes a flow to `address`; `hash` splits flows by weight.
    #[must_use]
    pub fn service(&self, address: SocketAddrV4, hash: u64) -> Option<Arc<str>> {
        let backends = self.backends(address);
        let total: u64 = backends.iter().map(|b| u64::from(b.weight)).sum();
        let mut point = hash.checked_rem(total)?;
        for backend in backends {
            let weight = u64::from(backend.weight);
            if point < weight {
                return Some(Arc::clone(&backend.service));
            }
            point -= weight;
        }
        None
    }

    /// The table as a message to other processes.
    #[must_use]
    pub fn to_message(&self) -> wire::RouteTable {
        let route = |route: &Route| wire::Route {
            ip: (*route.address.ip()).into(),
            port: route.address.port().into(),
            backends: route.backends.iter().map(backend_message).collect(),
            target_latency_ms: route.class.target_latency_ms,
            priority: route.class.priority.into(),
        };
        wire::RouteTable {
            version: self.version,
            idle_timeout_ms: self.idle_timeout_ms,
            routes: self.routes.iter().map(route).collect(),
        }
    }

    /// The table of another process's message; routes with an impossible port are left out.
    #[must_use]
    pub fn from_message(message: wire::RouteTable) -> Self {
        let route = |route: wire::Route| {
            let port = u16::try_from(route.port).ok()?;
            let backend = |b: wire::Backend| Backend {
                service: b.service.into(),
                weight: b.weight,
            };
            Some(Route {
                address: SocketAddrV4::new(route.ip.into(), port),
                backends: route.backends.into_iter().map(backend).collect(),
                class: Class {
                    target_latency_ms: route.target_latency_ms,
                    priority: u8::try_from(route.priority).unwrap_or(u8::MAX),
                },
            })
        };
        let routes = message.routes.into_iter().filter_map(route).collect();
        Self::new(message.version, routes).with_idle_timeout_ms(message.idle_timeout_ms)
    }
}

fn backend_message(backend: &Backend) -> wire::Backend {
    wire::Backend {
        service: backend.service.to_string(),
        weight: backend.weight,
    }
}
