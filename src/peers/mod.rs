//! Talk among directors: an actor that holds the replicated state, speaks with the others by datagrams and
//! keeps the state on a disk where the operator names a folder. Off unless the operator's file has a section
//! `peers`.
//!
//! It runs beside the core: what it is told it takes from a mailbox that nobody waits at, what it has for the
//! core it hands over when there is room, and serving waits for none of it. One socket, no thread of its own
//! but the one that writes to the disk. What decides is in [`crate::replica`], without I/O.

pub mod door;
pub mod frame;
pub mod members;
pub mod store;

use crate::api::{MemberState, Micros};
use crate::core::{Clock, Message as ToCore, Reports};
use crate::operator::PeersSection;
use crate::replica::fresh::Fresh;
use crate::replica::state::{Bounds, Now, Refused, State};
use crate::replica::talk::{News, Say, Stage, Talk};
use crate::replica::word::{Key, Kind, Run, Word};
use crate::settings::micros;
use crate::sources::board::{News as BoardNews, Notice};
use foca::Timer;
use frame::{Body, Foreign, Message, Seal};
use members::{Due, Member, Members};
use miniserde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, HashSet, VecDeque};
use std::hash::{BuildHasher, Hasher, RandomState};
use std::net::SocketAddr;
use std::time::Duration;
use store::Store;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{interval, Instant, MissedTickBehavior};

/// The actor's pace: rumours wait for this at most, and gather.
pub const TICK: Duration = Duration::from_millis(20);
/// Seeds that are not among the members are told of this director every so often.
pub const SEEDS: Duration = Duration::from_secs(1);
/// While a director still hears of members that it had not known it asks some for theirs, this often.
pub const MEET: Duration = Duration::from_millis(250);
/// See [`MEET`].
pub const MEET_ASK: usize = 2;
/// Members that speak and are not known are greeted, one in so long.
pub const GREETING: Duration = Duration::from_millis(100);
/// Changes are written to the disk every so often, and the time at least.
const WRITE: Duration = Duration::from_millis(200);
const WRITE_TIME: Duration = Duration::from_secs(5);
/// An operator's word that the core could not take is told anew after this.
const AGAIN: Duration = Duration::from_millis(250);
/// Two under one name are told of when both have been there for this long: one that has just moved is not
/// two.
const TWINS: Duration = Duration::from_secs(10);
/// The last writes are waited for so long when the director ends.
const LEAVING: Duration = Duration::from_secs(1);
/// Orders that wait for the actor; who finds it full waits.
const MAILBOX: usize = 64;
/// Datagrams taken one after the other before anything else is looked at.
const IN_A_ROW: usize = 4;
/// Senders whose numbers are remembered.
pub const SENDERS: usize = 4096;

/// What the actor is told by this process.
#[derive(Debug)]
pub enum Order {
    /// An operator's word: this server drains, or no longer does. Replies whether that was news, or why it
    /// can't be held.
    Drain(String, bool, oneshot::Sender<Result<bool, Refused>>),
    /// An operator's purge, of now.
    Purge(Key, oneshot::Sender<Result<bool, Refused>>),
    /// Asks for what is known of the peers.
    Show(oneshot::Sender<String>),
    /// Asks for all entries of a kind, a line each.
    List(Kind, oneshot::Sender<Vec<String>>),
    /// Asks how far it has come, in a word.
    Stage(oneshot::Sender<&'static str>),
    /// Leaves the others and writes what is not yet written.
    Leave(oneshot::Sender<()>),
}

/// The handle.
#[derive(Clone, Debug)]
pub struct Peers(mpsc::Sender<Order>);

impl Peers {
    /// Asks the actor for something; none where it has ended.
    pub async fn ask<T>(&self, order: impl FnOnce(oneshot::Sender<T>) -> Order) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.0.send(order(reply)).await.ok()?;
        answer.await.ok()
    }
}

/// What an operator is shown: the answer to `peers` at the door, as JSON.
#[derive(Debug, Serialize, Deserialize)]
pub struct Shown {
    /// This director.
    pub name: String,
    /// Where others reach it.
    pub address: String,
    /// Grows with each start and each return from the dead.
    pub incarnation: u64,
    /// How far it has come.
    pub stage: String,
    /// Entries by kind.
    pub entries: BTreeMap<String, u64>,
    /// Bytes of entries, as their bound counts them.
    pub bytes: u64,
    /// The others that are there, by name.
    pub peers: Vec<ShownPeer>,
    /// Those that are dead or have left.
    pub gone: Vec<String>,
    /// Names that two or more have.
    pub twins: Vec<String>,
    /// What was counted since the start.
    pub counts: BTreeMap<String, u64>,
    /// What was turned down, by cause.
    pub turned_down: BTreeMap<String, u64>,
}

/// One of the others.
#[derive(Debug, Serialize, Deserialize)]
pub struct ShownPeer {
    /// Its name.
    pub name: String,
    /// Where it is reached.
    pub address: String,
    /// Milliseconds since it last said anything; none: never in this run.
    pub heard_ms: Option<u64>,
    /// Milliseconds since its digest was last the same as ours; none: never met.
    pub alike_ms: Option<u64>,
}

impl std::fmt::Display for Shown {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let entries: Vec<String> = self.entries.iter().map(|(kind, n)| format!("{n} {kind}")).collect();
        writeln!(f, "{} at {}, {}: {}", self.name, self.address, self.stage, entries.join(", "))?;
        let ms = |ms: Option<u64>| ms.map_or("-".to_owned(), |ms| ms.to_string());
        writeln!(f, "{:<24} {:<24} {:>10} {:>10}", "peer", "address", "heard, ms", "alike, ms")?;
        for peer in &self.peers {
            let (heard, alike) = (ms(peer.heard_ms), ms(peer.alike_ms));
            writeln!(f, "{:<24} {:<24} {heard:>10} {alike:>10}", peer.name, peer.address)?;
        }
        for (what, lines) in [("gone", &self.gone), ("one name", &self.twins)] {
            lines.iter().try_for_each(|line| writeln!(f, "{what}: {line}"))?;
        }
        let counted = |f: &mut std::fmt::Formatter<'_>, what: &str, counts: &BTreeMap<String, u64>| {
            let some: Vec<String> =
                counts.iter().filter(|(_, n)| **n > 0).map(|(name, n)| format!("{name} {n}")).collect();
            writeln!(f, "{what}: {}", if some.is_empty() { "none".into() } else { some.join(", ") })
        };
        counted(f, "counted", &self.counts)?;
        counted(f, "turned down", &self.turned_down)
    }
}

/// The actor before it runs.
pub struct Actor {
    me: PeersSection,
    talk: Talk<SocketAddr>,
    members: Members,
    seal: Seal,
    fresh: Fresh<SocketAddr>,
    socket: UdpSocket,
    core: Reports,
    clock: Clock,
    run: u64,
    number: u64,
    timers: BinaryHeap<Reverse<(Instant, u64)>>,
    timer_of: HashMap<u64, Timer<Member>>,
    timer_count: u64,
    heard: HashMap<SocketAddr, Micros>,
    /// Members as they are known, by which one that has started anew is seen.
    there: HashSet<Member>,
    next_greeting: Instant,
    foreign: BTreeMap<Foreign, u64>,
    /// News that the core had no room for yet.
    for_core: VecDeque<News>,
    /// Servers whose drain the core is to be told of, from when on.
    drains_due: BTreeMap<String, Instant>,
    /// Those that the core was told of and has not replied to.
    drains_asked: Vec<(String, oneshot::Receiver<bool>)>,
    /// Drains that the core is in.
    drains_in_core: BTreeSet<String>,
    store: Option<Store>,
    /// Keys to be written.
    dirty: BTreeSet<Key>,
    next_write: Instant,
    written_at: Instant,
    next_seeds: Instant,
    next_meet: Instant,
    /// Members known at the last look.
    met: usize,
    stage: Stage,
    /// When this director stops being careful, while it is.
    careful_until: Option<Instant>,
    twins: BTreeMap<String, (Vec<SocketAddr>, Instant, bool)>,
    sent_bytes: u64,
    sent: u64,
    received_bytes: u64,
    unsent: u64,
    orders: mpsc::Receiver<Order>,
    notices: mpsc::Receiver<Notice>,
}

fn drawn() -> u64 {
    RandomState::new().build_hasher().finish()
}

/// Opens the socket and the folder. `known`: the board's events that the configuration holds; `notices`: its
/// further ones. An error is one line that names the key at fault.
pub async fn open(
    me: PeersSection,
    core: Reports,
    clock: Clock,
    known: &[Notice],
    notices: mpsc::Receiver<Notice>,
) -> Result<(Peers, Actor), String> {
    let text =
        std::fs::read_to_string(&me.key).map_err(|e| format!("peers.key: {}: {e}", me.key.display()))?;
    let keys = frame::parse_keys(&text).map_err(|e| format!("peers.key: {}: {e}", me.key.display()))?;
    let seal = Seal::new(&me.fleet, &keys).ok_or("peers.key: no usable key")?;
    let socket = UdpSocket::bind(me.listen).await.map_err(|e| format!("peers.listen: {}: {e}", me.listen))?;
    let (now, run) = (Now { steady: clock.now(), unix: clock.unix() }, drawn());
    let mut state = State::new(Run(run), bounds(&me));
    let mut incarnation = now.unix;
    let mut store = None;
    if let Some(folder) = &me.folder {
        let (opened, found) = store::begin(folder, now.unix)?;
        incarnation = found.incarnation;
        if let Some(put_aside) = &found.put_aside {
            tracing::warn!(
                "peers: the state on the disk is broken: {put_aside}; it is fetched from the others"
            );
        }
        let entries = found.entries.len();
        let taken = found.entries.iter().filter(|(key, word)| state.merge(key, word, now).is_ok()).count();
        // A clock that stepped makes the age unsure, which is as good as old.
        let age = now.unix.checked_sub(found.saved);
        if found.saved > 0 && age.is_none_or(|age| age > bounds(&me).horizon) {
            let forgotten = state.away();
            tracing::info!(
                "peers: the state on the disk is older than the horizon: {forgotten} listings forgotten"
            );
        }
        tracing::info!("peers: {taken} of {entries} entries taken from the disk");
        store = Some(opened);
    }
    for notice in known {
        hear(&mut state, notice, now);
    }
    let myself = Member::new(&me.name, me.advertise, incarnation);
    let members = Members::new(myself, me.about, run);
    let (orders, order_box) = mpsc::channel(MAILBOX);
    let at = Instant::now();
    let mut actor = Actor {
        talk: Talk::new(state, run, now),
        members,
        seal,
        fresh: Fresh::new(SENDERS),
        socket,
        core,
        clock,
        run,
        number: 0,
        timers: BinaryHeap::new(),
        timer_of: HashMap::new(),
        timer_count: 0,
        heard: HashMap::new(),
        there: HashSet::new(),
        next_greeting: at,
        foreign: BTreeMap::new(),
        for_core: VecDeque::new(),
        drains_due: BTreeMap::new(),
        drains_asked: Vec::new(),
        drains_in_core: BTreeSet::new(),
        store,
        dirty: BTreeSet::new(),
        next_write: at,
        written_at: at,
        next_seeds: at,
        next_meet: at,
        met: 0,
        stage: Stage::CatchingUp,
        careful_until: me.careful.map(|most| at + most),
        twins: BTreeMap::new(),
        sent_bytes: 0,
        sent: 0,
        received_bytes: 0,
        unsent: 0,
        orders: order_box,
        notices,
        me,
    };
    // What the disk held is acted on like what others tell.
    let held = Kind::ALL.into_iter().flat_map(|kind| actor.talk.state.of(kind));
    let held: Vec<News> = held.map(|(key, word)| News { key: key.clone(), word: word.clone() }).collect();
    held.into_iter().for_each(|news| actor.act(news));
    Ok((Peers(orders), actor))
}

fn bounds(me: &PeersSection) -> Bounds {
    Bounds {
        entries: me.entries,
        bytes: me.entries.saturating_mul(512),
        purges_kept: me.purges_kept.as_micros() as Micros,
        horizon: me.horizon.as_micros() as Micros,
    }
}

/// An event of the board, into the state: what changed by it.
fn hear(state: &mut State, notice: &Notice, now: Now) -> Vec<(Key, Word)> {
    match &notice.news {
        BoardNews::Members { full, members } => state.listed(notice.rev, *full, members, now),
        BoardNews::Purge { object, group, ms } => {
            let key = object.clone().map_or(Key::Group(*group), Key::Object);
            state.purge(key, micros(*ms), now).ok().flatten().into_iter().collect()
        }
        BoardNews::Other => Vec::new(),
    }
}

impl Actor {
    fn now(&self) -> Now {
        Now { steady: self.clock.now(), unix: self.clock.unix() }
    }

    /// Runs for as long as anyone holds its handle, or until it is told to leave.
    pub async fn run(mut self) {
        if let Some(most) = self.me.careful {
            let since = self.clock.unix();
            self.core.send(ToCore::NotBefore(Some(since))).await;
            tracing::info!("peers: careful until caught up, for {} ms at most", most.as_millis());
        }
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut buffer = vec![0; frame::LARGEST + 1];
        loop {
            let timer = self.timers.peek().map(|Reverse((at, _))| *at);
            tokio::select! {
                received = self.socket.recv_from(&mut buffer) => {
                    if let Ok((size, _)) = received {
                        self.datagram(&buffer[..size]);
                    }
                    // Some that have come meanwhile: a selection for each would cost more than they do.
                    for _ in 0..IN_A_ROW {
                        let Ok((size, _)) = self.socket.try_recv_from(&mut buffer) else { break };
                        self.datagram(&buffer[..size]);
                    }
                    // Requests go first: thousands of entries may be on the way here.
                    tokio::task::yield_now().await;
                }
                order = self.orders.recv() => match order {
                    Some(Order::Leave(done)) => return self.leave(done).await,
                    Some(order) => self.order(order),
                    None => return,
                },
                Some(notice) = self.notices.recv() => self.notice(&notice),
                () = tokio::time::sleep_until(timer.unwrap_or_else(Instant::now)), if timer.is_some() => {
                    self.ring();
                }
                _ = ticks.tick() => self.tick().await,
            }
        }
    }

    // ---- by itself ----

    async fn tick(&mut self) {
        let (now, at) = (self.now(), Instant::now());
        let mut out = Vec::new();
        self.talk.tick(now, &mut out);
        self.say(out);
        if at >= self.next_seeds {
            self.next_seeds = at + SEEDS.mul_f64(0.5 + crate::estimate::hash::unit(drawn()));
            let there: BTreeSet<SocketAddr> = self.members.others().iter().map(|m| m.address).collect();
            let missing: Vec<SocketAddr> = self
                .me
                .seeds
                .iter()
                .filter(|s| **s != self.me.advertise && !there.contains(s))
                .copied()
                .collect();
            for seed in missing {
                let due = self.members.announce(seed);
                self.due(due);
            }
            self.look_for_twins(at);
        }
        if at >= self.next_meet {
            self.next_meet = at + MEET;
            let others = self.talk.peers().to_vec();
            if others.len() > std::mem::replace(&mut self.met, others.len()) {
                for _ in 0..MEET_ASK {
                    let one = others[(drawn() % others.len() as u64) as usize];
                    let due = self.members.announce(one);
                    self.due(due);
                }
            }
        }
        self.stages(at).await;
        self.feed_core(at);
        if self.store.is_some() && at >= self.next_write {
            self.write(at);
        }
    }

    async fn stages(&mut self, at: Instant) {
        let stage = self.talk.stage();
        if stage != std::mem::replace(&mut self.stage, stage) {
            let entries = self.talk.state.len();
            match stage {
                Stage::CatchingUp => tracing::info!("peers: away past the horizon; catching up"),
                Stage::CaughtUp => tracing::info!("peers: caught up, {entries} entries"),
                Stage::Alone => {
                    tracing::info!("peers: nobody has more to catch up with; going on with {entries} entries")
                }
            }
        }
        let over = self.careful_until.is_some_and(|until| until <= at || self.stage != Stage::CatchingUp);
        if over && self.for_core.is_empty() {
            // What was caught up with is in the core's mailbox before this.
            self.careful_until = None;
            self.core.send(ToCore::NotBefore(None)).await;
            tracing::info!("peers: careful no longer");
        }
    }

    fn look_for_twins(&mut self, at: Instant) {
        let twins = self.members.twins();
        self.twins.retain(|name, (addresses, ..)| twins.get(name) == Some(addresses));
        for (name, addresses) in twins {
            let (_, since, told) = self.twins.entry(name.clone()).or_insert((addresses.clone(), at, false));
            if !*told && at - *since >= TWINS {
                *told = true;
                tracing::warn!("peers: {} directors are called {name}: {addresses:?}", addresses.len());
            }
        }
    }

    /// Hands over what the core had no room for, and drains that it has not taken yet.
    fn feed_core(&mut self, at: Instant) {
        let keep = self.me.purges_kept.as_micros() as Micros;
        while let Some(news) = self.for_core.front() {
            let message = match (&news.key, &news.word) {
                (Key::Object(name), Word::Purged(when)) => {
                    ToCore::Purged { object: Some(name.as_str().into()), group: 0, at: *when, keep }
                }
                (Key::Group(group), Word::Purged(when)) => {
                    ToCore::Purged { object: None, group: *group, at: *when, keep }
                }
                (Key::Listed(name), Word::Listed(_, place)) => {
                    ToCore::Members { full: false, members: vec![place.listing(name)] }
                }
                _ => {
                    self.for_core.pop_front();
                    continue;
                }
            };
            if !self.core.try_send(message) {
                return;
            }
            self.for_core.pop_front();
        }
        let mut asked = std::mem::take(&mut self.drains_asked);
        asked.retain_mut(|(name, answer)| match answer.try_recv() {
            Ok(true) => false,
            Err(oneshot::error::TryRecvError::Empty) => true,
            // Not listed there, or not now: its list may come later.
            Ok(false) | Err(oneshot::error::TryRecvError::Closed) => {
                self.drains_in_core.remove(&*name);
                self.drains_due.insert(std::mem::take(name), at + AGAIN);
                false
            }
        });
        self.drains_asked = asked;
        let due: Vec<String> = self.drains_due.iter().filter(|d| *d.1 <= at).map(|d| d.0.clone()).collect();
        for name in due {
            self.drains_due.remove(&name);
            let Some(on) = self.drain_wanted(&name) else { continue };
            if !on && !self.drains_in_core.contains(&name) {
                continue;
            }
            let (reply, answer) = oneshot::channel();
            if !self.core.try_send(ToCore::Drain(name.as_str().into(), on, reply)) {
                self.drains_due.insert(name, at);
                return;
            }
            if on {
                self.drains_in_core.insert(name.clone());
                self.drains_asked.push((name, answer));
                continue;
            }
            self.drains_in_core.remove(&name);
            // The core does not keep what the source said meanwhile.
            let key = Key::Listed(name);
            if let Some(word) = self.talk.state.get(&key).cloned() {
                self.for_core.push_back(News { key, word });
            }
        }
    }

    /// Whether the process that is listed there is to drain by its operators' words; none: they are about
    /// another.
    fn drain_wanted(&self, name: &str) -> Option<bool> {
        let Some(Word::Drain(words)) = self.talk.state.get(&Key::Drain(name.into())) else { return None };
        match self.talk.state.get(&Key::Listed(name.into())) {
            Some(Word::Listed(_, place)) if place.state == 2 => None,
            Some(Word::Listed(_, place)) if place.since > words.since => Some(false),
            // Not on the list: told once it is. Without a list here the core's own source has it.
            None if self.talk.state.count(Kind::Members) > 0 => None,
            _ => Some(words.drains()),
        }
    }

    /// Something is held that was not: the core hears of it, and the disk.
    fn act(&mut self, news: News) {
        if self.store.is_some() {
            self.dirty.insert(news.key.clone());
        }
        let at = Instant::now();
        match (&news.key, &news.word) {
            (Key::Drain(name), Word::Drain(words)) => {
                let verb = if words.drains() { "drains" } else { "no longer drains" };
                tracing::info!("peers: {name} {verb} by its operators' word");
                self.drains_due.insert(name.clone(), at);
            }
            (Key::Listed(name), Word::Listed(..)) => {
                // The core forgets a drain with the process; another list may bring that back.
                if self.drain_wanted(name) == Some(true) {
                    self.drains_due.insert(name.clone(), at);
                }
                self.for_core.push_back(news);
            }
            _ => self.for_core.push_back(news),
        }
    }

    // ---- the disk ----

    fn write(&mut self, at: Instant) {
        let Some(store) = &self.store else { return };
        self.next_write = at + WRITE;
        let whole = store.told.lacking.load(std::sync::atomic::Ordering::Relaxed);
        if self.dirty.is_empty() && !whole && at - self.written_at < WRITE_TIME {
            return;
        }
        let unix = self.clock.unix();
        let keys = std::mem::take(&mut self.dirty);
        let batch = if whole {
            let all = Kind::ALL.into_iter().flat_map(|kind| self.talk.state.of(kind));
            all.map(|(key, word)| (key.clone(), Some(word.clone()))).collect()
        } else {
            keys.into_iter().map(|key| (key.clone(), self.talk.state.get(&key).cloned())).collect()
        };
        match store.write(batch, unix, whole) {
            Ok(()) => self.written_at = at,
            Err(keys) => self.dirty.extend(keys),
        }
    }

    async fn leave(mut self, done: oneshot::Sender<()>) {
        let due = self.members.leave();
        self.due(due);
        self.write(Instant::now());
        if let Some(store) = self.store.take() {
            store.finish(LEAVING).await;
        }
        let _ = done.send(()); // who asked may have gone
    }

    // ---- the others ----

    fn send(&mut self, to: SocketAddr, body: Body) {
        self.number += 1;
        let message = Message { from: self.members.me().clone(), run: self.run, number: self.number, body };
        let Some(datagram) = self.seal.seal(&message) else {
            self.unsent += 1;
            return;
        };
        // A full buffer loses it, as the way there may: all that is said is said in a way that bears it.
        match self.socket.try_send_to(&datagram, to) {
            Ok(_) => {
                self.sent += 1;
                self.sent_bytes += datagram.len() as u64;
            }
            Err(_) => self.unsent += 1,
        }
    }

    fn say(&mut self, out: Vec<(SocketAddr, Say)>) {
        for (to, say) in out {
            self.send(to, Body::Say(say));
        }
        let news = self.talk.news();
        if !news.is_empty() {
            news.into_iter().for_each(|news| self.act(news));
            self.feed_core(Instant::now());
        }
    }

    fn due(&mut self, due: Due) {
        for (to, bytes) in due.send {
            self.send(to, Body::Swim(bytes));
        }
        for (after, timer) in due.timers {
            self.timer_count += 1;
            self.timers.push(Reverse((Instant::now() + after, self.timer_count)));
            self.timer_of.insert(self.timer_count, timer);
        }
        if !due.changes.is_empty() {
            for change in due.changes {
                tracing::info!("peers: {change}");
            }
            self.there = self.members.others().into_iter().collect();
            let others: Vec<SocketAddr> = self.there.iter().map(|m| m.address).collect();
            let dead: BTreeSet<SocketAddr> = self.members.dead().into_iter().map(|m| m.address).collect();
            self.heard.retain(|address, _| others.contains(address) || dead.contains(address));
            self.talk.members(others);
        }
    }

    fn ring(&mut self) {
        let now = Instant::now();
        while let Some(Reverse((at, number))) = self.timers.peek().copied() {
            if at > now {
                return;
            }
            self.timers.pop();
            if let Some(timer) = self.timer_of.remove(&number) {
                let due = self.members.rang(timer);
                self.due(due);
            }
        }
    }

    fn datagram(&mut self, bytes: &[u8]) {
        self.received_bytes += bytes.len() as u64;
        let message = match self.seal.open(bytes) {
            Ok(message) => message,
            Err(cause) => {
                *self.foreign.entry(cause).or_default() += 1;
                return;
            }
        };
        let from = message.from.address;
        if from == self.me.advertise || !self.fresh.take(&from, message.run, message.number) {
            *self.foreign.entry(Foreign::Replayed).or_default() += 1;
            return;
        }
        let now = self.now();
        self.heard.insert(from, now.steady);
        // Who speaks and is not known like that has started anew, or this director has: they meet at once,
        // not when the one has taken the other for dead.
        let at = Instant::now();
        if at >= self.next_greeting && !self.there.contains(&message.from) {
            self.next_greeting = at + GREETING;
            let due = self.members.announce(from);
            self.due(due);
        }
        match message.body {
            Body::Swim(bytes) => {
                let due = self.members.heard(&bytes);
                self.due(due);
            }
            Body::Say(say) => {
                let before = self.talk.counts().clone();
                let mut out = Vec::new();
                self.talk.heard(&from, say, now, &mut out);
                let after = self.talk.counts();
                if after.differing > before.differing {
                    tracing::warn!("peers: {} sent another copy of the same version", message.from.name);
                }
                if after.refused != before.refused {
                    tracing::debug!(
                        "peers: entries of {} turned down: {:?}",
                        message.from.name,
                        after.refused
                    );
                }
                self.say(out);
            }
        }
    }

    // ---- this process ----

    fn notice(&mut self, notice: &Notice) {
        let now = self.now();
        for (key, word) in hear(&mut self.talk.state, notice, now) {
            // The core has it from the board itself, but for how long a purge is kept here; a drain in force
            // may have to be told anew.
            if key.kind() == Kind::Purges {
                self.for_core.push_back(News { key: key.clone(), word: word.clone() });
            }
            if self.store.is_some() {
                self.dirty.insert(key.clone());
            }
            if let Key::Listed(name) = &key {
                if self.drain_wanted(name) == Some(true) {
                    self.drains_due.insert(name.clone(), Instant::now());
                }
            }
            self.talk.told(Some((key, word)));
        }
    }

    fn order(&mut self, order: Order) {
        let now = self.now();
        match order {
            Order::Drain(name, on, reply) => {
                let change = self.talk.state.drain(&name, on, now);
                // Who asked may have gone, here and below.
                let _ = reply.send(change.as_ref().map(Option::is_some).map_err(|cause| *cause));
                self.told(change.ok().flatten());
            }
            Order::Purge(key, reply) => {
                let change = self.talk.state.purge(key, now.unix, now);
                let _ = reply.send(change.as_ref().map(Option::is_some).map_err(|cause| *cause));
                self.told(change.ok().flatten());
            }
            Order::Show(reply) => drop(reply.send(self.show(now))),
            Order::List(kind, reply) => drop(reply.send(self.list(kind))),
            Order::Stage(reply) => drop(reply.send(stage_name(self.talk.stage()))),
            Order::Leave(_) => {}
        }
    }

    fn told(&mut self, change: Option<(Key, Word)>) {
        if let Some((key, word)) = &change {
            self.act(News { key: key.clone(), word: word.clone() });
        }
        self.talk.told(change);
        // At once: a tick is a long time for who waits for a drain.
        let mut out = Vec::new();
        self.talk.tick(self.now(), &mut out);
        self.say(out);
        self.feed_core(Instant::now());
    }

    fn list(&self, kind: Kind) -> Vec<String> {
        let line = |(key, word): (&Key, &Word)| match word {
            Word::Purged(at) => format!("{key} purged at {}.{:06}", at / 1_000_000, at % 1_000_000),
            Word::Drain(words) => {
                let verb = if words.drains() { "drains" } else { "does not drain" };
                format!(
                    "{key} {verb}, process of {}, {} words",
                    words.since,
                    words.told.len() + words.undone.len()
                )
            }
            Word::Listed(rev, place) => match place.listing("").state {
                MemberState::Running => format!("{key} in service at {}, event {rev}", place.address),
                MemberState::Draining => format!("{key} terminating at {}, event {rev}", place.address),
                MemberState::Gone => format!("{key} terminated, event {rev}"),
            },
        };
        self.talk.state.of(kind).into_iter().map(line).collect()
    }

    fn show(&self, now: Now) -> String {
        let ms = |at: Micros| now.steady.saturating_sub(at) / 1_000;
        let peer = |m: Member| ShownPeer {
            heard_ms: self.heard.get(&m.address).map(|at| ms(*at)),
            alike_ms: self.talk.alike(&m.address).map(ms),
            name: m.name,
            address: m.address.to_string(),
        };
        let mut peers: Vec<ShownPeer> = self.members.others().into_iter().map(peer).collect();
        peers.sort_by(|a, b| a.name.cmp(&b.name));
        let state = &self.talk.state;
        let counts = self.talk.counts();
        let (written, failed) = self.store.as_ref().map_or((0, 0), |store| {
            let read = |n: &std::sync::atomic::AtomicU64| n.load(std::sync::atomic::Ordering::Relaxed);
            (read(&store.told.written), read(&store.told.failed))
        });
        let numbers = [
            ("taken", counts.taken),
            ("known", counts.known),
            ("differing", counts.differing),
            ("rumours_dropped", counts.rumours_dropped),
            ("unlike", counts.unlike),
            ("sources_turned", counts.turned),
            ("sent", self.sent),
            ("sent_bytes", self.sent_bytes),
            ("received_bytes", self.received_bytes),
            ("unsent", self.unsent),
            ("disk_written", written),
            ("disk_failed", failed),
        ];
        let foreign = self.foreign.iter().map(|(cause, n)| (cause.name().to_owned(), *n));
        let refused = counts.refused.iter().map(|(cause, n)| (format!("entry_{cause:?}").to_lowercase(), *n));
        let others = [("members".to_owned(), self.members.turned_down)];
        let me = self.members.me();
        miniserde::json::to_string(&Shown {
            name: me.name.clone(),
            address: me.address.to_string(),
            incarnation: me.incarnation,
            stage: stage_name(self.talk.stage()).into(),
            entries: Kind::ALL.iter().map(|k| (k.name().to_owned(), state.count(*k) as u64)).collect(),
            bytes: state.bytes() as u64,
            peers,
            gone: self.members.dead().into_iter().map(|m| format!("{} at {}", m.name, m.address)).collect(),
            twins: self.twins.iter().map(|(name, (at, ..))| format!("{name} at {at:?}")).collect(),
            counts: numbers.into_iter().map(|(name, n)| (name.to_owned(), n)).collect(),
            turned_down: foreign.chain(refused).chain(others).collect(),
        })
    }
}

fn stage_name(stage: Stage) -> &'static str {
    match stage {
        Stage::CatchingUp => "catching up",
        Stage::CaughtUp => "caught up",
        Stage::Alone => "on its own",
    }
}
