//! Detection of replayed messages: each message of a sender is accepted once.

use std::collections::{HashMap, VecDeque};

/// Message numbers below the highest that are told apart; lower ones are rejected.
pub const WINDOW_MESSAGES: u64 = 1024;
/// Ended incarnations that are remembered for each sender.
const MAX_ENDED_INCARNATIONS: usize = 8;

/// The message numbers received of one incarnation of a sender.
#[derive(Debug, Default)]
struct SenderWindow {
    incarnation: u64,
    highest: u64,
    /// One bit for each number, by its remainder.
    received: [u64; (WINDOW_MESSAGES / 64) as usize],
    ended_incarnations: VecDeque<u64>,
}

impl SenderWindow {
    fn of_incarnation(incarnation: u64) -> SenderWindow {
        SenderWindow { incarnation, ..SenderWindow::default() }
    }

    /// The index of a number's element, and its bit in it.
    fn bit(number: u64) -> (usize, u64) {
        let remainder = number % WINDOW_MESSAGES;
        ((remainder / 64) as usize, 1 << (remainder % 64))
    }

    fn accept(&mut self, number: u64) -> bool {
        if number.saturating_add(WINDOW_MESSAGES) <= self.highest {
            return false;
        }
        if number > self.highest {
            // The numbers between have not been received; after a jump beyond the window none has.
            for skipped in (self.highest + 1..=number).rev().take(WINDOW_MESSAGES as usize) {
                let (index, bit) = Self::bit(skipped);
                self.received[index] &= !bit;
            }
            self.highest = number;
        }
        let (index, bit) = Self::bit(number);
        let is_new = self.received[index] & bit == 0;
        self.received[index] |= bit;
        is_new
    }

    /// Begins a later incarnation of the sender.
    fn begin_incarnation(&mut self, incarnation: u64) {
        let mut ended_incarnations = std::mem::take(&mut self.ended_incarnations);
        ended_incarnations.push_back(self.incarnation);
        if ended_incarnations.len() > MAX_ENDED_INCARNATIONS {
            ended_incarnations.pop_front();
        }
        *self = SenderWindow { ended_incarnations, ..SenderWindow::of_incarnation(incarnation) };
    }
}

/// The windows of a bounded number of senders; the one that was added first is forgotten first.
#[derive(Debug)]
pub struct ReplayWindow<S> {
    max_senders: usize,
    windows: HashMap<S, SenderWindow>,
    /// The senders in the order in which they were added.
    order: VecDeque<S>,
}

impl<S: Clone + Eq + std::hash::Hash> ReplayWindow<S> {
    /// For at most this many senders.
    pub fn new(max_senders: usize) -> ReplayWindow<S> {
        ReplayWindow { max_senders, windows: HashMap::new(), order: VecDeque::new() }
    }

    /// Whether a message is new: of the sender's present incarnation, numbered from 1, and not yet received.
    /// Another incarnation becomes the present one, unless it is known to have ended.
    pub fn accept(&mut self, sender: &S, incarnation: u64, number: u64) -> bool {
        if !self.windows.contains_key(sender) {
            self.add(sender, incarnation);
        }
        let Some(window) = self.windows.get_mut(sender) else { return false };
        if window.incarnation != incarnation {
            if window.ended_incarnations.contains(&incarnation) {
                return false;
            }
            window.begin_incarnation(incarnation);
        }
        number > 0 && window.accept(number)
    }

    fn add(&mut self, sender: &S, incarnation: u64) {
        if self.windows.len() >= self.max_senders {
            self.order.pop_front().and_then(|oldest| self.windows.remove(&oldest));
        }
        self.order.push_back(sender.clone());
        self.windows.insert(sender.clone(), SenderWindow::of_incarnation(incarnation));
    }

    /// How many senders have a window, and how many are queued to be forgotten: always the same number.
    pub fn remembered(&self) -> (usize, usize) {
        (self.windows.len(), self.order.len())
    }
}
