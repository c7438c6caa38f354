//! The toy deployment, the director before it, and some requests through each front, in one go: `make demo`.

#[path = "sign.rs"]
#[allow(dead_code)]
mod sign;
#[path = "toy_server.rs"]
mod toys;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::process::{Child, Command};
use std::time::{Duration, Instant};

const PLATFORM: &str = "127.0.0.1:7100";
const SIGNED: &str = "127.0.0.1:7101";

fn main() -> Result<(), Box<dyn std::error::Error>> {
    std::thread::spawn(|| {
        if let Err(error) = toys::main() {
            eprintln!("the toy deployment: {error}; is one running already?");
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
    let begun = Instant::now();
    while TcpStream::connect(SIGNED).is_err() {
        if begun.elapsed() > Duration::from_secs(5) {
            return Err("the director did not come up".into());
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    let id = |n: u32| format!("X-Job-Id: {n:016x}\r\n");
    let object = "/ops/guide-videos/7f3a9c21e0b4d655";
    ask("a part of an object", PLATFORM, &format!("GET {object}?block=2"), &id(1), "")?;
    let filing = "PUT /ops/filing-submit/00000000000000aa";
    ask("a filing, which runs at the origin", PLATFORM, filing, &id(2), "a filing")?;
    ask("a class that is not there", PLATFORM, "GET /ops/nothing/00000000000000aa", &id(3), "")?;
    let link = sign::link("/guide-videos/one.mp4")?;
    let target = link.trim_start_matches("http://").trim_start_matches(SIGNED);
    ask("a signed link", SIGNED, &format!("GET {target}"), "", "")?;
    let forged = target.replace("one.mp4", "two.mp4");
    ask("the same link for another object", SIGNED, &format!("GET {forged}"), "", "")?;
    Ok(())
}

/// The director's process, which does not outlive the demonstration.
struct Director(Child);

impl Drop for Director {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn ask(what: &str, address: &str, line: &str, headers: &str, body: &str) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    let length = body.len();
    write!(
        stream,
        "{line} HTTP/1.1\r\nHost: {address}\r\n{headers}Content-Length: {length}\r\nConnection: close\r\n\r\n{body}"
    )?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    let (head, body) = answer.split_once("\r\n\r\n").unwrap_or((&answer, ""));
    println!("\n{what}\n  asked  {address} {line}\n  got    {}", head.lines().next().unwrap_or("nothing"));
    if !body.is_empty() {
        println!("         {}", body.trim_end());
    }
    Ok(())
}
