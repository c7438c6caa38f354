//! Starts the example deployment and a director, and sends requests through each frontend: `make demo`.

#[path = "example_servers.rs"]
mod servers;
#[path = "sign.rs"]
#[allow(dead_code, reason = "only `link` is used here")]
mod sign;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::process::{Child, Command};
use std::time::{Duration, Instant};

const PLATFORM_ADDRESS: &str = "127.0.0.1:7100";
const SIGNED_ADDRESS: &str = "127.0.0.1:7101";

fn main() -> Result<(), Box<dyn std::error::Error>> {
    std::thread::spawn(|| {
        if let Err(error) = servers::main() {
            eprintln!("example servers: {error}; are they running already?");
            std::process::exit(1);
        }
    });
    let program = std::env::args().nth(1).unwrap_or("target/release/foxhold".into());
    let director = Command::new(&program)
        .env("ROUTER_CONFIG", "examples/config.json")
        .env("FOXHOLD_FRONT", "examples/foxhold.yaml")
        .spawn()
        .map_err(|e| format!("{program}: {e}"))?;
    let _director = Director(director);
    let started = Instant::now();
    while TcpStream::connect(SIGNED_ADDRESS).is_err() {
        if started.elapsed() > Duration::from_secs(5) {
            return Err(format!("the director did not listen on {SIGNED_ADDRESS} within 5 s").into());
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    let id = |n: u32| format!("X-Job-Id: {n:016x}\r\n");
    let object = "/ops/guide-videos/7f3a9c21e0b4d655";
    request("a part of an object", PLATFORM_ADDRESS, &format!("GET {object}?block=2"), &id(1), "")?;
    let filing = "PUT /ops/filing-submit/00000000000000aa";
    request("a filing, which runs at the origin", PLATFORM_ADDRESS, filing, &id(2), "a filing")?;
    request("a class that is not there", PLATFORM_ADDRESS, "GET /ops/nothing/00000000000000aa", &id(3), "")?;
    let link = sign::link("/guide-videos/one.mp4")?;
    let target = link.trim_start_matches("http://").trim_start_matches(SIGNED_ADDRESS);
    request("a signed link", SIGNED_ADDRESS, &format!("GET {target}"), "", "")?;
    let forged = target.replace("one.mp4", "two.mp4");
    request("the same link for another object", SIGNED_ADDRESS, &format!("GET {forged}"), "", "")?;
    Ok(())
}

/// The director's process, killed when this is dropped.
struct Director(Child);

impl Drop for Director {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn request(title: &str, address: &str, line: &str, headers: &str, body: &str) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    let length = body.len();
    write!(
        stream,
        "{line} HTTP/1.1\r\nHost: {address}\r\n{headers}Content-Length: {length}\r\nConnection: close\r\n\r\n{body}"
    )?;
    let mut response = String::new();
    stream.read_to_string(&mut response)?;
    let (head, body) = response.split_once("\r\n\r\n").unwrap_or((&response, ""));
    println!("\n{title}\n  sent   {address} {line}\n  got    {}", head.lines().next().unwrap_or("nothing"));
    if !body.is_empty() {
        println!("         {}", body.trim_end());
    }
    Ok(())
}
