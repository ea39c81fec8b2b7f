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

/// How a target of a service warms up.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WarmUp {
    /// Name of the service.
    pub service: Arc<str>,
    /// Time for which a target is cold after it starts or its failure domain returns to service, in
    /// milliseconds.
    pub warmup_ms: u64,
    /// Requests that a cold target sustains, per thousand seconds; 0 for no limit.
    pub rate_per_1000_s: u64,
}

impl WarmUp {
    /// Creates the figures of a service.
    ///
    /// ```
    /// use bamboowind::flow::routes::WarmUp;
    ///
    /// let warm_up = WarmUp::new("catalogo", 4_000, 12_500);
    /// assert_eq!(warm_up.rate_per_1000_s, 12_500); // 12.5 requests per second
    /// ```
    #[must_use]
    pub fn new(service: impl Into<Arc<str>>, warmup_ms: u64, rate_per_1000_s: u64) -> Self {
        Self {
            service: service.into(),
            warmup_ms,
            rate_per_1000_s,
        }
    }
}

/// Largest decimal that [`thousandths`] converts.
const MAX_DECIMAL: f64 = 1e9;

/// Converts a decimal of the configuration to thousandths, rounded down. `None` if it is negative or
/// no number; a very large one is reduced.
///
/// ```
/// use bamboowind::flow::routes::thousandths;
///
/// assert_eq!(thousandths(12.5), Some(12_500));
/// assert_eq!(thousandths(0.29), Some(290));
/// assert_eq!(thousandths(-1.0), None);
/// ```
#[must_use]
pub fn thousandths(decimal: f64) -> Option<u64> {
    // 0.29 * 1,000 is slightly less than 290.
    const ROUNDING: f64 = 1e-6;
    if decimal.is_nan() || decimal < 0.0 {
        return None;
    }
    // The value is not negative and far below the largest integer.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let thousandths = (decimal.min(MAX_DECIMAL) * 1_000.0 + ROUNDING) as u64;
    Some(thousandths)
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
    /// Services whose cold targets have a limited rate, sorted by name.
    warm_ups: Vec<WarmUp>,
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
            warm_ups: Vec::new(),
        }
    }

    /// Sets the idle time after which a flow may expire, in milliseconds.
    #[must_use]
    pub fn with_idle_timeout_ms(mut self, idle_timeout_ms: u64) -> Self {
        self.idle_timeout_ms = idle_timeout_ms;
        self
    }

    /// Sets how the targets of services warm up. Services without a rate are left out; of several
    /// entries of a service, only the first is kept.
    #[must_use]
    pub fn with_warm_ups(mut self, mut warm_ups: Vec<WarmUp>) -> Self {
        warm_ups.retain(|warm_up| warm_up.rate_per_1000_s > 0);
        warm_ups.sort_by(|a, b| a.service.cmp(&b.service));
        warm_ups.dedup_by(|later, first| later.service == first.service);
        self.warm_ups = warm_ups;
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

    /// How the targets of a service warm up; `None` if cold ones have no limit.
    #[must_use]
    pub fn warm_up(&self, service: &str) -> Option<&WarmUp> {
        let found = self
            .warm_ups
            .binary_search_by(|warm_up| (*warm_up.service).cmp(service));
        found.ok().map(|index| &self.warm_ups[index])
    }

    /// Whether a service limits the new flows of its cold targets.
    #[must_use]
    pub fn limits_cold_targets(&self) -> bool {
        !self.warm_ups.is_empty()
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
            services: self.warm_ups.iter().map(warm_up_message).collect(),
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
        let warm_up = |service: wire::ServiceWarmUp| {
            WarmUp::new(service.name, service.warmup_ms, service.rate_per_1000_s)
        };
        let warm_ups = message.services.into_iter().map(warm_up).collect();
        Self::new(message.version, routes)
            .with_warm_ups(warm_ups)
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

fn warm_up_message(warm_up: &WarmUp) -> wire::ServiceWarmUp {
    wire::ServiceWarmUp {
        name: warm_up.service.to_string(),
        warmup_ms: warm_up.warmup_ms,
        rate_per_1000_s: warm_up.rate_per_1000_s,
    }
}
