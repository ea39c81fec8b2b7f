//! Remembers which balancer last forwarded a caller's packet, since replies go back through it.

use std::net::SocketAddr;

/// One caller and the balancer on its path.
#[derive(Clone, Copy, Debug)]
struct Path {
    caller: SocketAddr,
    balancer: SocketAddr,
    used_at_ms: u64,
}

/// Paths of the callers heard lately, sorted by caller and limited in number.
#[derive(Clone, Debug)]
pub struct ReturnPaths {
    paths: Vec<Path>,
    limit: usize,
}

impl ReturnPaths {
    /// Makes an empty set of at most `limit` paths.
    ///
    /// ```
    /// use bamboowind::agent::return_paths::ReturnPaths;
    ///
    /// let caller = "10.9.0.1:5000".parse().unwrap();
    /// let balancer = "10.0.0.1:7000".parse().unwrap();
    /// let mut paths = ReturnPaths::new(8);
    /// paths.note(caller, balancer, 0);
    /// assert_eq!(paths.balancer(caller), Some(balancer));
    /// ```
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            paths: Vec::new(),
            limit: limit.max(1),
        }
    }

    /// Notes that `balancer` has forwarded a packet of `caller`.
    pub fn note(&mut self, caller: SocketAddr, balancer: SocketAddr, now_ms: u64) {
        let path = Path {
            caller,
            balancer,
            used_at_ms: now_ms,
        };
        match self.search(caller) {
            Ok(index) => self.paths[index] = path,
            Err(_) => self.insert(path),
        }
    }

    /// The balancer that last forwarded a packet of `caller`.
    #[must_use]
    pub fn balancer(&self, caller: SocketAddr) -> Option<SocketAddr> {
        let index = self.search(caller).ok()?;
        Some(self.paths[index].balancer)
    }

    /// Number of callers that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.paths.len()
    }

    /// Whether no caller is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.paths.is_empty()
    }

    fn search(&self, caller: SocketAddr) -> Result<usize, usize> {
        self.paths.binary_search_by_key(&caller, |path| path.caller)
    }

    fn insert(&mut self, path: Path) {
        if self.paths.len() >= self.limit {
            self.evict_older_half();
        }
        let index = self.search(path.caller).unwrap_or_else(|index| index);
        self.paths.insert(index, path);
    }

    /// Makes room for many at once, so that a flood of callers costs little for each.
    fn evict_older_half(&mut self) {
        let mut ages: Vec<u64> = self.paths.iter().map(|path| path.used_at_ms).collect();
        let middle = ages.len() / 2;
        let (_, &mut median, _) = ages.select_nth_unstable(middle);
        self.paths.retain(|path| path.used_at_ms > median);
    }
}
