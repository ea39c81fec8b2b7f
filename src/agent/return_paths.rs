//! The balancer that last forwarded a packet of each caller. Replies are sent through it.

use std::net::SocketAddr;

/// A caller and the balancer that last forwarded one of its packets.
#[derive(Clone, Copy, Debug)]
struct ReturnPath {
    caller: SocketAddr,
    balancer: SocketAddr,
    last_forwarded_at_ms: u64,
}

/// Return paths of the most recent callers, limited in number.
#[derive(Clone, Debug)]
pub struct ReturnPaths {
    /// Sorted by caller.
    paths: Vec<ReturnPath>,
    /// Maximum number of paths.
    limit: usize,
}

impl ReturnPaths {
    /// Creates an empty set of at most `limit` paths.
    ///
    /// ```
    /// use bamboowind::agent::return_paths::ReturnPaths;
    ///
    /// let caller = "10.9.0.1:5000".parse().unwrap();
    /// let balancer = "10.0.0.1:7000".parse().unwrap();
    /// let mut paths = ReturnPaths::new(8);
    /// paths.record(caller, balancer, 0);
    /// assert_eq!(paths.balancer(caller), Some(balancer));
    /// ```
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            paths: Vec::new(),
            limit: limit.max(1),
        }
    }

    /// Records that `balancer` has forwarded a packet of `caller`.
    pub fn record(&mut self, caller: SocketAddr, balancer: SocketAddr, now_ms: u64) {
        let path = ReturnPath {
            caller,
            balancer,
            last_forwarded_at_ms: now_ms,
        };
        match self.search(caller) {
            Ok(index) => self.paths[index] = path,
            Err(_) => self.insert(path),
        }
    }

    /// The balancer that last forwarded a packet of `caller`; `None` if the caller is unknown.
    #[must_use]
    pub fn balancer(&self, caller: SocketAddr) -> Option<SocketAddr> {
        let index = self.search(caller).ok()?;
        Some(self.paths[index].balancer)
    }

    /// Number of known callers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.paths.len()
    }

    /// Whether no caller is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.paths.is_empty()
    }

    fn search(&self, caller: SocketAddr) -> Result<usize, usize> {
        self.paths.binary_search_by_key(&caller, |path| path.caller)
    }

    fn insert(&mut self, path: ReturnPath) {
        if self.paths.len() >= self.limit {
            self.evict_older_half();
        }
        let index = self.search(path.caller).unwrap_or_else(|index| index);
        self.paths.insert(index, path);
    }

    /// Removes the less recently used half. Removing many paths at once keeps the amortised cost
    /// low under a flood of new callers.
    fn evict_older_half(&mut self) {
        let mut ages: Vec<u64> = self
            .paths
            .iter()
            .map(|path| path.last_forwarded_at_ms)
            .collect();
        let middle = ages.len() / 2;
        let (_, &mut median, _) = ages.select_nth_unstable(middle);
        self.paths.retain(|path| path.last_forwarded_at_ms > median);
    }
}
