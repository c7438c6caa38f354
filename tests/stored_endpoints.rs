//! The endpoint list in the state on disk, after a restart with another list.
#![cfg(all(feature = "cli", feature = "peers"))]

mod emulated;
mod program;

use emulated::{run_local, send_request_text, start_cache_parent_origin, EmulatedServer, ServerBehavior};
use foxhold::cluster::store;
use foxhold::replication::entry::{Key, Value};
use program::{example_config, free_gossip_addresses, read_request, GossipFiles, Program};
use std::path::PathBuf;
use std::time::Duration;
use tokio::time::sleep;

const COPY: ServerBehavior = ServerBehavior::Responds("ID ACK res=cached 5\r\nbytes\r\n");
/// Time in which a change is certainly on disk.
const WRITE_TIME: Duration = Duration::from_millis(600);
const REQUESTS: u64 = 10;
/// The end of the events at the start in the example configuration.
const END_OF_EVENTS: &str = "]}}]},";

/// A director that gossips, alone, and stores its state on disk.
struct StoredDirector {
    servers: [EmulatedServer; 3],
    files: GossipFiles,
    folder: PathBuf,
}

impl Drop for StoredDirector {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl StoredDirector {
    async fn new() -> StoredDirector {
        let (servers, _) = start_cache_parent_origin(COPY).await;
        let [address] = free_gossip_addresses();
        let folder = std::env::temp_dir().join(format!("foxhold-state-{}", address.replace(':', "-")));
        std::fs::create_dir_all(&folder).expect("a writable temporary folder");
        let peers = format!(", folder: {}", folder.display());
        StoredDirector { servers, files: GossipFiles::new(&address, "", &peers, ""), folder }
    }

    fn cache(&self) -> &EmulatedServer {
        &self.servers[0]
    }

    /// Starts a director whose configuration lists the cache in this state by its first event, and repeats
    /// that in `repeats` later events.
    fn start(&self, phase: &str, started_at_ms: u64, repeats: u64) -> Program {
        let text = example_config(1024, "", "", self.servers.each_ref().map(|s| s.address.as_str()));
        let in_service = "\"phase\": \"in_service\", \"size\": 8";
        let member = format!("\"phase\": \"{phase}\", \"up_since_ms\": {started_at_ms}, \"size\": 8");
        let listed = text.replace(in_service, &member);
        let place = "\"locality\": \"branch\", \"flavor\": \"cache\"";
        let event = |revision: u64| {
            let address = &self.cache().address;
            format!(
                ",{{\"rev\": {revision}, \"pool\": {{\"members\": [{{\"id\": \"example-cache\", \
                 \"host_port\": \"{address}\", {place}, {member}}}]}}}}"
            )
        };
        let events: String = (2..2 + repeats).map(event).collect();
        let known = listed.replacen(END_OF_EVENTS, &format!("]}}}}{events}]}},"), 1);
        let last = format!("\"known\": {{\"rev\": {}", 1 + repeats);
        self.start_with(&known.replace("\"known\": {\"rev\": 1", &last))
    }

    /// Starts a director with this configuration.
    fn start_with(&self, config: &str) -> Program {
        self.files.config.replace(config);
        self.files.start()
    }

    /// Returns the names of the endpoints on disk. No director may be running.
    fn stored_endpoints(&self) -> Vec<String> {
        let (_store, stored) = store::open(&self.folder, 0).expect("a readable state");
        let name = |(key, _): &(Key, Value)| match key {
            Key::Endpoint(name) => Some(name.clone()),
            _ => None,
        };
        stored.entries.iter().filter_map(name).collect()
    }

    /// Sends requests and returns how many of them the cache has received.
    async fn requests_at_cache(&self, program: &Program) -> usize {
        let before = self.cache().requests().len();
        for id in 0..REQUESTS {
            assert_eq!(send_request_text(&program.address, &read_request(id, 1_500)).await.status, 200);
        }
        self.cache().requests().len() - before
    }
}

/// Guards against a drain that the list at a start reports and the state on disk undoes: the stored entry has
/// a higher revision, but of the numbering of the earlier process.
#[test]
fn a_drain_that_the_start_reports_is_not_undone_by_the_state_on_disk() {
    run_local(async {
        let director = StoredDirector::new().await;
        let first = director.start("in_service", 0, 2);
        assert!(director.requests_at_cache(&first).await > 0, "the cache is in service");
        sleep(WRITE_TIME).await;
        drop(first); // killed
        let second = director.start("terminating", 0, 0);
        assert_eq!(director.requests_at_cache(&second).await, 0, "the cache drains");
    });
}

/// Checks that the list at the start is in force as a whole: the stored one is older, and neither its drains
/// nor its ends outlive it.
#[test]
fn a_server_that_the_start_lists_in_service_is_used_whatever_is_stored() {
    run_local(async {
        for stored in ["terminating", "terminated"] {
            let director = StoredDirector::new().await;
            let first = director.start(stored, 0, 2);
            assert_eq!(director.requests_at_cache(&first).await, 0, "the cache is {stored}");
            sleep(WRITE_TIME).await;
            drop(first);
            let second = director.start("in_service", 0, 0);
            assert!(director.requests_at_cache(&second).await > 0, "the cache was {stored}");
        }
    });
}

/// Guards against a state on disk that grows with every restart: a stored endpoint that the list at the start
/// leaves out has to leave the disk as well.
#[test]
fn endpoints_that_the_start_does_not_list_are_removed_from_disk() {
    run_local(async {
        let director = StoredDirector::new().await;
        let first = director.start("in_service", 0, 0);
        let text = std::fs::read_to_string(&director.files.config.0).expect("a configuration");
        sleep(WRITE_TIME).await;
        drop(first);
        for name in ["second-cache", "third-cache"] {
            let running = director.start_with(&text.replace("example-cache", name));
            sleep(WRITE_TIME).await;
            drop(running);
            let mut stored = director.stored_endpoints();
            stored.sort();
            assert_eq!(stored, ["example-origin", "example-parent", name]);
        }
    });
}
