//! The daemon and the library in an axum host make the same routing decisions for one trace. The comparison
//! detects a changed decision.

use foxhold_testbed::load::trace;
use foxhold_testbed::scenarios::replay::{compare, replay, Through};

mod common;

#[test]
fn daemon_and_library_route_a_trace_alike_and_a_changed_decision_is_detected() {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("runtime starts");
    runtime.block_on(async {
        let lines = trace::draw(600, 11);
        let daemon = replay(&lines, &Through::Daemon(common::daemon())).await.expect("replay completes");
        // On a busy machine, a request that starts late may be routed differently. The trace is replayed
        // then.
        let mut differences = Vec::new();
        for _ in 0..3 {
            let library =
                replay(&lines, &Through::Library { altered: None }).await.expect("replay completes");
            assert_eq!(library.requests.len(), 600);
            differences = compare(&daemon, &library);
            if differences.is_empty() || daemon.late + library.late == 0 {
                break;
            }
        }
        assert!(
            differences.is_empty(),
            "{} of 600 requests differ, first: {:?}",
            differences.len(),
            differences[0]
        );
        let attempts: usize = daemon.requests.values().map(|(attempts, _)| attempts.len()).sum();
        assert!(attempts > 600, "expected faults to cause further attempts beyond 600: {attempts}");
        let altered =
            replay(&lines, &Through::Library { altered: Some(40) }).await.expect("replay completes");
        let differences = compare(&daemon, &altered);
        let first = differences.first().expect("the altered decision is a difference");
        assert_ne!(first.one.0[0].via, first.other.0[0].via, "{first:?}");
    });
}
