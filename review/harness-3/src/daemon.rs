//! Runs daemon processes with the command of the deploy file.

use {
    crate::site::CONTRACTS,
    std::{
        fs::{self, File},
        io::{self, Read, Write},
        net::{IpAddr, SocketAddr, TcpStream},
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
        thread::sleep,
        time::{Duration, Instant},
    },
};

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

/// The signal of the platform that the settings file has changed.
pub const SIGHUP: i32 = 1;

/// The signal with which the platform stops a process.
pub const SIGTERM: i32 = 15;

/// Port of a daemon's front listener.
const FRONT_PORT: u16 = 8227;

/// Port of a daemon's readiness probe.
const READY_PORT: u16 = 8220;

/// Longest time until a daemon is ready.
const START_MAX: Duration = Duration::from_secs(10);

/// First port for messages between daemons.
const PEER_PORT: u16 = 7340;

/// The settings of one daemon; the platform writes them to a file.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Seconds from SIGTERM to SIGKILL.
    pub grace_s: u64,
    pub ip: IpAddr,
    pub name: String,
    pub store: SocketAddr,
    pub zone: String,
}

impl Settings {
    /// Returns the settings of a machine of the small sites.
    pub fn new(name: &str, ip: IpAddr, zone: &str, store: SocketAddr) -> Self {
        Self {
            grace_s: 8,
            ip,
            name: name.to_owned(),
            store,
            zone: zone.to_owned(),
        }
    }

    fn text(&self) -> String {
        let Self {
            grace_s,
            ip,
            name,
            store,
            zone,
        } = self;
        format!(
            "nodeName = \"{name}\"\nrole = \"router\"\nmachineClass = \"edge\"\nserves = [\"edge\"]\n\
             ip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"new-england\"\n\
             internalPorts = [{PEER_PORT},{}]\nseeds = []\nbootstrap = true\nlossCounts = false\n\
             discovery = \"platform\"\nentrypoint = \"vip\"\nheartbeatMs = 1200\n\
             contracts = [{CONTRACTS}]\n\
             [zones]\nzone-a = \"new-england\"\nzone-b = \"new-england\"\n\
             [listen]\nfrontend = \"{ip}:{FRONT_PORT}\"\nready = \"{ip}:{READY_PORT}\"\n\
             controlPlane = \"{ip}:8229\"\n\
             [limits]\ncpuQuota = 0.25\ncores = 1\nmemoryMb = 260\nmaxFds = 4200\nlinkMbps = 1000.0\ndiskMb = 0\n\
             [faultTolerance]\nmachines = 1\nzones = 1\nregions = 0\n\
             [bounds]\nseedLagS = 3\nreuseAfterS = 2\ncontactMs = 3000\nackMs = 4000\ncatchUpS = 4\n\
             drainMs = 2000\ngraceS = {grace_s}\nlossSlackMs = 200\nconfigApplyMs = 2000\n\
             rollbackSlackMs = 250\npartitionMaxMs = 5000\nstrictRevocation = false\nrevokeMs = 5000\n\
             retryBudgetRatio = 0.2\nbudgetWindowS = 10\nretryHeadroom = 52\nrecoverS = 12\n\
             eventDelayMs = 120\nreuseWindowS = 10\ncapFactor = 2\n\
             [platform]\naddress = \"{store}\"\nform = \"kv\"\nwritesPerS = 400\nreadsPerS = 2000\n\
             historyS = 20\nvalueBytes = 1048576\nttlMinMs = 1000\n",
            PEER_PORT + 15
        )
    }
}

/// A running daemon process.
pub struct Daemon {
    child: Child,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings_file: PathBuf,
}

impl Daemon {
    /// Starts `target/release/poplargapd --platform`; its log goes to a file in `folder`.
    pub fn start(repository: &Path, folder: &Path, settings: &Settings) -> io::Result<Self> {
        let settings_file = folder.join(format!("{}.toml", settings.name));
        fs::write(&settings_file, settings.text())?;
        let log = File::options()
            .append(true)
            .create(true)
            .open(folder.join(format!("{}.log", settings.name)))?;
        let child = Command::new(repository.join("target/release/poplargapd"))
            .arg("--platform")
            .current_dir(repository)
            .env_clear()
            .env("POPLARGAP_BOOT", &settings_file)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Self {
            child,
            front: SocketAddr::new(settings.ip, FRONT_PORT),
            ready: SocketAddr::new(settings.ip, READY_PORT),
            settings_file,
        })
    }

    /// Writes other settings to the daemon's file.
    pub fn change_settings(&self, settings: &Settings) -> io::Result<()> {
        fs::write(&self.settings_file, settings.text())
    }

    pub fn process(&self) -> u32 {
        self.child.id()
    }

    /// Returns whether the daemon's readiness probe answers 200.
    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect_timeout(&self.ready, Duration::from_millis(500))
        else {
            return false;
        };
        drop(stream.set_read_timeout(Some(Duration::from_millis(500))));
        let request = "GET /v1/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        let mut answer = [0; 12];
        stream.write_all(request.as_bytes()).is_ok()
            && stream.read_exact(&mut answer).is_ok()
            && answer.ends_with(b"200")
    }

    /// Waits until the daemon is ready.
    pub fn wait_ready(&self) -> io::Result<()> {
        let end = Instant::now() + START_MAX;
        while Instant::now() < end {
            if self.is_ready() {
                return Ok(());
            }
            sleep(Duration::from_millis(50));
        }
        Err(io::Error::other("a daemon isn't ready"))
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: i32) {
        // SAFETY: `kill` takes two integers; the process is a child that hasn't been waited for.
        unsafe {
            kill(self.child.id() as i32, signal);
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}
