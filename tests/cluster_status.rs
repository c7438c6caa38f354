//! The JSON that the command `peers` prints. Operators' scripts depend on its names.
#![cfg(feature = "peers")]

use foxhold::cluster::{PeerStatus, Status};

#[test]
fn status_json_keeps_its_names() {
    let peer = PeerStatus {
        name: "b".into(),
        address: "127.0.0.1:2".into(),
        last_received_ms: Some(12),
        last_in_sync_ms: None,
    };
    let status = Status {
        name: "a".into(),
        address: "127.0.0.1:1".into(),
        incarnation: 1,
        stage: "caught up".into(),
        entries: [("purges".into(), 3)].into(),
        bytes: 9,
        peers: vec![peer],
        dead: vec!["c at x".into()],
        duplicate_names: Vec::new(),
        counts: [("taken".into(), 3)].into(),
        rejected: [("seal".into(), 2)].into(),
    };
    let json = concat!(
        r#"{"name":"a","address":"127.0.0.1:1","incarnation":1,"stage":"caught up","entries":{"purges":3},"#,
        r#""bytes":9,"peers":[{"name":"b","address":"127.0.0.1:2","heard_ms":12,"alike_ms":null}],"#,
        r#""gone":["c at x"],"twins":[],"counts":{"taken":3},"turned_down":{"seal":2}}"#
    );
    assert_eq!(miniserde::json::to_string(&status), json);
}

#[test]
fn rejected_entries_keep_their_names_in_metrics() {
    use foxhold::replication::state::MergeError;
    let causes = [MergeError::Malformed, MergeError::Expired, MergeError::FromFuture, MergeError::NoCapacity];
    assert_eq!(causes.map(MergeError::name), ["form", "old", "ahead", "full"]);
}
