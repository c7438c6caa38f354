//! The follower of the notice board against a stand-in board on loopback.

mod standin;

use foxhold::discovery::client;
use foxhold::dispatch::{DispatcherMessage, DispatcherSender};
use standin::local;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;

const SOON: Duration = Duration::from_secs(5);

struct Board {
    listener: TcpListener,
    news: mpsc::Receiver<DispatcherMessage>,
    address: watch::Sender<String>,
}

async fn listener() -> (TcpListener, String) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    (listener, address)
}

impl Board {
    /// A follower that has the events up to 3.
    async fn start(purges_only: bool) -> Board {
        let (listener, address) = listener().await;
        let (reports, news) = mpsc::channel(16);
        let (address, at) = watch::channel(address);
        tokio::task::spawn_local(client::follow(at, 3, purges_only, DispatcherSender::new(reports), None));
        Board { listener, news, address }
    }

    /// The follower's next connection, and what it asks for.
    async fn connection(&self) -> (TcpStream, String) {
        let accepted = timeout(SOON, self.listener.accept()).await.expect("a connection in time");
        let (stream, _) = accepted.expect("a connection");
        let mut stream = BufReader::new(stream);
        let mut line = String::new();
        stream.read_line(&mut line).await.expect("a line");
        (stream.into_inner(), line)
    }

    /// The object of the next purge that it reports.
    async fn purge(&mut self) -> String {
        match timeout(SOON, self.news.recv()).await.expect("news in time") {
            Some(DispatcherMessage::Purged { object: Some(object), .. }) => object.to_string(),
            other => panic!("{other:?}"),
        }
    }
}

fn purge(rev: u64) -> String {
    format!("{{\"rev\":{rev},\"flush\":{{\"asset\":\"{rev}\",\"ms\":1764576000123}}}}\n")
}

const MEMBERS: &str = "{\"rev\":5,\"pool\":{\"complete\":true,\"members\":[]}}\n";

#[test]
fn after_a_break_it_asks_for_what_it_has_not_had_and_takes_nothing_twice() {
    local(async {
        let mut board = Board::start(false).await;
        let (mut stream, asked) = board.connection().await;
        assert_eq!(asked, "watch 3\n");
        stream.write_all(purge(4).as_bytes()).await.expect("a reader");
        assert_eq!(board.purge().await, "4");
        drop(stream);
        let (mut stream, asked) = board.connection().await;
        assert_eq!(asked, "watch 4\n");
        stream.write_all((purge(4) + "4\n" + &purge(5)).as_bytes()).await.expect("a reader");
        assert_eq!(board.purge().await, "5");
    });
}

#[test]
fn a_bad_line_a_number_ahead_or_silence_ends_the_connection() {
    // What was read before the fault counts, and the event that was missed comes on the next connection.
    for fault in ["{\"rev\":\n", "{\"rev\":5,\"flush\":{\"ms\":1}}\n", "9\n", ""] {
        local(async {
            let mut board = Board::start(false).await;
            let (mut stream, _) = board.connection().await;
            stream.write_all((purge(4) + fault).as_bytes()).await.expect("a reader");
            assert_eq!(board.purge().await, "4");
            let (_, asked) = board.connection().await;
            assert_eq!(asked, "watch 4\n", "{fault}");
            drop(stream);
        });
    }
}

/// An event that can't be read would else be asked for anew for ever, with nothing behind it heard.
#[test]
fn an_event_that_can_t_be_read_twice_is_passed_over_and_what_follows_is_heard() {
    let unknown =
        "{\"rev\":5,\"pool\":{\"members\":[{\"id\":\"s\",\"host_port\":\"127.0.0.1:1\",\"locality\":\"a\",\
                   \"flavor\":\"b\",\"phase\":\"resting\"}]}}\n";
    for bad in [unknown, "{\"rev\":5\n"] {
        local(async {
            let mut board = Board::start(false).await;
            let (mut stream, _) = board.connection().await;
            stream.write_all((purge(4) + bad + &purge(6)).as_bytes()).await.expect("a reader");
            assert_eq!(board.purge().await, "4");
            let (mut stream, asked) = board.connection().await;
            assert_eq!(asked, "watch 4\n", "it may have been spoilt on the way");
            stream.write_all((bad.to_owned() + &purge(6)).as_bytes()).await.expect("a reader");
            assert_eq!(board.purge().await, "6");
            // The newest of all would be missed with each second's number, were that not its own.
            stream.write_all(bad.replace('5', "7").as_bytes()).await.expect("a reader");
            let (mut stream, asked) = board.connection().await;
            assert_eq!(asked, "watch 6\n");
            stream
                .write_all((bad.replace('5', "7") + "7\n7\n" + &purge(8)).as_bytes())
                .await
                .expect("a reader");
            assert_eq!(board.purge().await, "8");
            drop(stream);
            assert_eq!(board.connection().await.1, "watch 8\n");
        });
    }
}

#[test]
fn where_the_list_comes_from_a_file_the_board_tells_of_purges_only() {
    for purges_only in [false, true] {
        local(async {
            let mut board = Board::start(purges_only).await;
            let (mut stream, _) = board.connection().await;
            let events = purge(4) + MEMBERS + &purge(6);
            stream.write_all(events.as_bytes()).await.expect("a reader");
            assert_eq!(board.purge().await, "4");
            if !purges_only {
                assert!(matches!(
                    board.news.recv().await,
                    Some(DispatcherMessage::Members { full: true, .. })
                ));
            }
            assert_eq!(board.purge().await, "6");
        });
    }
}

/// Guards against waiting on the old board until it closes: it tells nothing more, and drains count as told.
#[test]
fn a_new_address_is_turned_to_at_once_with_the_last_number() {
    local(async {
        let mut board = Board::start(false).await;
        let (mut old, _) = board.connection().await;
        // The last event is torn, so that it has to come anew.
        old.write_all((purge(4) + &purge(5)[..20]).as_bytes()).await.expect("a reader");
        assert_eq!(board.purge().await, "4");
        let (listener, address) = listener().await;
        board.listener = listener;
        board.address.send(address).expect("a follower");
        let (mut stream, asked) = board.connection().await;
        assert_eq!(asked, "watch 4\n");
        stream.write_all((purge(5) + &purge(5) + &purge(6)).as_bytes()).await.expect("a reader");
        assert_eq!(board.purge().await, "5");
        assert_eq!(board.purge().await, "6");
    });
}

/// Before: all came back 103 to 105 ms later.
#[test]
fn many_that_a_board_lets_go_at_once_come_back_apart_and_none_later_than_before() {
    local(async {
        let (listener, at) = listener().await;
        let mut told = Vec::new();
        for _ in 0..60 {
            let (reports, news) = mpsc::channel(16);
            let (address, follows) = watch::channel(at.clone());
            tokio::task::spawn_local(client::follow(follows, 3, false, DispatcherSender::new(reports), None));
            told.push((address, news));
        }
        let mut first = Vec::new();
        for _ in 0..60 {
            first.push(listener.accept().await.expect("a connection"));
        }
        let let_go = std::time::Instant::now();
        drop(first);
        let mut back = Vec::new();
        for _ in 0..60 {
            let _held = listener.accept().await.expect("a connection");
            back.push(let_go.elapsed().as_secs_f64() * 1e3);
            std::mem::forget(_held);
        }
        // The wait after a first break is 100 ms at most: it doubles before it is taken.
        let (soonest, latest) = (back[0], back[59]);
        assert!(latest - soonest > 25.0, "{soonest} to {latest}");
        let fullest =
            back.iter().map(|at| back.iter().filter(|b| (*at..at + 5.0).contains(*b)).count()).max();
        assert!(fullest < Some(30), "{fullest:?} of 60 within 5 ms");
        assert!(latest < 200.0, "{latest}");
    });
}

/// Waits grew with each break of a good connection that had no events, up to 0.8 s, and never shrank again.
#[test]
fn a_board_that_told_there_was_no_news_is_come_back_to_as_soon_each_time() {
    local(async {
        let board = Board::start(false).await;
        let begun = std::time::Instant::now();
        for _ in 0..8 {
            let (mut stream, asked) = board.connection().await;
            assert_eq!(asked, "watch 3\n");
            stream.write_all(b"3\n").await.expect("a reader");
        }
        // Doubled each time it would be over 3 s.
        assert!(begun.elapsed() < std::time::Duration::from_millis(1500), "{:?}", begun.elapsed());
    });
}

/// A board of a machine that takes no connections: its queue is full, and what comes is dropped.
struct Unreachable {
    listener: TcpListener,
    address: String,
    _queue: Vec<TcpStream>,
}

impl Unreachable {
    async fn start() -> Unreachable {
        let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
        socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
        let listener = socket.listen(1).expect("a listener");
        let address = listener.local_addr().expect("an address").to_string();
        let mut queue = Vec::new();
        while let Ok(stream) = timeout(Duration::from_millis(200), TcpStream::connect(&address)).await {
            queue.push(stream.expect("a connection"));
        }
        Unreachable { listener, address, _queue: queue }
    }

    /// Takes connections again until a follower asks for news; how long that was in coming.
    async fn returns(self) -> Duration {
        let begun = std::time::Instant::now();
        let (asked, mut news) = mpsc::channel(16);
        let listener = self.listener;
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let asked = asked.clone();
                tokio::task::spawn_local(async move {
                    let (mut stream, mut line) = (BufReader::new(stream), String::new());
                    if matches!(stream.read_line(&mut line).await, Ok(1..)) {
                        let _ = asked.send(line).await; // one that came earlier was enough
                    }
                });
            }
        });
        assert_eq!(timeout(SOON, news.recv()).await.expect("in time").as_deref(), Some("watch 3\n"));
        begun.elapsed()
    }
}

/// Guards against the wait for a lost connection and the wait after it taking over a second together.
#[test]
fn a_board_whose_machine_took_no_connections_is_followed_within_a_second_of_its_return() {
    local(async {
        let mut returns = Vec::new();
        for n in 0..10 {
            let board = Unreachable::start().await;
            let (reports, news) = mpsc::channel(16);
            let (address, at) = watch::channel(board.address.clone());
            tokio::task::spawn_local(client::follow(at, 3, false, DispatcherSender::new(reports), None));
            returns.push(tokio::task::spawn_local(async move {
                // By then the wait is as long as it gets; each returns at another moment of it.
                tokio::time::sleep(Duration::from_millis(4_000 + 170 * n)).await;
                let took = board.returns().await;
                drop((address, news));
                took
            }));
        }
        let mut times = Vec::new();
        for time in returns {
            times.push(time.await.expect("a board that is followed"));
        }
        times.sort();
        println!("followed after {:.0?} to {:.0?}", times[0], times[times.len() - 1]);
        assert!(times[times.len() - 1] <= Duration::from_secs(1), "{times:?}");
    });
}

/// Guards against a silence being seen only on a connection that never spoke: here it comes after seconds of
/// good news, between two lines or within one.
#[test]
fn a_watch_that_falls_silent_late_is_left_in_time_and_asked_for_what_is_missing() {
    for last_words in ["4\n", "{\"rev\":5,\"flush\":{\"asset\":"] {
        local(async {
            let mut board = Board::start(false).await;
            let (mut stream, _) = board.connection().await;
            stream.write_all(purge(4).as_bytes()).await.expect("a reader");
            assert_eq!(board.purge().await, "4");
            for _ in 0..4 {
                stream.write_all(b"4\n").await.expect("a reader");
                tokio::time::sleep(Duration::from_secs(1)).await;
            }
            stream.write_all(last_words.as_bytes()).await.expect("a reader");
            let silent = std::time::Instant::now();
            let (mut stream, asked) = board.connection().await;
            let took = silent.elapsed();
            assert_eq!(asked, "watch 4\n", "{last_words}");
            assert!(took >= Duration::from_secs(2) && took < Duration::from_millis(3_500), "{took:?}");
            stream.write_all((purge(5) + "5\n").as_bytes()).await.expect("a reader");
            assert_eq!(board.purge().await, "5");
        });
    }
}

/// Guards against a list that comes in place of news being passed over, or its number not being taken.
#[test]
fn a_whole_list_in_place_of_news_is_taken_with_its_number_and_an_old_one_is_not() {
    let whole = |rev: u64| MEMBERS.replace("\"rev\":5", &format!("\"rev\":{rev}"));
    local(async {
        let mut board = Board::start(false).await;
        let (mut stream, _) = board.connection().await;
        // Events 4 to 8 are in the list; it comes again, and an older one after it.
        let lines = whole(9) + "9\n" + &whole(9) + &whole(2) + &purge(10);
        stream.write_all(lines.as_bytes()).await.expect("a reader");
        let first = timeout(SOON, board.news.recv()).await.expect("news in time");
        assert!(matches!(first, Some(DispatcherMessage::Members { full: true, .. })), "{first:?}");
        assert_eq!(board.purge().await, "10", "neither list again");
        drop(stream);
        assert_eq!(board.connection().await.1, "watch 10\n");
    });
}
