//! Endpoint lists in xDS form: decoding, encoding, rejection of invalid responses, and watching a file.

mod emulated;

use emulated::{endpoint_listing, run_with_paused_clock};
use foxhold::discovery::xds;
use foxhold::discovery::{follow_file, watched_file::WatchedFile};
use foxhold::dispatch::{DispatcherMessage, DispatcherSender, Endpoint};
use foxhold::policy::types::MemberState;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

const SNAKE_CASE: &str = r#"{"version_info":"7","resources":[
    {"@type":"type.googleapis.com/envoy.config.cluster.v3.Cluster","name":"cache","type":"EDS",
     "eds_cluster_config":{"service_name":"caches","eds_config":{}},"connect_timeout":"0.4s"},
    {"@type":"type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment","cluster_name":"caches",
     "endpoints":[{"locality":{"region":"r","zone":"edge"},"lb_endpoints":[
        {"endpoint":{"address":{"socket_address":{"address":"10.1.0.9","port_value":9090}}},
         "health_status":"HEALTHY","load_balancing_weight":4,
         "metadata":{"filter_metadata":{"foxhold":{"id":"s-1","cell":2,"up_since_ms":1764576000123}}}},
        {"endpoint":{"hostname":"s-2","address":{"socket_address":{"address":"::1","port_value":"9091"}}},
         "health_status":3}]}]}]}"#;

#[test]
fn snake_case_and_camel_case_decode_to_the_same_endpoints() {
    let update = xds::parse(SNAKE_CASE).expect("a valid response");
    assert_eq!((update.version.as_str(), update.members.len()), ("7", 2));
    let first = Endpoint {
        cell: 2,
        size: 4.0,
        started_at: 1_764_576_000_123_000,
        ..endpoint_listing("s-1", "10.1.0.9:9090", "edge", "cache")
    };
    let second = Endpoint {
        size: 1.0,
        state: MemberState::Draining,
        ..endpoint_listing("s-2", "[::1]:9091", "edge", "cache")
    };
    assert_eq!(update.members, [first, second]);
    let pairs = [
        ("version_info", "versionInfo"),
        ("eds_cluster_config", "edsClusterConfig"),
        ("service_name", "serviceName"),
        ("cluster_name", "clusterName"),
        ("lb_endpoints", "lbEndpoints"),
        ("socket_address", "socketAddress"),
        ("port_value", "portValue"),
        ("health_status", "healthStatus"),
        ("load_balancing_weight", "loadBalancingWeight"),
        ("filter_metadata", "filterMetadata"),
    ];
    let camel_case =
        pairs.iter().fold(SNAKE_CASE.to_owned(), |text, (snake, camel)| text.replace(snake, camel));
    assert_ne!(camel_case, SNAKE_CASE);
    assert_eq!(xds::parse(&camel_case), Ok(update));
}

#[test]
fn an_encoded_update_decodes_to_itself() {
    let update = xds::parse(SNAKE_CASE).expect("a valid response");
    assert_eq!(xds::parse(&xds::format(&update)), Ok(update));
}

#[test]
fn a_health_status_decides_whether_an_endpoint_takes_new_requests() {
    let states = [
        ("\"UNKNOWN\"", Some(MemberState::Running)),
        ("\"DEGRADED\"", Some(MemberState::Running)),
        ("1", Some(MemberState::Running)),
        ("\"UNHEALTHY\"", Some(MemberState::Draining)),
        ("\"TIMEOUT\"", Some(MemberState::Draining)),
        ("\"WELL\"", None),
        ("9", None),
        ("true", None),
    ];
    for (status, state) in states {
        let update = xds::parse(&SNAKE_CASE.replace("\"HEALTHY\"", status));
        assert_eq!(update.ok().map(|u| u.members[0].state), state, "{status}");
    }
}

#[test]
fn a_fault_anywhere_rejects_the_whole_response() {
    let faults = [
        ("\"port_value\":9090", "\"port_value\":0"),
        ("\"port_value\":9090", "\"port_value\":9090,\"portValue\":9090"),
        ("\"load_balancing_weight\":4", "\"load_balancing_weight\":0"),
        ("\"load_balancing_weight\":4", "\"load_balancing_weight\":1.5"),
        ("\"hostname\":\"s-2\"", "\"hostname\":\"s-1\""),
        ("\"hostname\":\"s-2\"", "\"hostname\":\"a,b\""),
        ("envoy.config.cluster.v3.Cluster", "envoy.config.listener.v3.Listener"),
        ("\"name\":\"cache\",", ""),
        ("\"lb_endpoints\":[", "\"lb_endpoints\":[{},"),
        ("]}]}]}", "]}]}]"),
    ];
    for (from, to) in faults {
        let text = SNAKE_CASE.replacen(from, to, 1);
        assert_ne!(text, SNAKE_CASE, "{from}");
        assert!(xds::parse(&text).is_err(), "{from} -> {to}");
    }
}

#[test]
fn the_last_valid_list_stays_in_use_when_the_watched_file_becomes_invalid() {
    let path = std::env::temp_dir().join(format!("foxhold-xds-{}.json", std::process::id()));
    std::fs::write(&path, SNAKE_CASE).expect("a file");
    run_with_paused_clock(async {
        let (mailbox, mut inbox) = mpsc::channel(8);
        let (file, first) = WatchedFile::open(path.clone(), xds::parse).expect("a valid file");
        assert_eq!(first.members.len(), 2);
        tokio::task::spawn_local(follow_file(file, DispatcherSender::new(mailbox)));
        std::fs::write(&path, SNAKE_CASE.replace("9090", "0")).expect("a file");
        assert!(
            timeout(Duration::from_secs(5), inbox.recv()).await.is_err(),
            "no update for an invalid file or an unchanged one"
        );
        std::fs::write(&path, SNAKE_CASE.replace("\"HEALTHY\"", "\"DRAINING\"")).expect("a file");
        let Some(DispatcherMessage::Members { members, .. }) = inbox.recv().await else { panic!("no list") };
        assert_eq!(members[0].state, MemberState::Draining);
        sleep(Duration::from_secs(2)).await;
        assert!(inbox.try_recv().is_err(), "the change is reported only once");
    });
    std::fs::remove_file(&path).expect("the file");
}
