//! Forty-five minutes of a director's life in a few seconds of paused time: new ids, clients that leave,
//! servers that are replaced, answers that never come. Nothing that it holds may grow with time.

mod standin;

use foxhold::dispatch::{self, *};
use foxhold::policy::types::*;
use quickcheck::{Arbitrary, Gen};
use standin::{listing, paused, settings};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::sleep;

const MINUTES: u64 = 45;
const REQUESTS_A_SECOND: u64 = 12;
/// What a director may hold at a time, far under what 45 minutes bring: 32,400 requests, 180 servers.
const MOST: TableSizes = TableSizes {
    pending_requests: 120,
    attempts_in_flight: 160,
    timers: 1_000,
    health_checks: 16,
    cancelled_requests: 40,
    servers: 24,
    mailbox: 64,
    classes: 2,
};

/// Servers that answer after a while, with a miss now and then, break off, or say nothing.
struct Moody;

impl EndpointConnector for Moody {
    fn connect(
        &mut self,
        server: ServerId,
        _: &Endpoint,
        reports: DispatcherSender,
    ) -> mpsc::Sender<EndpointCommand> {
        let (mailbox, mut orders) = mpsc::channel(64);
        tokio::task::spawn_local(async move {
            let mut count = u64::from(server.0);
            while let Some(order) = orders.recv().await {
                count = count.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
                let (mood, reports) = ((count >> 33) % 100, reports.clone());
                let after = Duration::from_millis(5 + (count >> 40) % 300);
                let message = match order {
                    EndpointCommand::Send(want) => DispatcherMessage::AttemptEnded(
                        want.attempt_id,
                        match mood {
                            0..=79 => reply(
                                ResponseStatus::Ok(Representation { etag: None, body: "bytes".into() }),
                                CacheStatus::Hit,
                            ),
                            80..=89 => {
                                reply(ResponseStatus::Ok(Representation::default()), CacheStatus::Filled)
                            }
                            90..=93 => reply(ResponseStatus::Rejected, CacheStatus::SourceRejected),
                            94..=95 => reply(ResponseStatus::Error, CacheStatus::SourceUnreachable),
                            96..=97 => Err(AttemptError::Unanswered),
                            _ => continue, // never answered
                        },
                    ),
                    EndpointCommand::HealthCheck(number) if mood < 90 => DispatcherMessage::HealthChecked(
                        number,
                        Ok(HealthReport { healthy: true, load_report: Vec::new() }),
                    ),
                    _ => continue,
                };
                tokio::task::spawn_local(async move {
                    sleep(after).await;
                    reports.send(message).await;
                });
            }
        });
        mailbox
    }
}

fn reply(verdict: ResponseStatus, note: CacheStatus) -> AttemptResult {
    Ok(UpstreamResponse { status: verdict, cache_status: note, source_wait: 0, load_report: Vec::new() })
}

/// Caches whose names change with the round, as a rolling deploy replaces them, and the same two behind.
fn fleet(round: u64) -> Vec<Endpoint> {
    let mut members: Vec<Endpoint> =
        (0..4).map(|n| listing(&format!("cache-{}", round + n), "a", "edge", "cache")).collect();
    members.extend((0..2).map(|n| listing(&format!("parent-{}", (round + n) / 3), "c", "hub", "parent")));
    members.push(listing("origin-1", "d", "hub", "origin"));
    members
}

/// Resident bytes of this process.
#[cfg(target_os = "linux")]
fn resident() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").expect("proc");
    text.split(' ').nth(1).and_then(|n| n.parse::<u64>().ok()).expect("a figure") * 4096
}

#[cfg(not(target_os = "linux"))]
fn resident() -> u64 {
    0
}

#[test]
fn forty_five_minutes_leave_every_table_mailbox_and_the_memory_where_they_were() {
    paused(async {
        let known = vec![DispatcherMessage::Members { full: true, members: fleet(0) }];
        let settings = Settings { health_checks: true, ..settings() };
        let clock = Clock::starting_at(1_764_576_000_000_000);
        let core = dispatch::start(settings, 7, clock, Moody, known).expect("good settings").dispatcher;
        let (mut gen, mut quarters, mut answered) = (Gen::from_size_and_seed(64, 11), Vec::new(), 0u64);
        let (tell, mut told) = mpsc::unbounded_channel();
        for second in 0..MINUTES * 60 {
            if second % 15 == 14 {
                let members = fleet(second / 15);
                core.sender().send(DispatcherMessage::Members { full: true, members }).await;
            }
            if second % 7 == 0 {
                let at = clock.unix().saturating_sub(50_000);
                core.sender()
                    .send(DispatcherMessage::Purged {
                        object: None,
                        group: second as u32 % 32,
                        at,
                        retention: 0,
                    })
                    .await;
            }
            for _ in 0..REQUESTS_A_SECOND {
                let pick = u64::arbitrary(&mut gen);
                let ask = ClientRequest {
                    id: core.generate_request_id(),
                    class: usize::from(pick.is_multiple_of(20)),
                    object: format!("{:016x}", pick % 50_000).into(),
                    group: Some((pick % 32) as u32),
                    size_kb: 20.0 + (pick % 300) as f64,
                    timeout: Duration::from_millis(800 + pick % 2_000),
                    ..ClientRequest::default()
                };
                let (pending, tell) = (core.submit(ask), tell.clone());
                tokio::task::spawn_local(async move {
                    // One in ten leaves before its answer.
                    let patience = Duration::from_millis(if pick % 10 == 3 { 40 } else { 60_000 });
                    let _ = tell.send(tokio::time::timeout(patience, pending).await.is_ok());
                });
                sleep(Duration::from_millis(1_000 / REQUESTS_A_SECOND)).await;
            }
            while let Ok(was) = told.try_recv() {
                answered += u64::from(was);
            }
            let tables = core.metrics().await.expect("a core").tables;
            assert!(tables.within(&MOST), "after {second} s: {tables:?}");
            if second % (MINUTES * 15) == MINUTES * 15 - 1 {
                quarters.push(resident());
            }
        }
        sleep(Duration::from_secs(10)).await;
        let tables = core.metrics().await.expect("a core").tables;
        let empty = (
            tables.pending_requests,
            tables.attempts_in_flight,
            tables.timers,
            tables.health_checks,
            tables.mailbox,
        );
        assert_eq!(empty, (0, 0, 0, 0, 0), "nothing is left once all is answered");
        let asked = MINUTES * 60 * REQUESTS_A_SECOND;
        assert!(answered > asked * 85 / 100, "{answered} of {asked} answered");
        let growth = quarters[3].saturating_sub(quarters[1]);
        assert!(growth < 4 << 20, "resident by quarters: {quarters:?}");
    });
}
