//! The director embedded in a host: what its handle promises while the host cancels, blocks, drains and ends.

mod standin;

use foxhold::director::{CacheRequest, Director, SendError, Stopped};
use foxhold::discovery::StaticEndpoints;
use foxhold::dispatch::*;
use foxhold::policy::types::*;
use foxhold::upstream::host::{BoxFuture, Exchange, HostTransport};
use standin::{listing, local, settings, want, Manner, Server};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// What a host's own transport does with each attempt.
type Manners = Arc<Mutex<Box<dyn Fn(&Endpoint, &UpstreamRequest) -> BoxFuture<AttemptResult> + Send>>>;

/// The server, the source of a fill, and when.
type Asked = (String, Option<String>, Instant);

/// A host's transport that notes what it was asked to carry.
#[derive(Clone)]
struct Carrier {
    asked: Arc<Mutex<Vec<Asked>>>,
    manners: Manners,
}

impl Carrier {
    fn new(
        manners: impl Fn(&Endpoint, &UpstreamRequest) -> BoxFuture<AttemptResult> + Send + 'static,
    ) -> Self {
        Carrier { asked: Arc::default(), manners: Arc::new(Mutex::new(Box::new(manners))) }
    }

    fn asked(&self) -> Vec<Asked> {
        self.asked.lock().expect("a list").clone()
    }
}

impl Exchange for Carrier {
    fn exchange(&self, server: &Endpoint, want: UpstreamRequest) -> BoxFuture<AttemptResult> {
        let via = want.fill_source.as_ref().map(|v| v.to_string());
        self.asked.lock().expect("a list").push((server.name.to_string(), via, Instant::now()));
        self.manners.lock().expect("manners")(server, &want)
    }
}

fn served() -> BoxFuture<AttemptResult> {
    let verdict = ResponseStatus::Ok(Representation { etag: None, body: "bytes".into() });
    Box::pin(async {
        Ok(UpstreamResponse {
            status: verdict,
            cache_status: CacheStatus::Hit,
            source_wait: 0,
            load_report: Vec::new(),
        })
    })
}

fn never() -> BoxFuture<AttemptResult> {
    Box::pin(std::future::pending())
}

fn members() -> Vec<Endpoint> {
    let mut members: Vec<Endpoint> =
        (1..=3).map(|n| listing(&format!("cache-{n}"), "a", "edge", "cache")).collect();
    members.extend((1..=2).map(|n| listing(&format!("parent-{n}"), "b", "hub", "parent")));
    members.push(listing("origin-1", "c", "hub", "origin"));
    members
}

fn director(carrier: &Carrier) -> Director {
    let builder = Director::builder(settings()).endpoint_source(StaticEndpoints(members())).seed(7);
    builder.connector(HostTransport::new(carrier.clone())).start().expect("a director")
}

/// Waits until it holds, for 5 s at most.
async fn until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let begun = Instant::now();
    while !holds().await {
        assert!(begun.elapsed() < Duration::from_secs(5), "{what}");
        sleep(Duration::from_millis(2)).await;
    }
}

async fn counts(director: &Director, class: &str) -> ClassCounts {
    director.metrics().await.expect("figures").requests[class]
}

async fn left(director: &Director, class: &str) -> (u64, u64) {
    let counts = counts(director, class).await;
    (counts.cancelled_not_run, counts.cancelled_may_have_run)
}

/// Whether nothing is held any more.
async fn empty(director: &Director) -> bool {
    let t = director.metrics().await.expect("figures").tables;
    (t.pending_requests, t.attempts_in_flight, t.cancelled_requests, t.health_checks) == (0, 0, 0, 0)
}

fn filing(object: &str) -> CacheRequest {
    CacheRequest::new("filing", object).body("a filing")
}

fn threads<T>(test: impl std::future::Future<Output = T>) -> T {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("one")
        .block_on(test)
}

#[test]
fn a_question_let_go_in_the_mailbox_is_sent_to_nobody() {
    threads(async {
        let busy = Arc::new(AtomicBool::new(false));
        let told = busy.clone();
        let carrier = Carrier::new(move |_, _| {
            told.store(true, Ordering::SeqCst);
            std::thread::sleep(Duration::from_millis(300)); // the director's thread stands still meanwhile
            served()
        });
        let director = director(&carrier);
        let first = director.send(CacheRequest::new("videos", "one"));
        until("it is busy", async || busy.load(Ordering::SeqCst)).await;
        drop(director.send(filing("two")));
        assert!(matches!(first.await, Ok(ClientResponse::Served(_))));
        until("it is counted", async || left(&director, "filing").await == (1, 0)).await;
        assert_eq!(carrier.asked().len(), 1);
        assert!(empty(&director).await);
    });
}

#[test]
fn a_question_let_go_while_its_attempt_runs_may_have_run_and_is_never_sent_again() {
    threads(async {
        let carrier = Carrier::new(|_, _| never());
        let director = director(&carrier);
        let pending = director.send(filing("one"));
        until("it is sent", async || carrier.asked().len() == 1).await;
        drop(pending);
        until("it is counted", async || left(&director, "filing").await == (0, 1)).await;
        until("nothing is left", async || empty(&director).await).await;
        sleep(Duration::from_millis(100)).await;
        assert_eq!(carrier.asked().len(), 1);
    });
}

#[test]
fn on_the_wire_what_was_written_or_is_being_answered_is_given_up_and_may_have_run() {
    for manner in [Manner::Silent, Manner::Stalls] {
        local(async {
            let origin = Server::start(manner).await;
            let told = StaticEndpoints(vec![origin.listing("s-origin", "hub", "origin")]);
            let director = Director::builder(settings()).endpoint_source(told).start().expect("a director");
            let pending = director.send(filing("one"));
            until("it is asked", async || origin.wants().len() == 1).await;
            drop(pending);
            until("it is counted", async || left(&director, "filing").await == (0, 1)).await;
            until("it is given up", async || {
                origin.lines.borrow().iter().any(|l| l.starts_with("never_mind"))
            })
            .await;
            assert_eq!(origin.wants().len(), 1);
            drop(director);
            until("connections are closed", async || origin.closed.get() == origin.connections.get()).await;
        });
    }
}

#[test]
fn what_no_connection_began_to_write_never_ran() {
    local(async {
        let server = Server::start(Manner::Silent).await;
        let (mailbox, mut inbox) = tokio::sync::mpsc::channel(16);
        let mut servers = foxhold::upstream::UpstreamConnector::new(standin::transport(), 4);
        let peer = servers.connect(
            ServerId(1),
            &server.listing("s", "edge", "cache"),
            DispatcherSender::new(mailbox),
        );
        let ticket = AttemptId { request: 1, attempt: 0 };
        let until = tokio::time::Instant::now() + Duration::from_secs(1);
        let want = want(ticket, "00000000000000aa", "filing", b"a filing".to_vec(), until);
        peer.try_send(EndpointCommand::Send(want)).expect("room");
        peer.try_send(EndpointCommand::Cancel(ticket)).expect("room");
        let told = tokio::time::timeout(Duration::from_secs(2), inbox.recv()).await.expect("word");
        assert!(
            matches!(
                told,
                Some(DispatcherMessage::AttemptCancelled(t, AttemptError::NotWritten)) if t == ticket
            ),
            "{told:?}"
        );
        sleep(Duration::from_millis(50)).await;
        assert_eq!(server.wants(), Vec::<String>::new());
    });
}

#[cfg(target_os = "linux")]
fn descriptors() -> usize {
    std::fs::read_dir("/proc/self/fd").expect("proc").count()
}

#[cfg(not(target_os = "linux"))]
fn descriptors() -> usize {
    0
}

#[test]
fn ten_thousand_questions_let_go_leave_nothing_behind() {
    local(async {
        let cache = Server::start(Manner::Silent).await;
        let told = StaticEndpoints(vec![cache.listing("s-cache", "edge", "cache")]);
        let director = Director::builder(settings()).endpoint_source(told).start().expect("a director");
        let mut before = 0;
        for round in 0..100 {
            let pending: Vec<_> = (0..100)
                .map(|n| director.send(CacheRequest::new("videos", format!("{round}-{n}"))))
                .collect();
            tokio::task::yield_now().await;
            if round % 10 == 0 {
                sleep(Duration::from_millis(5)).await; // some get as far as the wire
            }
            drop(pending);
            until("the round is over", async || empty(&director).await).await;
            if round == 4 {
                before = descriptors();
            }
        }
        let counts = counts(&director, "videos").await;
        let all = counts.cancelled_not_run
            + counts.cancelled_may_have_run
            + counts.rejected
            + counts.served
            + counts.failed;
        assert_eq!(all, 10_000, "{counts:?}");
        assert!(counts.cancelled_not_run > 0 && counts.cancelled_may_have_run > 0, "{counts:?}");
        let after = descriptors();
        assert!(after <= before + 8, "{before} descriptors, then {after}");
    });
}

#[test]
fn a_drain_told_to_the_handle_holds_against_the_source_with_questions_queued_and_fills_under_way() {
    threads(async {
        let carrier = Carrier::new(|_, _| {
            Box::pin(async {
                sleep(Duration::from_millis(30)).await;
                let verdict = ResponseStatus::Ok(Representation::default());
                Ok(UpstreamResponse {
                    status: verdict,
                    cache_status: CacheStatus::Filled,
                    source_wait: 0,
                    load_report: Vec::new(),
                })
            })
        });
        let director = director(&carrier);
        let ask = |n: usize| director.send(CacheRequest::new("videos", format!("object-{n}")).size_kb(1.0));
        let open: Vec<_> = (0..200).map(ask).collect();
        until("fills are under way", async || carrier.asked().len() > 50).await;
        // Hundreds of tasks clone and drop the handle meanwhile.
        let noise: Vec<_> = (0..300)
            .map(|_| {
                let director = director.clone();
                tokio::spawn(async move { drop(director.clone()) })
            })
            .collect();
        assert_eq!(director.drain("parent-1").await, Ok(true));
        assert_eq!(director.drain("cache-1").await, Ok(true));
        let told = Instant::now();
        assert_eq!(director.drain("cache-9").await, Ok(false), "it is not listed");
        // The source does not know of it yet, and says all over again that both run.
        director.members(true, members()).await.expect("a director");
        for n in 0..400 {
            let batch: Vec<_> = (0..10).map(|k| ask(1_000 + n * 10 + k)).collect();
            for one in batch {
                let _ = one.await;
            }
            if n % 100 == 0 {
                director.members(true, members()).await.expect("a director");
            }
            if told.elapsed() > Duration::from_millis(1_200) && n > 20 {
                break;
            }
        }
        for one in open {
            let _ = one.await;
        }
        for task in noise {
            task.await.expect("a task");
        }
        let late = |at: &Instant| *at > told + Duration::from_millis(20); // far within the second that it has
        let drained = |name: &str| matches!(name, "parent-1" | "cache-1");
        let after: Vec<_> = carrier.asked().into_iter().filter(|(_, _, at)| late(at)).collect();
        assert!(after.len() > 100, "{}", after.len());
        let wrong = after.iter().find(|(to, via, _)| drained(to) || via.as_deref().is_some_and(drained));
        assert_eq!(wrong, None);
        assert_eq!(director.undrain("cache-1").await, Ok(true));
        let before = carrier.asked().len();
        for n in 0..100 {
            let _ = ask(5_000 + n).await;
        }
        assert!(carrier.asked()[before..].iter().any(|a| a.0 == "cache-1"), "taken back");
    });
}

#[test]
fn a_host_that_blocks_its_own_runtime_holds_up_neither_deadlines_nor_drains() {
    // One thread for the host, which stands still for 800 ms.
    local(async {
        let dropped = Arc::new(Mutex::new(None));
        let noted = dropped.clone();
        struct Note(Arc<Mutex<Option<Instant>>>);
        impl Drop for Note {
            fn drop(&mut self) {
                self.0.lock().expect("a note").get_or_insert_with(Instant::now);
            }
        }
        let carrier = Carrier::new(move |_, _| {
            let note = Note(noted.clone());
            Box::pin(async move {
                let _note = note;
                std::future::pending().await
            })
        });
        let director = director(&carrier);
        let begun = Instant::now();
        let pending = director.send(CacheRequest::new("videos", "one").timeout(Duration::from_millis(300)));
        until("it is sent", async || !carrier.asked().is_empty()).await;
        let handle = director.clone();
        let drained = std::thread::spawn(move || {
            // Another thread of the host tells of a drain in the midst of it.
            std::thread::sleep(Duration::from_millis(100));
            let runtime = tokio::runtime::Builder::new_current_thread().build().expect("one");
            runtime.block_on(handle.drain("parent-2")).expect("a director");
            Instant::now()
        });
        std::thread::sleep(Duration::from_millis(800));
        let called_off = dropped.lock().expect("a note").expect("called off");
        assert!(called_off < begun + Duration::from_millis(400), "{:?}", called_off - begun);
        assert!(drained.join().expect("a thread") < begun + Duration::from_millis(300));
        assert!(matches!(
            pending.await,
            Ok(ClientResponse::Rejected { reason: FailureReason::DeadlineExceeded, .. })
        ));
    });
}

#[test]
fn two_directors_in_one_process_share_nothing_and_end_apart() {
    threads(async {
        let (one, other) = (Carrier::new(|_, _| served()), Carrier::new(|_, _| never()));
        let first = director(&one);
        let mut settings = settings();
        settings.classes[0].name = "pages".into();
        let builder = Director::builder(settings).endpoint_source(StaticEndpoints(members())).seed(8);
        let second = builder.connector(HostTransport::new(other.clone())).start().expect("a director");
        assert!(matches!(first.send(CacheRequest::new("videos", "a")).await, Ok(ClientResponse::Served(_))));
        let unknown = second.send(CacheRequest::new("videos", "a")).await;
        assert_eq!(unknown, Err(SendError::UnknownClass("videos".into())));
        let open = [
            second.send(CacheRequest::new("pages", "a")),
            second.send(CacheRequest::new("filing", "b").body("x")),
        ];
        until("both are sent", async || other.asked().len() == 2).await;
        let begun = Instant::now();
        let shutdown = second.shutdown(Duration::from_millis(100)).await.expect("an end");
        assert_eq!((shutdown.open, shutdown.cut_off), (2, 2));
        assert!(begun.elapsed() < Duration::from_secs(1));
        for one in open {
            assert_eq!(one.await, Err(SendError::Stopped { may_have_run: true }));
        }
        let late = second.send(filing("c")).await;
        assert_eq!(late, Err(SendError::Stopped { may_have_run: false }), "at once");
        assert_eq!(second.drain("cache-1").await, Err(Stopped));
        assert_eq!(second.members(true, members()).await, Err(Stopped));
        assert!(second.metrics().await.is_err() && second.shutdown(Duration::ZERO).await.is_err());
        assert!(
            matches!(first.send(CacheRequest::new("videos", "b")).await, Ok(ClientResponse::Served(_))),
            "it lives on"
        );
        let shutdown = first.shutdown(Duration::from_secs(5)).await.expect("an end");
        assert_eq!((shutdown.open, shutdown.cut_off), (0, 0));
    });
}

#[test]
fn a_transport_that_panics_or_lies_costs_its_attempts_and_not_the_director() {
    threads(async {
        let calls = Arc::new(AtomicUsize::new(0));
        let count = calls.clone();
        let carrier = Carrier::new(move |_, want| match count.fetch_add(1, Ordering::SeqCst) {
            0 => panic!("in the call"),
            1 => Box::pin(async { panic!("in the task") }),
            _ if want.body.is_empty() => served(),
            _ => Box::pin(async { panic!("with a filing in hand") }),
        });
        let director = director(&carrier);
        // A panic in the call itself poisons the test's own lock; the director does not care.
        let _ = director.send(CacheRequest::new("videos", "a").timeout(Duration::from_millis(300))).await;
        assert!(director.metrics().await.is_ok());
    });
    threads(async {
        let carrier = Carrier::new(|_, want| match want.body.is_empty() {
            true => served(),
            false => Box::pin(async { panic!("with a filing in hand") }),
        });
        let director = director(&carrier);
        let answer = director.send(filing("a")).await;
        assert_eq!(answer, Ok(ClientResponse::Failed(FailureReason::UpstreamFailed)), "it may have run");
        assert_eq!(carrier.asked().len(), 1, "and does not run twice");
        // Ends of attempts that are not out, and a second end of one that was.
        for attempt in 0..3 {
            let ticket = AttemptId { request: 1, attempt };
            director
                .dispatcher()
                .sender()
                .send(DispatcherMessage::AttemptEnded(ticket, Err(AttemptError::NotWritten)))
                .await;
            director
                .dispatcher()
                .sender()
                .send(DispatcherMessage::AttemptCancelled(ticket, AttemptError::NotWritten))
                .await;
        }
        assert!(matches!(
            director.send(CacheRequest::new("videos", "b")).await,
            Ok(ClientResponse::Served(_))
        ));
        assert_eq!(counts(&director, "filing").await.failed, 1);
    });
    struct Broke;
    impl EndpointConnector for Broke {
        fn connect(
            &mut self,
            _: ServerId,
            _: &Endpoint,
            _: DispatcherSender,
        ) -> tokio::sync::mpsc::Sender<EndpointCommand> {
            panic!("no peer")
        }
    }
    threads(async {
        let director = Director::builder(settings())
            .endpoint_source(StaticEndpoints(members()))
            .connector(Broke)
            .start();
        let director = director.expect("a director");
        let answer = director.send(CacheRequest::new("videos", "a")).await;
        assert!(matches!(answer, Ok(ClientResponse::Rejected { .. })), "{answer:?}");
    });
}

#[test]
fn questions_that_cant_be_put_are_errors_that_say_that_nothing_ran() {
    threads(async {
        let director = director(&Carrier::new(|_, _| served()));
        let ask = |question| director.send(question);
        let errors = [
            ask(CacheRequest::new("nothing", "a")).await,
            ask(CacheRequest::new("videos", "a,b")).await,
            ask(CacheRequest::new("videos", "a").body("bytes")).await,
            ask(CacheRequest::new("filing", "a").body(vec![0; MAX_WRITE_BYTES + 1])).await,
        ];
        for error in errors {
            let error = error.expect_err("an error");
            assert!(!error.may_have_run() && !error.to_string().is_empty());
        }
        let twice = ["00000000000000aa"; 2].map(|id| ask(CacheRequest::new("videos", "a").id(id)));
        let [first, second] = twice;
        let answers = (first.await, second.await);
        assert!(matches!(answers.0, Ok(ClientResponse::Served(_))));
        assert!(matches!(
            answers.1,
            Ok(ClientResponse::Failed(FailureReason::DuplicateRequest) | ClientResponse::Served(_))
        ));
    });
}

#[test]
fn settings_change_for_questions_to_come_and_a_bad_start_says_why() {
    threads(async {
        let director = director(&Carrier::new(|_, _| served()));
        let mut later = settings();
        later.classes[0].name = "pages".into();
        director.reload(later).await.expect("a director");
        until("it is taken over", async || director.settings().class_index("pages").is_some()).await;
        assert!(matches!(
            director.send(CacheRequest::new("pages", "a")).await,
            Ok(ClientResponse::Served(_))
        ));
        let none = director.send(CacheRequest::new("videos", "a")).await;
        assert_eq!(none, Err(SendError::UnknownClass("videos".into())));
        let error = Director::builder(Settings::default()).start().expect_err("no classes");
        assert!(error.to_string().contains("no classes"), "{error}");
        let missing = foxhold::discovery::XdsFile::new("/nowhere/members.json");
        let error = Director::builder(settings()).endpoint_source(missing).start().expect_err("no file");
        assert!(error.to_string().contains("/nowhere/members.json"), "{error}");
    });
}
