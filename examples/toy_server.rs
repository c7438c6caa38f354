//! A toy deployment on loopback for trying foxhold: a cache, a parent and an origin that hold everything, and
//! a notice board on which nothing happens. Start it, then the director (see README.md).

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

/// Serves until the program ends.
pub fn main() -> std::io::Result<()> {
    let servers =
        [("toy-cache", "127.0.0.1:7201"), ("toy-parent", "127.0.0.1:7202"), ("toy-origin", "127.0.0.1:7203")];
    for (name, address) in servers {
        let listener = TcpListener::bind(address)?;
        println!("{name} on {address}");
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                thread::spawn(move || serve(name, stream));
            }
        });
    }
    let board = TcpListener::bind("127.0.0.1:7200")?;
    println!("notice board on 127.0.0.1:7200");
    for stream in board.incoming().flatten() {
        thread::spawn(move || tell(stream));
    }
    Ok(())
}

/// Answers each request at once, with bytes that say who gave them.
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
                let mut body = vec![0; length.parse::<usize>().unwrap_or(0) + 2];
                reader.read_exact(&mut body)?;
                println!("{name}: {}", line.trim_end());
                let text = format!("{name} gives {fields}\n");
                write!(writer, "{id} ACK tag=toy,res=cached {}\r\n{text}\r\n", text.len())?;
            }
            ["busy", tag] => write!(writer, "{tag} READY - 0\r\n\r\n")?,
            _ => {}
        }
    }
}

/// Says each second that nothing has happened since the list in the configuration.
fn tell(mut stream: TcpStream) -> std::io::Result<()> {
    loop {
        stream.write_all(b"1\n")?;
        thread::sleep(Duration::from_secs(1));
    }
}
