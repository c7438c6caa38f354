//! The gossip network between the directors of a fleet. Each director has a relay, which can lose, duplicate
//! or delay the datagrams on the path from any other director.
//!
//! Each director has a separate loopback address and advertises the address of its relay, so that everything
//! that the others send to it passes the relay. The relay identifies the sender by the source address of a
//! datagram.

use crate::scenarios::replay::TestbedError;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpStream, UdpSocket};
use tokio::task::JoinSet;

/// Port on which a director receives datagrams from its relay.
const PEER_PORT: u16 = 7301;
/// Port on which a director's relay receives datagrams from the other directors.
const RELAY_PORT: u16 = 7302;
/// Port of a director's admin endpoint.
const ADMIN_PORT: u16 = 7303;
/// Maximum number of directors in a fleet.
pub const MAX_DIRECTORS: usize = 1_000;
/// Number of directors whose addresses share the third byte.
const DIRECTORS_PER_SUBNET: usize = 250;
/// Number of seed addresses in each director's configuration.
const SEEDS: usize = 3;
/// Time limit of a call to an admin endpoint.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Receive buffer of a relay. Directors send no larger datagrams.
const RELAY_BUFFER_BYTES: usize = 16 * 1024;

/// Conditions of the path from one director to another.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkConditions {
    /// Share of datagrams that are lost; 1 is a partition.
    pub loss: f64,
    /// Share of datagrams that are duplicated.
    pub duplication: f64,
    /// Maximum delay in milliseconds. Each copy's delay is drawn separately, so that datagrams are reordered.
    pub delay_ms: u64,
}

impl LinkConditions {
    /// Loses every datagram.
    pub const PARTITIONED: LinkConditions = LinkConditions { loss: 1.0, duplication: 0.0, delay_ms: 0 };
}

/// The conditions of the paths between all directors of a fleet.
pub struct Network {
    paths: RefCell<HashMap<(usize, usize), LinkConditions>>,
    default_conditions: Cell<LinkConditions>,
    random: RefCell<StdRng>,
    /// Datagrams and bytes that arrived at each director.
    arrived: RefCell<Vec<(u64, u64)>>,
}

impl Network {
    /// Sets the conditions of the path from one director to another.
    pub fn set(&self, from: usize, to: usize, conditions: LinkConditions) {
        self.paths.borrow_mut().insert((from, to), conditions);
    }

    /// Sets the conditions of all paths, and replaces those set for single paths.
    pub fn set_all(&self, conditions: LinkConditions) {
        self.paths.borrow_mut().clear();
        self.default_conditions.set(conditions);
    }

    /// Partitions two groups of directors from each other, in both directions.
    pub fn cut(&self, some: &[usize], others: &[usize]) {
        for (a, b) in some.iter().flat_map(|a| others.iter().map(move |b| (*a, *b))) {
            self.set(a, b, LinkConditions::PARTITIONED);
            self.set(b, a, LinkConditions::PARTITIONED);
        }
    }

    /// Returns the datagrams and bytes that arrived at a director so far.
    pub fn arrived(&self, at: usize) -> (u64, u64) {
        self.arrived.borrow()[at]
    }

    fn conditions(&self, from: usize, to: usize) -> LinkConditions {
        self.paths.borrow().get(&(from, to)).copied().unwrap_or(self.default_conditions.get())
    }
}

/// The relays of a fleet, and the addresses and settings of its directors.
pub struct Relays {
    number: u8,
    directors: usize,
    /// The conditions of the paths between the directors.
    pub net: Rc<Network>,
    _tasks: JoinSet<()>,
}

impl Relays {
    /// Opens a relay for each director, and writes the fleet's key into a folder. Needs a `LocalSet`.
    pub async fn open(directors: usize, seed: u64, folder: &Path) -> Result<Relays, TestbedError> {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        if directors > MAX_DIRECTORS {
            return Err(
                format!("a fleet of {directors} directors exceeds the maximum of {MAX_DIRECTORS}").into()
            );
        }
        let number = NEXT.fetch_add(1, Ordering::Relaxed) as u8;
        std::fs::write(folder.join("peers.key"), format!("{}\n", "c2VjcmV0".repeat(5)))?;
        let net = Rc::new(Network {
            paths: RefCell::default(),
            default_conditions: Cell::default(),
            random: RefCell::new(StdRng::seed_from_u64(seed)),
            arrived: RefCell::new(vec![(0, 0); directors]),
        });
        let mut tasks = JoinSet::new();
        for n in 0..directors {
            let socket = UdpSocket::bind((ip(number, n), RELAY_PORT)).await?;
            tasks.spawn_local(relay(Rc::new(socket), net.clone(), number, n));
        }
        Ok(Relays { number, directors, net, _tasks: tasks })
    }

    /// Returns the address at which other directors reach director `n`: that of its relay.
    pub fn relay_address(&self, n: usize) -> SocketAddr {
        (ip(self.number, n), RELAY_PORT).into()
    }

    /// Returns the address of a director's admin endpoint.
    pub fn admin_address(&self, n: usize) -> SocketAddr {
        (ip(self.number, n), ADMIN_PORT).into()
    }

    /// Returns the operator's configuration file of a director. `keys` are further keys of its section
    /// `peers`.
    pub fn operator(&self, n: usize, keys: &str) -> String {
        let seeds: Vec<String> =
            (0..self.directors.min(SEEDS)).map(|s| format!("\"{}\"", self.relay_address(s))).collect();
        format!(
            "peers: {{listen: \"{}:{PEER_PORT}\", advertise: \"{}\", name: director-{n}, fleet: lab, \
             key: peers.key, about: {}, seeds: [{}]{}{keys}}}\n",
            ip(self.number, n),
            self.relay_address(n),
            self.directors,
            seeds.join(", "),
            if keys.is_empty() { "" } else { ", " },
        )
    }
}

/// Returns the loopback address of a director. The addresses differ between the fleets of one process, and
/// between processes that run at the same time.
fn ip(fleet: u8, n: usize) -> Ipv4Addr {
    let process = 16 + (std::process::id() % 200) as u8;
    Ipv4Addr::new(
        127,
        process,
        fleet.wrapping_mul(4).wrapping_add((n / DIRECTORS_PER_SUBNET) as u8),
        (n % DIRECTORS_PER_SUBNET + 1) as u8,
    )
}

/// Returns the director that has a loopback address; the inverse of [`ip`].
fn director_at(fleet: u8, ip: Ipv4Addr) -> usize {
    let [_, _, third, last] = ip.octets();
    let subnet = third.wrapping_sub(fleet.wrapping_mul(4));
    usize::from(subnet) * DIRECTORS_PER_SUBNET + usize::from(last) - 1
}

/// Calls a director's admin endpoint and returns the response.
pub async fn call(admin: SocketAddr, line: &str) -> Result<String, TestbedError> {
    let exchange = async {
        let mut stream = TcpStream::connect(admin).await?;
        stream.write_all(format!("{line}\n").as_bytes()).await?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await?;
        Ok::<String, TestbedError>(answer)
    };
    tokio::time::timeout(CALL_TIMEOUT, exchange).await?
}

/// Forwards the datagrams sent to one director, under the conditions of the path from their sender.
async fn relay(socket: Rc<UdpSocket>, network: Rc<Network>, number: u8, to: usize) {
    let target = SocketAddr::from((ip(number, to), PEER_PORT));
    let mut bytes = vec![0; RELAY_BUFFER_BYTES];
    loop {
        let Ok((size, from)) = socket.recv_from(&mut bytes).await else { continue };
        let SocketAddr::V4(v4) = from else { continue };
        let conditions = network.conditions(director_at(number, *v4.ip()), to);
        let draw = |share: f64| share > 0.0 && network.random.borrow_mut().random::<f64>() < share;
        if draw(conditions.loss) {
            continue;
        }
        let copies = if draw(conditions.duplication) { 2 } else { 1 };
        for _ in 0..copies {
            if let Some(seen) = network.arrived.borrow_mut().get_mut(to) {
                *seen = (seen.0 + 1, seen.1 + size as u64);
            }
            if conditions.delay_ms == 0 {
                let _ = socket.try_send_to(&bytes[..size], target);
                continue;
            }
            let delay_ms = network.random.borrow_mut().random_range(0..=conditions.delay_ms);
            let (socket, copy) = (socket.clone(), bytes[..size].to_vec());
            tokio::task::spawn_local(async move {
                tokio::time::sleep(Duration::from_millis(delay_ms)).await;
                let _ = socket.try_send_to(&copy, target);
            });
        }
    }
}
