//! A test site whose daemons run as separate processes.

use {
    super::{
        SiteError, SitePlan, SiteRelays, SiteUpstreams,
        embedded_site::{SiteBase, apply},
        settings_text::DaemonSpec,
    },
    poplargap_store::{VmEntry, VmState},
    std::{
        fs,
        net::SocketAddr,
        path::{Path, PathBuf},
        process::{Child, Command, ExitStatus, Stdio},
        time::Duration,
    },
    tempfile::TempDir,
    tokio::time::{self, Instant},
};

/// Interval between two checks whether a terminated process has exited.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A daemon that runs as a child process; it is killed on drop.
#[derive(Debug)]
pub struct DaemonProcess {
    /// Address of the daemon's listener for callers.
    pub callers: SocketAddr,
    /// The daemon's data centre.
    pub data_centre: String,
    /// The daemon's name.
    pub name: String,
    /// Address of the daemon's listener for operators.
    pub operators: SocketAddr,
    child: Option<Child>,
    program: PathBuf,
    settings: PathBuf,
}

impl DaemonProcess {
    /// Returns the process id, or `None` before the start and once [`Self::kill`],
    /// [`Self::terminate`] or [`Self::exit_status`] has seen the process end.
    #[must_use]
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Returns whether the process is running; one that has exited by itself isn't.
    pub fn is_running(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Returns the status of a process that has exited by itself, once; otherwise `None`.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        let status = self.child.as_mut()?.try_wait().ok().flatten();
        if status.is_some() {
            self.child = None;
        }
        status
    }

    /// Kills the process with `SIGKILL` and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Both calls may fail when the process has already exited.
            drop(child.kill());
            drop(child.wait());
        }
    }

    /// Sends the signal `name`, such as `TERM` or `STOP`, with the `kill` command.
    ///
    /// # Errors
    ///
    /// Returns an error when the process isn't running or the signal can't be sent.
    pub fn signal(&self, name: &str) -> Result<(), SiteError> {
        let Some(id) = self.id() else {
            return Err(SiteError::Daemon(format!("{} doesn't run", self.name)));
        };
        let status = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(id.to_string())
            .status()?;
        if status.success() {
            Ok(())
        } else {
            Err(SiteError::Daemon(format!("no signal to {id}")))
        }
    }

    /// Starts the process; it may be started again after it has ended.
    ///
    /// # Errors
    ///
    /// Returns an error when the program can't be started.
    pub fn start(&mut self) -> Result<(), SiteError> {
        let child = Command::new(&self.program)
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Sends `SIGTERM` and waits for the process to exit; returns `None` after `timeout`.
    ///
    /// # Errors
    ///
    /// Returns an error when the process isn't running or can't be signalled or polled.
    pub async fn terminate(&mut self, timeout: Duration) -> Result<Option<ExitStatus>, SiteError> {
        self.signal("TERM")?;
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            if let Some(child) = &mut self.child
                && let Some(status) = child.try_wait()?
            {
                self.child = None;
                return Ok(Some(status));
            }
            time::sleep(EXIT_POLL_INTERVAL).await;
        }
        Ok(None)
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A site whose daemons are child processes; the stand-ins run in the current process.
#[derive(Debug)]
pub struct ProcessSite {
    /// The daemons, by number.
    pub daemons: Vec<DaemonProcess>,
    base: SiteBase,
    dir: TempDir,
}

impl ProcessSite {
    /// Starts a site with the daemon binary at `program` and waits until all daemons are ready.
    ///
    /// # Errors
    ///
    /// Returns an error when a stand-in or daemon can't start, or a daemon isn't ready in time.
    pub async fn start(plan: &SitePlan, program: &Path) -> Result<Self, SiteError> {
        if !program.exists() {
            return Err(SiteError::Program(program.display().to_string()));
        }
        let base = SiteBase::start(plan).await?;
        let dir = tempfile::tempdir()?;
        let mut daemons = Vec::new();
        for (number, spec) in base.specs.iter().enumerate() {
            let settings = spec.settings(plan, base.store_for(number));
            let mut daemon = process(spec, &settings, program, dir.path())?;
            daemon.start()?;
            daemons.push(daemon);
        }
        base.wait_ready().await?;
        Ok(Self { daemons, base, dir })
    }

    /// Finds the binary `name` in the directory of the running one or in its parent.
    ///
    /// Cargo puts tests and examples into a subdirectory of the one with the binaries.
    ///
    /// # Errors
    ///
    /// Returns an error when the binary isn't there.
    pub fn program(name: &str) -> Result<PathBuf, SiteError> {
        let own = std::env::current_exe()?;
        let dirs = own.ancestors().skip(1).take(2);
        let found = dirs.map(|dir| dir.join(name)).find(|path| path.is_file());
        found.ok_or_else(|| SiteError::Program(name.to_owned()))
    }

    /// Applies declarations with the `poplargap apply` command; returns its output.
    ///
    /// # Errors
    ///
    /// Returns an error when the command fails.
    pub async fn apply(&self, text: &str) -> Result<String, SiteError> {
        apply(self.base.store.address(), text).await
    }

    /// Replaces the platform's VM list.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform stand-in doesn't answer or refuses the list.
    pub async fn set_vms(&self, vms: &[VmEntry]) -> Result<(), SiteError> {
        self.base.set_vms(vms).await
    }

    /// Returns the VM list of the site, without lists given to [`Self::set_vms`].
    #[must_use]
    pub fn vms(&self) -> &[VmEntry] {
        &self.base.vms
    }

    /// Sets the state of a VM in the platform's list.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform stand-in doesn't answer or refuses the list.
    pub async fn mark_vm(&mut self, name: &str, state: VmState) -> Result<(), SiteError> {
        self.base.mark_vm(name, state).await
    }

    /// Returns the relays of the site's links, or `None` when its plan has none.
    #[must_use]
    pub fn relays(&self) -> Option<&SiteRelays> {
        self.base.relays.as_ref()
    }

    /// Returns the address of the store stand-in, without a relay.
    #[must_use]
    pub fn store(&self) -> SocketAddr {
        self.base.store.address()
    }

    /// Returns the engines and desks.
    pub fn upstreams(&mut self) -> &mut SiteUpstreams {
        &mut self.base.upstreams
    }

    /// Waits until every daemon reports all daemons of its data centre as ready.
    ///
    /// # Errors
    ///
    /// Returns an error when a daemon doesn't report so within 10 s.
    pub async fn wait_ready(&self) -> Result<(), SiteError> {
        self.base.wait_ready().await
    }

    /// Kills the daemons, and closes relays, upstreams and store.
    pub async fn close(self) {
        drop(self.daemons);
        if let Some(relays) = self.base.relays {
            relays.close().await;
        }
        self.base.upstreams.close().await;
        self.base.store.close().await;
        drop(self.dir);
    }
}

fn process(
    spec: &DaemonSpec,
    text: &str,
    program: &Path,
    dir: &Path,
) -> Result<DaemonProcess, SiteError> {
    let settings = dir.join(format!("{}.ini", spec.name));
    fs::write(&settings, text)?;
    Ok(DaemonProcess {
        callers: spec.callers,
        child: None,
        data_centre: spec.data_centre.clone(),
        name: spec.name.clone(),
        operators: spec.operators,
        program: program.to_owned(),
        settings,
    })
}
