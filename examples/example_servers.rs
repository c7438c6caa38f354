//! The servers of the example deployment, on loopback: a cache, a parent and an origin, which hold every object,
//! and a discovery service without changes. Start them before the director (see README.md).

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

/// The servers in `examples/config.json`.
const SERVERS: [(&str, &str); 3] = [
    ("example-cache", "127.0.0.1:7201"),
    ("example-parent", "127.0.0.1:7202"),
    ("example-origin", "127.0.0.1:7203"),
];
const DISCOVERY_ADDRESS: &str = "127.0.0.1:7200";
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// The line end after a request's body.
const LINE_END_BYTES: usize = 2;

/// Serves until the process ends.
pub fn main() -> std::io::Result<()> {
    for (name, address) in SERVERS {
        let listener = TcpListener::bind(address)?;
        println!("{name} on {address}");
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                thread::spawn(move || serve(name, stream));
            }
        });
    }
    let discovery = TcpListener::bind(DISCOVERY_ADDRESS)?;
    println!("discovery service on {DISCOVERY_ADDRESS}");
    for stream in discovery.incoming().flatten() {
        thread::spawn(move || send_heartbeats(stream));
    }
    Ok(())
}

/// Answers each request at once, with a body that names the server.
fn serve(name: &str, stream: TcpStream) -> std::io::Result<()> {
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(());
        }
        let words: Vec<&str> = line.split_whitespace().collect();
        match words[..] {
            ["want", id, fields, length] => {
                let mut body = vec![0; length.parse::<usize>().unwrap_or(0) + LINE_END_BYTES];
                reader.read_exact(&mut body)?;
                println!("{name}: {}", line.trim_end());
                let text = format!("{name} gives {fields}\n");
                write!(writer, "{id} ACK tag=example,res=cached {}\r\n{text}\r\n", text.len())?;
            }
            ["busy", tag] => write!(writer, "{tag} READY - 0\r\n\r\n")?,
            _ => {}
        }
    }
}

/// Sends a heartbeat each second with the revision of the member list in the configuration.
fn send_heartbeats(mut stream: TcpStream) -> std::io::Result<()> {
    loop {
        stream.write_all(b"1\n")?;
        thread::sleep(HEARTBEAT_INTERVAL);
    }
}
