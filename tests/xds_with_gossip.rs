//! A director with its endpoint list from a file in xDS form that also gossips: neither the discovery
//! service's list nor the replicated one replaces that of the file.
#![cfg(all(feature = "cli", feature = "peers"))]

mod emulated;
mod program;

use emulated::{
    endpoint_listing, run_local, send_request_text, start_cache_parent_origin, EmulatedServer, ServerBehavior,
};
use foxhold::discovery::xds;
use foxhold::dispatch::Endpoint;
use foxhold::policy::types::MemberState;
use program::{
    example_config, free_address, free_gossip_addresses, read_request, send_command, wait_for_endpoints,
    GossipFiles, Program, TempFile,
};
use std::time::Duration;
use tokio::time::sleep;

const COPY: ServerBehavior = ServerBehavior::Responds("ID ACK res=cached 5\r\nbytes\r\n");
/// Time after its start in which a director has handled what its configuration holds.
const HANDLING_TIME: Duration = Duration::from_millis(100);
const REQUESTS: u64 = 20;
/// Name of the cache in the discovery service's list.
const LISTED_CACHE: &str = "example-cache";

/// The servers, and a director whose discovery service lists them all in service.
struct Site {
    servers: [EmulatedServer; 3],
    program: Program,
    admin: String,
    _list: TempFile,
    _files: GossipFiles,
}

impl Site {
    /// Starts a director whose file has the cache under this name and in this state. One that is gone is not
    /// listed.
    async fn start(cache_name: &str, cache_state: MemberState) -> Site {
        let (servers, _) = start_cache_parent_origin(COPY).await;
        let [cache, parent, origin] = servers.each_ref().map(|server| server.address.as_str());
        let mut members = vec![
            endpoint_listing("example-parent", parent, "hub", "parent"),
            endpoint_listing("example-origin", origin, "hub", "origin"),
        ];
        if cache_state != MemberState::Gone {
            let listing = endpoint_listing(cache_name, cache, "branch", "cache");
            members.push(Endpoint { state: cache_state, ..listing });
        }
        let (admin, [gossip]) = (free_address(), free_gossip_addresses());
        let list = xds::format(&xds::Update { version: "1".into(), members });
        let list = TempFile::new(&format!("xds-{}", gossip.replace(':', "-")), &list);
        let config = example_config(1024, "", &admin, [cache, parent, origin]);
        let sections = format!("members: {{xds: {}}}\n", list.0.display());
        let files = GossipFiles::new(&gossip, &config, "", &sections);
        let program = files.start();
        Site { servers, program, admin, _list: list, _files: files }
    }

    /// Sends requests and returns how many of them the cache has received.
    async fn requests_at_cache(&self) -> usize {
        let before = self.servers[0].requests().len();
        for id in 0..REQUESTS {
            let response = send_request_text(&self.program.address, &read_request(id, 1_500)).await;
            assert_eq!(response.status, 200);
        }
        self.servers[0].requests().len() - before
    }
}

/// Guards against the discovery service's list that the gossip applies over the file's: a server that the
/// file drains got requests from the start on, and so did one that it does not list.
#[test]
fn the_list_of_the_file_is_not_replaced_by_that_of_the_discovery_service() {
    run_local(async {
        for (state, known, excluded) in [(MemberState::Draining, 3, 1), (MemberState::Gone, 2, 0)] {
            let site = Site::start(LISTED_CACHE, state).await;
            sleep(HANDLING_TIME).await;
            wait_for_endpoints(&site.admin, known, excluded).await;
            assert_eq!(site.requests_at_cache().await, 0, "{state:?} by the file");
        }
    });
}

/// Guards against an operator's drain that is accepted and never applied, because only the file lists the
/// server and the discovery service has a list too.
#[test]
fn a_drain_of_a_server_that_only_the_file_lists_takes_effect() {
    run_local(async {
        let site = Site::start("renamed-cache", MemberState::Running).await;
        assert!(site.requests_at_cache().await > 0, "the cache is in service");
        assert_eq!(send_command(&site.admin, "drain renamed-cache\n").await.as_deref(), Some("YES\n"));
        wait_for_endpoints(&site.admin, 3, 1).await;
        assert_eq!(site.requests_at_cache().await, 0, "the cache drains");
        assert_eq!(send_command(&site.admin, "undrain renamed-cache\n").await.as_deref(), Some("YES\n"));
        wait_for_endpoints(&site.admin, 3, 0).await;
        assert!(site.requests_at_cache().await > 0, "the drain has ended");
    });
}
