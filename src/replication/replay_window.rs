//! Which messages of a sender are new. A message that comes a second time, from whoever, changes nothing.

use std::collections::{HashMap, VecDeque};

/// Numbers behind the highest that are still told apart: what comes later than that counts as old.
pub const WINDOW_MESSAGES: u64 = 1024;
/// Runs of one sender that ended and are remembered as such.
const PAST: usize = 8;

/// The numbers seen of one run of a sender.
#[derive(Debug, Default)]
struct Window {
    run: u64,
    highest: u64,
    /// One bit a number, by its remainder.
    seen: [u64; (WINDOW_MESSAGES / 64) as usize],
    past: VecDeque<u64>,
}

impl Window {
    fn bit(number: u64) -> (usize, u64) {
        let place = number % WINDOW_MESSAGES;
        ((place / 64) as usize, 1 << (place % 64))
    }

    fn take(&mut self, number: u64) -> bool {
        if number.saturating_add(WINDOW_MESSAGES) <= self.highest {
            return false;
        }
        if number > self.highest {
            // What lies between has not been seen; after a jump past the span nothing has.
            for skipped in (self.highest + 1..=number).rev().take(WINDOW_MESSAGES as usize) {
                let (word, bit) = Self::bit(skipped);
                self.seen[word] &= !bit;
            }
            self.highest = number;
        }
        let (word, bit) = Self::bit(number);
        let new = self.seen[word] & bit == 0;
        self.seen[word] |= bit;
        new
    }
}

/// The senders heard of lately, at most so many; the one heard of first is forgotten first.
#[derive(Debug)]
pub struct ReplayWindow<S> {
    most: usize,
    windows: HashMap<S, Window>,
    order: VecDeque<S>,
}

impl<S: Clone + Eq + std::hash::Hash> ReplayWindow<S> {
    /// With room for so many senders.
    pub fn new(most: usize) -> ReplayWindow<S> {
        ReplayWindow { most, windows: HashMap::new(), order: VecDeque::new() }
    }

    /// Whether this message is new: of the sender's present run, numbered from 1, and not seen before.
    /// Another run is taken for the present one, unless it is known to have ended.
    pub fn accept(&mut self, sender: &S, run: u64, number: u64) -> bool {
        if !self.windows.contains_key(sender) {
            if self.windows.len() >= self.most {
                self.order.pop_front().and_then(|old| self.windows.remove(&old));
            }
            self.order.push_back(sender.clone());
            self.windows.insert(sender.clone(), Window { run, ..Window::default() });
        }
        let Some(window) = self.windows.get_mut(sender) else { return false };
        if window.run != run {
            if window.past.contains(&run) {
                return false;
            }
            let mut past = std::mem::take(&mut window.past);
            past.push_back(window.run);
            if past.len() > PAST {
                past.pop_front();
            }
            *window = Window { run, past, ..Window::default() };
        }
        number > 0 && window.take(number)
    }

    /// How many senders have a window, and how many are queued to be forgotten: always the same number.
    pub fn remembered(&self) -> (usize, usize) {
        (self.windows.len(), self.order.len())
    }
}
