//! Route table: the services that receive the new flows to each address.

use std::{net::SocketAddrV4, sync::Arc};

use crate::{control::store::StoreEra, proto::flow as wire};

/// Idle time after which a flow expires if the configuration does not set one.
const DEFAULT_IDLE_TIMEOUT_MS: u64 = 60_000;
/// Target latency of a route that does not set one: a delay that people hardly notice.
const DEFAULT_TARGET_LATENCY_MS: u32 = 250;

/// A service behind a route, with its share of the new flows.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Backend {
    /// Name of the service.
    pub service: Arc<str>,
    /// Weight relative to the route's other backends.
    pub weight: u32,
}

/// An address that callers open flows to and the services behind it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// Address that callers open flows to.
    pub address: SocketAddrV4,
    /// Services among which new flows are distributed.
    pub backends: Vec<Backend>,
    /// Service class of the requests.
    pub class: Class,
}

/// Service class of the requests of a route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Class {
    /// Target latency of a response, in milliseconds.
    pub target_latency_ms: u32,
    /// Priority; 0 is the highest.
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

/// Version of a route table. A table is replaced only by one with a higher version.
///
/// A store that was restored from an older copy may assign the number of a lost configuration to
/// another one, so the later era decides between equal numbers.
///
/// ```
/// use bamboowind::{control::store::StoreEra, flow::routes::RouteVersion};
///
/// let lost = RouteVersion::new(5, StoreEra(1));
/// assert!(RouteVersion::new(5, StoreEra(2)) > lost);
/// assert!(RouteVersion::new(4, StoreEra(2)) < lost);
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct RouteVersion {
    /// Number assigned by the operator; 0 means that no configuration has been received.
    pub number: u64,
    /// Era of the store in which the configuration was read.
    pub era: StoreEra,
}

impl RouteVersion {
    /// Creates the version `number` as read in `era`.
    #[must_use]
    pub fn new(number: u64, era: StoreEra) -> Self {
        Self { number, era }
    }
}

/// Routes of one configuration version, sorted by address.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteTable {
    version: RouteVersion,
    idle_timeout_ms: u64,
    routes: Vec<Route>,
}

impl Default for RouteTable {
    fn default() -> Self {
        Self::new(0, Vec::new())
    }
}

impl RouteTable {
    /// Creates a table; version 0 means that no configuration has been received.
    ///
    /// If several routes have the same address, only the first is kept.
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
    pub fn new(number: u64, mut routes: Vec<Route>) -> Self {
        routes.sort_by_key(|route| route.address);
        routes.dedup_by_key(|route| route.address);
        Self {
            version: RouteVersion::new(number, StoreEra::default()),
            idle_timeout_ms: DEFAULT_IDLE_TIMEOUT_MS,
            routes,
        }
    }

    /// Sets the idle time after which a flow may expire, in milliseconds.
    #[must_use]
    pub fn with_idle_timeout_ms(mut self, idle_timeout_ms: u64) -> Self {
        self.idle_timeout_ms = idle_timeout_ms;
        self
    }

    /// Sets the era of the store in which the configuration was read.
    #[must_use]
    pub fn with_era(mut self, era: StoreEra) -> Self {
        self.version.era = era;
        self
    }

    /// Version of the configuration.
    #[must_use]
    pub fn version(&self) -> RouteVersion {
        self.version
    }

    /// Idle time after which a flow may expire, in milliseconds.
    #[must_use]
    pub fn idle_timeout_ms(&self) -> u64 {
        self.idle_timeout_ms
    }

    /// Number of routes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// Whether the table has no routes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }

    /// Service class of the requests to an address; the default class if there is no route.
    #[must_use]
    pub fn class(&self, address: SocketAddrV4) -> Class {
        let found = self
            .routes
            .binary_search_by_key(&address, |route| route.address);
        found.map_or_else(|_| Class::default(), |index| self.routes[index].class)
    }

    /// Services behind an address; empty if there is no route.
    #[must_use]
    pub fn backends(&self, address: SocketAddrV4) -> &[Backend] {
        let found = self
            .routes
            .binary_search_by_key(&address, |route| route.address);
        found.map_or(&[], |index| &self.routes[index].backends)
    }

    /// Selects the service for a new flow to `address` by weight, using the hash of the flow.
    ///
    /// Returns `None` if there is no route or the weights of its backends add up to zero.
    #[must_use]
    pub fn service(&self, address: SocketAddrV4, hash: u64) -> Option<Arc<str>> {
        let backends = self.backends(address);
        let total_weight: u64 = backends.iter().map(|b| u64::from(b.weight)).sum();
        let mut offset = hash.checked_rem(total_weight)?;
        for backend in backends {
            let weight = u64::from(backend.weight);
            if offset < weight {
                return Some(Arc::clone(&backend.service));
            }
            offset -= weight;
        }
        None
    }

    /// Converts the table to its wire message.
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
            version: self.version.number,
            era: self.version.era.0,
            idle_timeout_ms: self.idle_timeout_ms,
            routes: self.routes.iter().map(route).collect(),
        }
    }

    /// Converts a wire message to a table; routes whose port is out of range are skipped.
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
        Self::new(message.version, routes)
            .with_era(StoreEra(message.era))
            .with_idle_timeout_ms(message.idle_timeout_ms)
    }
}

fn backend_message(backend: &Backend) -> wire::Backend {
    wire::Backend {
        service: backend.service.to_string(),
        weight: backend.weight,
    }
}
