//! Runs the program in a temporary directory, against a stand-in of the store.

use {
    poplargap_testbed::store::StoreStandIn,
    std::{fs, net::SocketAddr, process::Output},
    tempfile::TempDir,
    tokio::process::Command,
};

const WRITE_ID_LEN: usize = 32;

/// A small catalogue with one entry of each kind.
pub const CATALOGUE: &str = "\
[class bench-notes]
owner = ty-bach
pool = curves
priority = interactive
deadline = 20s
repeatable = yes
concurrency = 1

[upstream curves-1]
pool = curves
address = 10.0.0.9:9000
data-centre = bangor
fencing = checked

[pool curves]
kind = model
multiple = 1.25
queue = 64
slots = 20

[workspace ty-bach]
key-sha256 = 9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08

[data-centre bangor]
";

/// Opens a console whose store holds `CATALOGUE`.
pub async fn open_with_catalogue() -> Console {
    let console = Console::open().await;
    console.file("whole.ini", CATALOGUE);
    console.run("apply whole.ini").await.status(0);
    console
}

/// A temporary directory and a store for runs of the program.
pub struct Console {
    directory: TempDir,
    store: StoreStandIn,
    store_address: Option<SocketAddr>,
    token: String,
}

impl Console {
    pub async fn open() -> Self {
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let store = StoreStandIn::start(address).await.expect("a port is free");
        Self {
            directory: tempfile::tempdir().expect("a directory can be made"),
            store_address: Some(store.address()),
            store,
            token: "fedcba9876543210".to_owned(),
        }
    }

    pub async fn close(self) {
        self.store.close().await;
    }

    pub fn file(&self, name: &str, text: &str) -> &Self {
        fs::write(self.directory.path().join(name), text).expect("the directory is writable");
        self
    }

    /// Returns the address of the stand-in of the store.
    pub fn store_address(&self) -> SocketAddr {
        self.store.address()
    }

    /// Replaces the store's address, or removes it.
    pub fn with_store(mut self, address: Option<SocketAddr>) -> Self {
        self.store_address = address;
        self
    }

    /// Replaces the operators' token for daemons.
    pub fn with_token(mut self, token: &str) -> Self {
        token.clone_into(&mut self.token);
        self
    }

    /// Runs the program with arguments separated by spaces.
    pub async fn run(&self, arguments: &str) -> Transcript {
        let mut command = Command::new(env!("CARGO_BIN_EXE_poplargap"));
        command
            .args(arguments.split_whitespace())
            .current_dir(self.directory.path())
            .env_clear()
            .env("POPLARGAP_OPERATOR_TOKEN", &self.token)
            .kill_on_drop(true);
        if let Some(address) = self.store_address {
            command.env("POPLARGAP_STORE", address.to_string());
        }
        let output = command.output().await.expect("the program can be run");
        Transcript(output)
    }
}

/// Exit status and output of one run of the program.
#[derive(Debug)]
pub struct Transcript(Output);

impl Transcript {
    pub fn status(self, expected: i32) -> Self {
        assert_eq!(self.0.status.code(), Some(expected), "{self:?}");
        self
    }

    /// Compares the error output, with write ids replaced by `WRITE`.
    pub fn stderr(self, expected: &str) -> Self {
        assert_eq!(mask_write_ids(&self.0.stderr), expected);
        self
    }

    /// Compares the start of the error output; the rest is the operating system's text.
    pub fn stderr_start(self, expected: &str) -> Self {
        assert!(
            mask_write_ids(&self.0.stderr).starts_with(expected),
            "{self:?}"
        );
        self
    }

    /// Compares the output, with write ids replaced by `WRITE`.
    pub fn stdout(self, expected: &str) -> Self {
        assert_eq!(mask_write_ids(&self.0.stdout), expected);
        self
    }

    /// Returns the output unchanged.
    pub fn text(self) -> String {
        String::from_utf8(self.0.stdout).expect("the output is text")
    }
}

fn mask_write_ids(output: &[u8]) -> String {
    let text = str::from_utf8(output).expect("the output is text");
    let mut masked = String::new();
    let mut rest = text;
    while let Some(start) = rest.find(|c: char| c.is_ascii_hexdigit()) {
        let (before, word) = rest.split_at(start);
        let len = word
            .find(|c: char| !c.is_ascii_hexdigit())
            .unwrap_or(word.len());
        let (word, after) = word.split_at(len);
        masked.push_str(before);
        masked.push_str(if len == WRITE_ID_LEN { "WRITE" } else { word });
        rest = after;
    }
    masked + rest
}
