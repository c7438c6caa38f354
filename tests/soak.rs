//! Guards against tables that grow with time. A director runs for 45 minutes of a paused clock, which takes a
//! few seconds, with new ids, clients that disconnect, servers that are replaced, and responses that never
//! come.

mod emulated;

use emulated::{endpoint_listing, run_with_paused_clock, settings};
use foxhold::dispatch::{self, *};
use foxhold::policy::types::*;
use quickcheck::{Arbitrary, Gen};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::sleep;

const MINUTES: u64 = 45;
const REQUESTS_PER_SECOND: u64 = 12;
/// The Unix time in microseconds at which the run starts.
const START: Micros = 1_764_576_000_000_000;
/// The most entries that a director may hold at a time, far fewer than pass through it in 45 minutes: 32,400
/// requests and 180 servers.
const MAX_TABLE_SIZES: TableSizes = TableSizes {
    pending_requests: 120,
    attempts_in_flight: 160,
    timers: 1_000,
    health_checks: 16,
    cancelled_requests: 40,
    servers: 24,
    mailbox: 64,
    classes: 2,
    class_estimates: 2,
};

/// Servers that respond after a delay, sometimes with a fill, reject, fail, or don't respond.
struct UnreliableServers;

impl EndpointConnector for UnreliableServers {
    fn connect(
        &mut self,
        server: ServerId,
        _: &Endpoint,
        reports: DispatcherSender,
    ) -> mpsc::Sender<EndpointCommand> {
        let (mailbox, mut commands) = mpsc::channel(64);
        tokio::task::spawn_local(async move {
            let mut random = u64::from(server.0);
            while let Some(command) = commands.recv().await {
                random =
                    random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
                let delay = Duration::from_millis(5 + (random >> 40) % 300);
                if let Some(message) = respond(command, (random >> 33) % 100) {
                    let reports = reports.clone();
                    tokio::task::spawn_local(async move {
                        sleep(delay).await;
                        reports.send(message).await;
                    });
                }
            }
        });
        mailbox
    }
}

/// Returns what a server reports for a command, by a random draw from 0 to 99, or `None` if it never reports.
fn respond(command: EndpointCommand, draw: u64) -> Option<DispatcherMessage> {
    match command {
        EndpointCommand::Send(request) => {
            Some(DispatcherMessage::AttemptEnded(request.attempt_id, attempt_result(draw)?))
        }
        EndpointCommand::HealthCheck(number) if draw < 90 => {
            let report = HealthReport { healthy: true, load_report: Vec::new() };
            Some(DispatcherMessage::HealthChecked(number, Ok(report)))
        }
        _ => None,
    }
}

/// Returns how an attempt ends, by a random draw from 0 to 99, or `None` if it is never answered.
fn attempt_result(draw: u64) -> Option<AttemptResult> {
    let cached = Representation { etag: None, body: "bytes".into() };
    let (status, cache_status) = match draw {
        0..=79 => (ResponseStatus::Ok(cached), CacheStatus::Hit),
        80..=89 => (ResponseStatus::Ok(Representation::default()), CacheStatus::Filled),
        90..=93 => (ResponseStatus::Rejected, CacheStatus::SourceRejected),
        94..=95 => (ResponseStatus::Error, CacheStatus::SourceUnreachable),
        96..=97 => return Some(Err(AttemptError::Unanswered)),
        _ => return None,
    };
    Some(Ok(UpstreamResponse { status, cache_status, source_wait: 0, load_report: Vec::new() }))
}

/// Returns the member list of a round: caches that change each round, as a rolling deploy replaces them,
/// parents that change less often, and an origin.
fn members_in_round(round: u64) -> Vec<Endpoint> {
    let mut members: Vec<Endpoint> =
        (0..4).map(|n| endpoint_listing(&format!("cache-{}", round + n), "a", "edge", "cache")).collect();
    members.extend(
        (0..2).map(|n| endpoint_listing(&format!("parent-{}", (round + n) / 3), "c", "hub", "parent")),
    );
    members.push(endpoint_listing("origin-1", "d", "hub", "origin"));
    members
}

/// Returns the resident memory of this process in bytes.
#[cfg(target_os = "linux")]
fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").expect("a readable /proc/self/statm");
    text.split(' ').nth(1).and_then(|n| n.parse::<u64>().ok()).expect("a number of pages") * 4096
}

#[cfg(not(target_os = "linux"))]
fn resident_bytes() -> u64 {
    0
}

/// Replaces servers every 15 s and purges a group every 7 s.
async fn send_updates(dispatcher: &Dispatcher, clock: &Clock, second: u64) {
    if second % 15 == 14 {
        let members = members_in_round(second / 15);
        dispatcher.sender().send(DispatcherMessage::Members { full: true, members }).await;
    }
    if second.is_multiple_of(7) {
        let at = clock.unix().saturating_sub(50_000);
        let group = second as u32 % 32;
        let purge = DispatcherMessage::Purged { object: None, group, at, retention: 0 };
        dispatcher.sender().send(purge).await;
    }
}

/// Returns a request made from a random draw; one in twenty is a write.
fn random_request(dispatcher: &Dispatcher, draw: u64) -> ClientRequest {
    let class_name = if draw.is_multiple_of(20) { "filing" } else { "videos" };
    let rules = dispatcher.class_rules(class_name).expect("a class");
    ClientRequest {
        id: dispatcher.generate_request_id(),
        object: format!("{:016x}", draw % 50_000).into(),
        group: Some((draw % 32) as u32),
        size_kb: 20.0 + (draw % 300) as f64,
        timeout: Duration::from_millis(800 + draw % 2_000),
        ..ClientRequest::new(rules)
    }
}

/// Submits the requests of one second at equal intervals, and reports for each whether its client got a
/// response. One client in ten disconnects after 40 ms.
async fn submit_requests(dispatcher: &Dispatcher, draws: &mut Gen, answered: &mpsc::UnboundedSender<bool>) {
    for _ in 0..REQUESTS_PER_SECOND {
        let draw = u64::arbitrary(draws);
        let pending = dispatcher.submit(random_request(dispatcher, draw));
        let answered = answered.clone();
        tokio::task::spawn_local(async move {
            let disconnect_after = Duration::from_millis(if draw % 10 == 3 { 40 } else { 60_000 });
            let _ = answered.send(tokio::time::timeout(disconnect_after, pending).await.is_ok());
        });
        sleep(Duration::from_millis(1_000 / REQUESTS_PER_SECOND)).await;
    }
}

async fn table_sizes(dispatcher: &Dispatcher) -> TableSizes {
    dispatcher.metrics().await.expect("a dispatcher").tables
}

#[test]
fn tables_mailbox_and_memory_do_not_grow_over_45_minutes() {
    run_with_paused_clock(async {
        let initial = vec![DispatcherMessage::Members { full: true, members: members_in_round(0) }];
        let settings = Settings { health_checks: true, ..settings() };
        let clock = Clock::starting_at(START);
        let running =
            dispatch::start(settings, 7, clock, UnreliableServers, initial).expect("valid settings");
        let dispatcher = running.dispatcher;
        let mut draws = Gen::from_size_and_seed(64, 11);
        let (mut resident_by_quarter, mut answered) = (Vec::new(), 0u64);
        let (report, mut reports) = mpsc::unbounded_channel();
        for second in 0..MINUTES * 60 {
            send_updates(&dispatcher, &clock, second).await;
            submit_requests(&dispatcher, &mut draws, &report).await;
            while let Ok(was_answered) = reports.try_recv() {
                answered += u64::from(was_answered);
            }
            let tables = table_sizes(&dispatcher).await;
            assert!(tables.within(&MAX_TABLE_SIZES), "after {second} s: {tables:?}");
            if second % (MINUTES * 15) == MINUTES * 15 - 1 {
                resident_by_quarter.push(resident_bytes());
            }
        }
        sleep(Duration::from_secs(10)).await;
        let tables = table_sizes(&dispatcher).await;
        let remaining = (
            tables.pending_requests,
            tables.attempts_in_flight,
            tables.timers,
            tables.health_checks,
            tables.mailbox,
        );
        assert_eq!(remaining, (0, 0, 0, 0, 0), "no entry is left once all requests have ended");
        let submitted = MINUTES * 60 * REQUESTS_PER_SECOND;
        assert!(answered > submitted * 85 / 100, "{answered} of {submitted} answered");
        let growth = resident_by_quarter[3].saturating_sub(resident_by_quarter[1]);
        assert!(growth < 4 << 20, "resident by quarters: {resident_by_quarter:?}");
    });
}
