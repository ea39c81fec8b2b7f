//! Detection of datagrams that were received before.

const WORDS: usize = 16;
const WINDOW: u64 = 64 * WORDS as u64;

/// The sequence numbers that one sender has used lately.
#[derive(Clone, Debug)]
struct Window {
    sender: u64,
    highest: u64,
    seen: [u64; WORDS],
    used_at: u64,
}

impl Window {
    fn new(sender: u64, sequence: u64) -> Self {
        let mut window = Self {
            sender,
            highest: sequence,
            seen: [0; WORDS],
            used_at: 0,
        };
        window.mark(sequence);
        window
    }

    fn accept(&mut self, sequence: u64) -> bool {
        if sequence + WINDOW <= self.highest {
            return false;
        }
        if sequence > self.highest {
            self.advance(sequence);
        } else if self.is_marked(sequence) {
            return false;
        }
        self.mark(sequence);
        true
    }

    fn advance(&mut self, sequence: u64) {
        if sequence - self.highest >= WINDOW {
            self.seen = [0; WORDS];
        } else {
            for skipped in self.highest + 1..=sequence {
                self.clear(skipped);
            }
        }
        self.highest = sequence;
    }

    fn position(sequence: u64) -> (usize, u64) {
        let bit = sequence % WINDOW;
        let word = usize::try_from(bit / 64).unwrap_or_default();
        (word, 1 << (bit % 64))
    }

    fn is_marked(&self, sequence: u64) -> bool {
        let (word, mask) = Self::position(sequence);
        self.seen[word] & mask != 0
    }

    fn mark(&mut self, sequence: u64) {
        let (word, mask) = Self::position(sequence);
        self.seen[word] |= mask;
    }

    fn clear(&mut self, sequence: u64) {
        let (word, mask) = Self::position(sequence);
        self.seen[word] &= !mask;
    }
}

/// Windows of the senders heard lately, sorted by sender and limited in number.
#[derive(Clone, Debug)]
pub struct ReplayFilter {
    windows: Vec<Window>,
    limit: usize,
    clock: u64,
}

impl ReplayFilter {
    /// Makes a filter that remembers at most `limit` senders.
    ///
    /// ```
    /// use bamboowind::wire::replay::ReplayFilter;
    ///
    /// let mut filter = ReplayFilter::new(8);
    /// assert!(filter.accept(1, 10));
    /// assert!(filter.accept(1, 9));
    /// assert!(!filter.accept(1, 10));
    /// ```
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            windows: Vec::new(),
            limit: limit.max(1),
            clock: 0,
        }
    }

    /// Returns whether `sequence` of `sender` is new; call it only for authentic datagrams.
    pub fn accept(&mut self, sender: u64, sequence: u64) -> bool {
        self.clock += 1;
        let Ok(index) = self.search(sender) else {
            self.insert(sender, sequence);
            return true;
        };
        let window = &mut self.windows[index];
        window.used_at = self.clock;
        window.accept(sequence)
    }

    /// Number of senders that are remembered.
    #[must_use]
    pub fn senders(&self) -> usize {
        self.windows.len()
    }

    fn search(&self, sender: u64) -> Result<usize, usize> {
        self.windows
            .binary_search_by_key(&sender, |window| window.sender)
    }

    fn insert(&mut self, sender: u64, sequence: u64) {
        if self.windows.len() >= self.limit {
            let oldest = (0..self.windows.len()).min_by_key(|&index| self.windows[index].used_at);
            self.windows.remove(oldest.unwrap_or_default());
        }
        let mut window = Window::new(sender, sequence);
        window.used_at = self.clock;
        let index = self.search(sender).unwrap_or_else(|index| index);
        self.windows.insert(index, window);
    }
}
