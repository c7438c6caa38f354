//! Drains through the director's handle, and a host that blocks its runtime.

use crate::emulated::{run_local, run_on_two_threads};
use crate::fixture::*;
use foxhold::director::{CacheRequest, Director, SendError};
use foxhold::dispatch::*;
use foxhold::policy::types::*;
use std::future::Future;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Sends a request for the `n`-th small object.
fn send_for_object(director: &Director, n: usize) -> impl Future<Output = Result<ClientResponse, SendError>> {
    director.send(CacheRequest::new("videos", format!("object-{n}")).size_kb(1.0))
}

/// Returns a transport that responds to each attempt with a fill after 30 ms.
fn filling_transport() -> RecordingTransport {
    RecordingTransport::new(|_, _| {
        Box::pin(async {
            sleep(Duration::from_millis(30)).await;
            served_as(Representation::default(), CacheStatus::Filled)
        })
    })
}

/// Sends requests for 1.2 s while the endpoint source, unaware of the drain, lists all servers as running.
async fn send_requests_while_all_are_listed_as_running(director: &Director, drained_at: Instant) {
    director.members(true, members()).await.expect("a director");
    for n in 0..400 {
        let batch: Vec<_> = (0..10).map(|k| send_for_object(director, 1_000 + n * 10 + k)).collect();
        for response in batch {
            let _ = response.await;
        }
        if n % 100 == 0 {
            director.members(true, members()).await.expect("a director");
        }
        if drained_at.elapsed() > Duration::from_millis(1_200) && n > 20 {
            break;
        }
    }
}

#[test]
fn a_drain_by_the_handle_overrides_the_source_with_requests_queued_and_fills_in_progress() {
    run_on_two_threads(async {
        let transport = filling_transport();
        let director = start_director(&transport);
        let pending: Vec<_> = (0..200).map(|n| send_for_object(&director, n)).collect();
        wait_until("fills are in progress", async || transport.exchanges().len() > 50).await;
        // 300 tasks clone and drop the handle at the same time.
        let clones: Vec<_> = (0..300)
            .map(|_| {
                let director = director.clone();
                tokio::spawn(async move { drop(director.clone()) })
            })
            .collect();
        assert_eq!(director.drain("parent-1").await, Ok(true));
        assert_eq!(director.drain("cache-1").await, Ok(true));
        let drained_at = Instant::now();
        assert_eq!(director.drain("cache-9").await, Ok(false), "a server that is not listed");
        send_requests_while_all_are_listed_as_running(&director, drained_at).await;
        for response in pending {
            let _ = response.await;
        }
        for task in clones {
            task.await.expect("a task");
        }
        let in_force_at = drained_at + Duration::from_millis(20); // well within the allowed second
        let is_drained = |name: &str| matches!(name, "parent-1" | "cache-1");
        let after: Vec<_> = transport.exchanges().into_iter().filter(|e| e.at > in_force_at).collect();
        assert!(after.len() > 100, "only {} attempts after the drain", after.len());
        let uses_drained =
            |e: &&RecordedAttempt| is_drained(&e.server) || e.fill_source.as_deref().is_some_and(is_drained);
        assert_eq!(after.iter().find(uses_drained), None);
        assert_eq!(director.undrain("cache-1").await, Ok(true));
        let before = transport.exchanges().len();
        for n in 0..100 {
            let _ = send_for_object(&director, 5_000 + n).await;
        }
        assert!(
            transport.exchanges()[before..].iter().any(|e| e.server == "cache-1"),
            "cache-1 is used again after the undrain"
        );
    });
}

#[test]
fn a_host_that_blocks_its_runtime_delays_neither_deadlines_nor_drains() {
    // The host has one thread and blocks it for 800 ms.
    run_local(async {
        let dropped_at = Arc::new(Mutex::new(None));
        let recorded = dropped_at.clone();
        struct RecordDrop(Arc<Mutex<Option<Instant>>>);
        impl Drop for RecordDrop {
            fn drop(&mut self) {
                self.0.lock().expect("a time").get_or_insert_with(Instant::now);
            }
        }
        let transport = RecordingTransport::new(move |_, _| {
            let record = RecordDrop(recorded.clone());
            Box::pin(async move {
                let _record = record;
                std::future::pending().await
            })
        });
        let director = start_director(&transport);
        let started = Instant::now();
        let pending = director.send(CacheRequest::new("videos", "one").timeout(Duration::from_millis(300)));
        wait_until("the attempt is sent", async || !transport.exchanges().is_empty()).await;
        let handle = director.clone();
        let drained_at = std::thread::spawn(move || {
            // Another thread of the host drains a server while the first is blocked.
            std::thread::sleep(Duration::from_millis(100));
            let runtime = tokio::runtime::Builder::new_current_thread().build().expect("one");
            runtime.block_on(handle.drain("parent-2")).expect("a director");
            Instant::now()
        });
        std::thread::sleep(Duration::from_millis(800));
        let cancelled_at = dropped_at.lock().expect("a time").expect("a cancelled attempt");
        assert!(cancelled_at < started + Duration::from_millis(400), "{:?}", cancelled_at - started);
        assert!(drained_at.join().expect("a thread") < started + Duration::from_millis(300));
        assert!(matches!(
            pending.await,
            Ok(ClientResponse::Rejected { reason: FailureReason::DeadlineExceeded, .. })
        ));
    });
}
