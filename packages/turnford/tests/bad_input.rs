//! Invalid arguments give an error, and malformed requests don't stop a node.

mod common;

use std::ffi::OsString;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use common::RequestExtras;
use common::TestSite;
use turnford::run_program;
use turnford::ExitStatus;

fn run(arguments: &[&str]) -> ExitStatus {
    run_program(arguments.iter().map(OsString::from).collect())
}

#[test]
fn bad_arguments() {
    assert_eq!(run(&[]), ExitStatus::Usage);
    assert_eq!(run(&["dance"]), ExitStatus::Usage);
    assert_eq!(
        run(&["load", "--rate", "fast", "--seconds"]),
        ExitStatus::Usage
    );
    assert_eq!(
        run(&["get", "--objects", "localhost", "thing", "x"]),
        ExitStatus::Usage
    );
    assert_eq!(run(&["--help"]), ExitStatus::Success);
    assert_eq!(run(&["load", "--help"]), ExitStatus::Success);
    assert_eq!(run(&["check", "/does/not/exist"]), ExitStatus::Failed);
}

#[test]
fn nothing_applied() {
    // All files are checked before the first write, so an invalid file prevents any connection.
    let folder = std::env::temp_dir().join(format!("turnford-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder for the files");
    let (good, bad) = (folder.join("good.toml"), folder.join("bad.toml"));
    std::fs::write(&good, common::account_text("one", 1.0)).expect("the file is written");
    std::fs::write(&bad, "name = 7\n").expect("the file is written");
    let files = [good.to_string_lossy(), bad.to_string_lossy()];
    let status = run(&["apply", "--objects", "127.0.0.1:1", &files[0], &files[1]]);
    assert_eq!(status, ExitStatus::Failed);
    assert_eq!(run(&["check", &files[0]]), ExitStatus::Success);
    let away = run(&["apply", "--objects", "127.0.0.1:1", &files[0]]);
    assert_eq!(away, ExitStatus::Unavailable);
    std::fs::remove_dir_all(&folder).expect("the folder is removed");
}

#[test]
fn broken_calls() {
    let site = TestSite::start(1);
    let calls: [&[u8]; 5] = [
        b"\r\n\r\n",
        b"\x00\xff\xfe garbage\r\n\r\n",
        b"POST /v1/pipelines/chat HTTP/1.1\r\nhost: x\r\ncontent-length: 99999999\r\n\r\n",
        b"POST /v1/pipelines/chat HTTP/1.1\r\nhost: x\r\ncontent-length: -1\r\n\r\n",
        b"GET /healthz HTTP/9.9\r\nhost: x\r\n\r\n",
    ];
    for call in calls {
        let mut stream = TcpStream::connect(site.address(0)).expect("the node accepts");
        stream
            .set_read_timeout(Some(Duration::from_millis(300)))
            .expect("a time limit");
        stream.write_all(call).expect("the bytes are sent");
        // The node may answer, close or not respond, but must not exit.
        let mut answer = [0; 512];
        let _ = stream.read(&mut answer);
    }
    let text = "mark:after hello";
    let answer = async_io::block_on(site.post(0, "chat", text, RequestExtras::default()));
    assert_eq!(answer.code(), 0);
    site.stop();
}
