//! The endpoint list in the state on disk, after a restart that is told another list.
#![cfg(all(feature = "cli", feature = "peers"))]

mod emulated;
mod program;

use emulated::{run_local, send_request_text, start_cache_parent_origin, EmulatedServer, ServerBehavior};
use program::{example_config, read_request, Program, StartOptions, TempFile};
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
    config: TempFile,
    operator: TempFile,
    _key: TempFile,
    folder: PathBuf,
}

impl Drop for StoredDirector {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl StoredDirector {
    async fn new(name: &str) -> StoredDirector {
        let (servers, _) = start_cache_parent_origin(COPY).await;
        let key = TempFile::new(&format!("{name}-key"), "c2VjcmV0c2VjcmV0c2VjcmV0\n");
        let folder = std::env::temp_dir().join(format!("foxhold-{}-{name}-state", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a writable temporary folder");
        let address = std::net::UdpSocket::bind("127.0.0.1:0").and_then(|socket| socket.local_addr());
        let (address, key_file) = (address.expect("a free port"), key.0.display());
        let operator = format!(
            "peers: {{listen: \"{address}\", name: a, fleet: example, key: {key_file}, folder: {}}}\n",
            folder.display()
        );
        let operator = TempFile::new(&format!("{name}-operator"), &operator);
        let config = TempFile::new(&format!("{name}-config"), "");
        StoredDirector { servers, config, operator, _key: key, folder }
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
        let event = |revision: u64| {
            format!(
                ",{{\"rev\": {revision}, \"pool\": {{\"members\": [{{\"id\": \"example-cache\", \"host_port\": \
                 \"{}\", \"locality\": \"branch\", \"flavor\": \"cache\", {member}}}]}}}}",
                self.cache().address
            )
        };
        let events: String = (2..2 + repeats).map(event).collect();
        let known = listed.replacen(END_OF_EVENTS, &format!("]}}}}{events}]}},"), 1);
        let last = format!("\"known\": {{\"rev\": {}", 1 + repeats);
        self.config.replace(&known.replace("\"known\": {\"rev\": 1", &last));
        let options = StartOptions {
            config: Some(&self.config.0),
            operator: Some(&self.operator.0),
            // The first line of the log has to name the address.
            log_level: Some("info,foxhold::cluster=warn"),
            ..StartOptions::default()
        };
        options.start()
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
        let director = StoredDirector::new("drain-at-start").await;
        let first = director.start("in_service", 0, 2);
        assert!(director.requests_at_cache(&first).await > 0, "the cache is in service");
        sleep(WRITE_TIME).await;
        drop(first); // killed
        let second = director.start("terminating", 0, 0);
        assert_eq!(director.requests_at_cache(&second).await, 0, "the cache drains");
    });
}

/// Checks that a list which is told at the start is in force as a whole: the stored one is older, and neither
/// its drains nor its ends outlive it.
#[test]
fn a_server_that_the_start_lists_in_service_is_used_whatever_is_stored() {
    run_local(async {
        for stored in ["terminating", "terminated"] {
            let director = StoredDirector::new(&format!("stored-{stored}")).await;
            let first = director.start(stored, 0, 2);
            assert_eq!(director.requests_at_cache(&first).await, 0, "the cache is {stored}");
            sleep(WRITE_TIME).await;
            drop(first);
            let second = director.start("in_service", 0, 0);
            assert!(director.requests_at_cache(&second).await > 0, "the cache was {stored}");
        }
    });
}
