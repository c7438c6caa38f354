//! Measures the cost of one decision, a request and the end of its attempt, for fleets of four sizes.
#![allow(missing_docs, reason = "the criterion macros generate a public function without documentation")]

#[path = "../tests/emulated/mod.rs"]
mod emulated;

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use foxhold::policy::types::*;
use foxhold::Router;
use std::hint::black_box;

fn settings() -> Settings {
    let class = |name: &str, latency_objective, deadline| Class {
        name: name.into(),
        latency_objective,
        deadline,
        priority_weight: 1.0,
        ..Class::default()
    };
    Settings {
        classes: vec![class("videos", 400_000, 5_000_000), class("pages", 250_000, 3_000_000)],
        routers_by_zone: vec![0, 4],
        routers: 4,
        transfer_kb_per_s: 9_500.0,
        health_checks: true,
        ..emulated::settings()
    }
}

/// Returns the origin, one parent in every ten servers, and caches.
fn members(servers: u32) -> Vec<Member> {
    let member = |id: u32| {
        let (zone, kind) = match id {
            0 => (0, 2),
            n if n.is_multiple_of(10) => (0, 1),
            _ => (1, 0),
        };
        let state = MemberState::Running;
        Member {
            server: ServerId(id.wrapping_mul(0x9e37_79b9)),
            zone,
            kind,
            cell: 0,
            state,
            size: 12.0,
            started_at: 0,
        }
    };
    (0..servers).map(member).collect()
}

fn request(n: u64, objects: u64, now: Micros) -> Request {
    let hash = n.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 16;
    Request {
        id: RequestId(n),
        class: (hash % 2) as usize,
        settings: None,
        object: ObjectId(hash % objects),
        part: (hash % 3) as u32,
        group: Some((hash % 32) as u32),
        deadline: now + 3_000_000,
        size_kb: 200.0,
        is_retry: false,
    }
}

/// Passes a request to the router, and then the successful end of its attempt.
fn decide(router: &mut Router, n: u64, objects: u64, out: &mut Vec<Action>) {
    let now = n * 500;
    out.clear();
    router.handle(now, Event::Request(request(n, objects, now)), out);
    let server = out.iter().find_map(|a| match a {
        Action::Attempt { server, .. } => Some(*server),
        _ => None,
    });
    if let Some(server) = server {
        let end = AttemptEnd {
            request: RequestId(n),
            attempt: 0,
            server,
            outcome: Outcome::Ok,
            elapsed: 20_000,
            request_finished: true,
            cache_status: if n.is_multiple_of(3) { CacheStatus::Filled } else { CacheStatus::Hit },
            source_wait: 10_000,
            load_report: Vec::new(),
        };
        router.handle(now + 400, Event::AttemptEnded(end), out);
    }
    black_box(&out);
}

fn decisions(c: &mut Criterion) {
    let mut group = c.benchmark_group("decision");
    for servers in [20, 200, 1_900, 2_000] {
        for objects in [1_000, 100_000] {
            let mut router = Router::new(settings(), 7).expect("good settings");
            let mut out = Vec::new();
            router.handle(
                0,
                Event::Members { kind: MemberUpdate::Full, members: members(servers) },
                &mut out,
            );
            let mut n = 0;
            for _ in 0..30_000 {
                n += 1;
                decide(&mut router, n, objects, &mut out);
            }
            group.bench_function(BenchmarkId::new(format!("{servers} servers"), objects), |b| {
                b.iter(|| {
                    n += 1;
                    decide(&mut router, n, objects, &mut out);
                })
            });
        }
    }
    group.finish();
}

criterion_group!(benches, decisions);
criterion_main!(benches);
