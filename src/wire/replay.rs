//! Replay detection with a sliding window of sequence numbers per sender.

const WINDOW_WORDS: usize = 16;
/// Length of the window, in sequence numbers.
const WINDOW_LEN: u64 = 64 * WINDOW_WORDS as u64;

/// Sequence numbers recently received from one sender.
#[derive(Clone, Debug)]
struct Window {
    sender: u64,
    /// Highest sequence number received.
    highest: u64,
    // Ring bitmap of the received sequence numbers in the window.
    received: [u64; WINDOW_WORDS],
    /// Value of `ReplayFilter::tick` at the last datagram.
    last_used_tick: u64,
}

impl Window {
    fn new(sender: u64, sequence: u64) -> Self {
        let mut window = Self {
            sender,
            highest: sequence,
            received: [0; WINDOW_WORDS],
            last_used_tick: 0,
        };
        window.mark(sequence);
        window
    }

    fn accept(&mut self, sequence: u64) -> bool {
        if self.highest.saturating_sub(sequence) >= WINDOW_LEN {
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

    /// Moves the window forward to end at `sequence`.
    fn advance(&mut self, sequence: u64) {
        if sequence - self.highest >= WINDOW_LEN {
            self.received = [0; WINDOW_WORDS];
        } else {
            for skipped in self.highest + 1..=sequence {
                self.clear(skipped);
            }
        }
        self.highest = sequence;
    }

    /// Returns the word and the bit mask of a sequence number in the bitmap.
    fn bit_position(sequence: u64) -> (usize, u64) {
        let bit = sequence % WINDOW_LEN;
        let word = usize::try_from(bit / 64).unwrap_or_default();
        (word, 1 << (bit % 64))
    }

    fn is_marked(&self, sequence: u64) -> bool {
        let (word, mask) = Self::bit_position(sequence);
        self.received[word] & mask != 0
    }

    fn mark(&mut self, sequence: u64) {
        let (word, mask) = Self::bit_position(sequence);
        self.received[word] |= mask;
    }

    fn clear(&mut self, sequence: u64) {
        let (word, mask) = Self::bit_position(sequence);
        self.received[word] &= !mask;
    }
}

/// Replay windows of the most recently active senders, sorted by sender ID.
#[derive(Clone, Debug)]
pub struct ReplayFilter {
    windows: Vec<Window>,
    max_senders: usize,
    /// Number of datagrams checked; orders the senders by activity.
    tick: u64,
}

impl ReplayFilter {
    /// Creates a filter that tracks at most `max_senders` senders; zero is raised to one.
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
    pub fn new(max_senders: usize) -> Self {
        Self {
            windows: Vec::new(),
            max_senders: max_senders.max(1),
            tick: 0,
        }
    }

    /// Records a sequence number and returns whether it is new. Call this for authentic datagrams
    /// only.
    ///
    /// A number that has fallen out of the window counts as received. When the filter is full, a
    /// new sender replaces the least recently active one.
    pub fn accept(&mut self, sender: u64, sequence: u64) -> bool {
        self.tick += 1;
        let Ok(index) = self.search(sender) else {
            self.insert(sender, sequence);
            return true;
        };
        let window = &mut self.windows[index];
        window.last_used_tick = self.tick;
        window.accept(sequence)
    }

    /// Number of tracked senders.
    #[must_use]
    pub fn sender_count(&self) -> usize {
        self.windows.len()
    }

    fn search(&self, sender: u64) -> Result<usize, usize> {
        self.windows
            .binary_search_by_key(&sender, |window| window.sender)
    }

    fn insert(&mut self, sender: u64, sequence: u64) {
        if self.windows.len() >= self.max_senders {
            let least_recent =
                (0..self.windows.len()).min_by_key(|&index| self.windows[index].last_used_tick);
            self.windows.remove(least_recent.unwrap_or_default());
        }
        let mut window = Window::new(sender, sequence);
        window.last_used_tick = self.tick;
        let index = self.search(sender).unwrap_or_else(|index| index);
        self.windows.insert(index, window);
    }
}
