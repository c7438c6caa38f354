//! The operators' door, and the settings that change while the program runs.

mod standin;

use foxhold::config::platform::PlatformConfig;
use foxhold::dispatch::{Clock, DispatcherMessage};
use foxhold::frontend::admin::{self, AdminEndpoint, ReloadCounters};
use foxhold::frontend::platform::PlatformFrontend;
use foxhold::frontend::serve::ShutdownPhase;
use foxhold::policy::types::*;
use standin::*;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

const COPY: Manner = Manner::Says("ID ACK res=cached 5\r\nbytes\r\n");

fn get(class: &str, id: u64) -> String {
    format!(
        "GET /ops/{class}/7f3a9c21e0b4d655 HTTP/1.1\r\nX-Job-Id: {id:016x}\r\nX-Allow-Ms: 1000\r\n\
         Connection: close\r\n\r\n"
    )
}

async fn call(address: &str, line: &str) -> String {
    let mut stream = TcpStream::connect(address).await.expect("a door");
    stream.write_all(line.as_bytes()).await.expect("a reader");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.expect("text");
    answer
}

/// Guards against figures that are untrue, and against callers that say nothing keeping others out.
#[test]
fn the_door_answers_at_once_and_truly_beside_callers_that_say_nothing() {
    local(async {
        let ([cache, ..], members) = trio(COPY).await;
        let core = start(settings(), Clock::system(), members);
        let front = serve(&core, PlatformFrontend(core.clone())).await;
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address").to_string();
        let (close, closing) = watch::channel(ShutdownPhase::Running);
        let (open, reloads) = (Rc::new(Cell::new(0)), Rc::new(ReloadCounters::default()));
        let peers = None;
        let door = AdminEndpoint {
            dispatcher: core.clone(),
            requests_in_flight: open.clone(),
            shutdown: closing,
            reloads: reloads.clone(),
            peers,
        };
        tokio::task::spawn_local(admin::accept(listener, door));
        for n in 0..3 {
            assert_eq!(send(&front, &get("videos", n)).await.status, 200);
        }
        *cache.manner.borrow_mut() = Manner::Silent;
        core.sender().send(DispatcherMessage::Members { full: true, members: Vec::new() }).await;
        assert_eq!(send(&front, &get("videos", 3)).await.status, 503);
        open.set(2);
        reloads.failed.set(1);
        let mut silent = Vec::new();
        for n in 0..40 {
            let mut stream = TcpStream::connect(&address).await.expect("a door");
            stream.write_all(&b"var"[..n % 4]).await.expect("a reader");
            silent.push(stream);
        }
        let begun = Instant::now();
        assert_eq!(call(&address, "check\n").await, "YES\n");
        let figures = call(&address, "vars\r\n").await;
        assert!(begun.elapsed() < Duration::from_millis(500), "{:?}", begun.elapsed());
        for part in [
            r#""videos":{"served":3,"refused":1,"failed":0}"#,
            r#""filing":{"served":0,"refused":0,"failed":0}"#,
            r#""attempts":3,"in_flight":2,"caches_known":0,"caches_excluded":0"#,
            r#""reloads_ok":0,"reloads_failed":1}"#,
        ] {
            assert!(figures.contains(part), "{part} in {figures}");
        }
        assert!(figures.ends_with("}\nEND\n"), "{figures}");
        assert!(call(&address, "reboot\n").await.starts_with("NO "));
        assert!(call(&address, &"x".repeat(300)).await.starts_with("NO "), "a call without an end");
        close.send(ShutdownPhase::CloseAfterResponse).expect("a door");
        assert!(call(&address, "check\n").await.starts_with("NO "), "a process that ends");
    });
}

fn example() -> PlatformConfig {
    PlatformConfig::parse(include_str!("../examples/config.json")).expect("a good configuration")
}

/// Guards against taking over a part of a file that can't be used, such as a board nobody listens at.
#[test]
fn a_configuration_that_lacks_a_key_or_has_figures_that_can_t_be_is_turned_down() {
    let text = include_str!("../examples/config.json");
    let turned_down = |text: &str| match PlatformConfig::parse(text) {
        Ok(later) => later.can_replace(&example()).is_err(),
        Err(_) => true,
    };
    assert!(!turned_down(text));
    assert!(!turned_down(&text.replace("\"maxAttempts\": 6", "\"maxAttempts\": 2")));
    for (from, to) in [
        ("\"deadlineMs\": 5000", "\"deadlineMs\": -5"),
        ("\"deadlineMs\": 5000", "\"deadlineMs\": 0"),
        ("\"deadlineMs\": 5000", "\"deadlineMs\": \"soon\""),
        ("\"deadlineMs\": 5000, ", ""),
        ("\"maxAttempts\": 6", "\"maxAttempts\": 0"),
        ("\"maxAttempts\": 6", "\"maxAttempts\": null"),
        ("\"maxAttempts\": 6, ", ""),
        ("\"board\": \"127.0.0.1:7200\",", ""),
        ("\"limits\": {\"cores\": 1.0, \"memory_mb\": 192, \"sockets\": 1024},", ""),
        ("\"stopSendingWithinMs\": 1000, ", ""),
        ("\"services\"", "\"servants\""),
        ("\"settings\"", "\"setting\""),
    ] {
        let changed = text.replacen(from, to, 1);
        assert_ne!(changed, text, "{from}");
        assert!(turned_down(&changed), "{from} -> {to}");
    }
    for cut in (0..text.trim_end().len()).step_by(7) {
        assert!(turned_down(&text[..cut]), "cut at {cut}");
    }
}

/// Guards open requests against the rules of a class that came later, and the table against growing.
#[test]
fn classes_keep_their_places_while_requests_have_them() {
    let with = |names: &[&str]| {
        let class = |name: &&str| Class { name: (*name).to_owned(), deadline: 7, ..Class::default() };
        Settings { classes: names.iter().map(class).collect(), ..Settings::default() }
    };
    let first = with(&["a", "b"]);
    let second = first.updated_to(with(&["b", "c"]), |_| false);
    assert_eq!(
        (second.class_index("a"), second.class_index("b"), second.class_index("c")),
        (None, Some(1), Some(2))
    );
    assert_eq!(second.classes[0], Class { retired: true, ..first.classes[0].clone() });
    let in_use = second.updated_to(with(&["b", "c", "d"]), |place| place == 0);
    assert_eq!(in_use.class_index("d"), Some(3), "an open request has place 0");
    let free = second.updated_to(with(&["b", "c", "d"]), |_| false);
    assert_eq!((free.class_index("d"), free.classes.len()), (Some(0), 3));
    let mut other = with(&["b", "c"]);
    other.classes[0].idempotency = Idempotency::AtMostOnce;
    let changed = second.updated_to(other, |_| true);
    assert_eq!(changed.classes[1].idempotency, Idempotency::Idempotent, "what is open keeps the old rules");
    assert_eq!(
        changed.classes[changed.class_index("b").expect("a class")].idempotency,
        Idempotency::AtMostOnce
    );
    let mut grown = first;
    for n in 0..1000 {
        grown = grown.updated_to(with(&[&format!("n{n}")]), |_| false);
    }
    assert!(grown.classes.len() <= 5, "{}", grown.classes.len());
}

/// Guards against requests of a new class being unknown, and of a dropped one still being served.
#[test]
fn requests_of_new_classes_are_served_and_of_dropped_ones_are_not() {
    local(async {
        let (servers, members) = trio(COPY).await;
        let core = start(settings(), Clock::system(), members);
        let front = serve(&core, PlatformFrontend(core.clone())).await;
        assert_eq!(send(&front, &get("films", 1)).await.status, 404);
        let mut later = settings();
        later.classes[0].name = "films".into();
        core.sender().send(DispatcherMessage::Settings(Box::new(later))).await;
        core.metrics().await.expect("a core");
        assert_eq!(send(&front, &get("films", 2)).await.status, 200);
        assert_eq!(send(&front, &get("videos", 3)).await.status, 404);
        assert!(servers[0].wants()[0].contains("kind=films,"), "{:?}", servers[0].wants());
    });
}
