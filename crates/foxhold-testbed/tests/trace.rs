//! The daemon's process and the library in an axum host choose alike, and a changed choice is seen.

use foxhold_testbed::load::trace;
use foxhold_testbed::scenarios::replay::{compare, replay, Through};

mod common;

#[test]
fn one_trace_goes_the_same_way_through_daemon_and_library_and_a_changed_choice_shows() {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().expect("one");
    runtime.block_on(async {
        let lines = trace::draw(600, 11);
        let daemon = replay(&lines, &Through::Daemon(common::daemon())).await.expect("a run");
        // On a machine that is busy with other things a late start may change what is decided: played again then.
        let mut differences = Vec::new();
        for _ in 0..3 {
            let library = replay(&lines, &Through::Library { altered: None }).await.expect("a run");
            assert_eq!(library.requests.len(), 600);
            differences = compare(&daemon, &library);
            if differences.is_empty() || daemon.late + library.late == 0 {
                break;
            }
        }
        assert!(differences.is_empty(), "{} of 600, first {:?}", differences.len(), differences[0]);
        let attempts: usize = daemon.requests.values().map(|(seen, _)| seen.len()).sum();
        assert!(attempts > 600, "troubles made further attempts: {attempts}");
        let altered = replay(&lines, &Through::Library { altered: Some(40) }).await.expect("a run");
        let differences = compare(&daemon, &altered);
        let first = differences.first().expect("a difference");
        assert_ne!(first.one.0[0].via, first.other.0[0].via, "{first:?}");
    });
}
