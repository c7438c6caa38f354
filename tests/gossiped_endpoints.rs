//! Two directors that gossip, one of which has a discovery service that is behind: what gossip has brought is
//! not undone by the older events of its own list.
#![cfg(all(feature = "cli", feature = "peers"))]

mod emulated;
mod program;

use emulated::{run_local, send_request_text, start_cache_parent_origin, EmulatedServer, ServerBehavior};
use program::{
    example_config, free_address, free_gossip_addresses, read_request, wait_for_endpoints, GossipFiles,
    Program,
};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

const COPY: ServerBehavior = ServerBehavior::Responds("ID ACK res=cached 5\r\nbytes\r\n");
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// Time after which a director has handled what its discovery service has sent.
const HANDLING_TIME: Duration = Duration::from_millis(100);
const REQUESTS: u64 = 20;

/// A director with a discovery service that the test speaks for.
struct Director {
    program: Program,
    admin: String,
    watch: BufReader<TcpStream>,
    _files: GossipFiles,
}

impl Director {
    /// Starts a director that gossips at `addresses[number]`, and accepts its watch.
    async fn start(number: usize, addresses: &[String; 2], servers: &[EmulatedServer; 3]) -> Director {
        let discovery = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let discovery_address = discovery.local_addr().expect("a bound address").to_string();
        let admin = free_address();
        let servers = servers.each_ref().map(|server| server.address.as_str());
        let config = example_config(1024, &discovery_address, &admin, servers);
        let seeds = format!(", seeds: [\"{}\"]", addresses[1 - number]);
        let files = GossipFiles::new(&addresses[number], &config, &seeds, "");
        let program = files.start();
        let mut watch = BufReader::new(discovery.accept().await.expect("a director").0);
        watch.read_line(&mut String::new()).await.expect("a request");
        Director { program, admin, watch, _files: files }
    }

    async fn send_event(&mut self, event: &str) {
        self.watch.write_all(event.as_bytes()).await.expect("a connected director");
    }

    /// Waits until the director lists this number of endpoints and excludes this number of them.
    async fn wait_for_endpoints(&mut self, known: usize, excluded: usize) {
        let heartbeats = async {
            loop {
                self.watch.write_all(b"1\n").await.expect("a connected director");
                sleep(HEARTBEAT_INTERVAL).await;
            }
        };
        tokio::select! {
            () = wait_for_endpoints(&self.admin, known, excluded) => {}
            () = heartbeats => {}
        }
    }

    /// Sends requests and returns how many of them the cache has received.
    async fn requests_at_cache(&self, cache: &EmulatedServer) -> usize {
        let before = cache.requests().len();
        for id in 0..REQUESTS {
            let response = send_request_text(&self.program.address, &read_request(id, 1_500)).await;
            assert_eq!(response.status, 200);
        }
        cache.requests().len() - before
    }
}

fn cache_event(revision: u64, phase: &str, started_at_ms: u64, cache: &EmulatedServer) -> String {
    format!(
        "{{\"rev\":{revision},\"pool\":{{\"members\":[{{\"id\":\"example-cache\",\"host_port\":\"{}\",\
         \"locality\":\"branch\",\"flavor\":\"cache\",\"phase\":\"{phase}\",\"size\":8,\
         \"up_since_ms\":{started_at_ms}}}]}}}}\n",
        cache.address
    )
}

/// Starts two directors that gossip.
async fn start_directors(servers: &[EmulatedServer; 3]) -> [Director; 2] {
    let addresses = free_gossip_addresses();
    let first = Director::start(0, &addresses, servers).await;
    [first, Director::start(1, &addresses, servers).await]
}

/// Guards against an older event of a director's own list that undoes a drain which gossip has brought.
#[test]
fn an_older_event_of_the_own_list_does_not_undo_a_gossiped_drain() {
    run_local(async {
        let (servers, _) = start_cache_parent_origin(COPY).await;
        let cache = &servers[0];
        let [mut current, mut behind] = start_directors(&servers).await;
        assert!(behind.requests_at_cache(cache).await > 0, "the cache is in service");
        current.send_event(&cache_event(2, "in_service", 0, cache)).await;
        current.send_event(&cache_event(3, "terminating", 0, cache)).await;
        behind.wait_for_endpoints(3, 1).await;
        behind.send_event(&cache_event(2, "in_service", 0, cache)).await;
        sleep(HANDLING_TIME).await;
        assert_eq!(behind.requests_at_cache(cache).await, 0, "the cache drains");
        // What ends the drain still does: another process, or the list itself once it is as far.
        behind.send_event(&cache_event(3, "terminating", 0, cache)).await;
        behind.send_event(&cache_event(4, "in_service", 0, cache)).await;
        behind.wait_for_endpoints(3, 0).await;
        assert!(behind.requests_at_cache(cache).await > 0, "the list ends the drain");
    });
}

/// Guards against the end of an endpoint that is ignored where only gossip has brought it.
#[test]
fn a_gossiped_end_takes_effect_before_the_own_list_tells_it() {
    run_local(async {
        let (servers, _) = start_cache_parent_origin(COPY).await;
        let cache = &servers[0];
        let [mut current, mut behind] = start_directors(&servers).await;
        current.send_event(&cache_event(2, "terminated", 0, cache)).await;
        behind.wait_for_endpoints(2, 0).await;
        assert_eq!(behind.requests_at_cache(cache).await, 0, "the cache has ended");
        behind.send_event(&cache_event(2, "terminated", 0, cache)).await;
        behind.send_event(&cache_event(3, "in_service", 1_764_576_000_000, cache)).await;
        behind.wait_for_endpoints(3, 0).await;
        assert!(behind.requests_at_cache(cache).await > 0, "another process runs there");
    });
}
