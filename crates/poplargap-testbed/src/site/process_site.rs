//! A site whose daemons are processes of their own.

use {
    super::{
        SiteError, SitePlan, SiteRelays, SiteUpstreams,
        embedded_site::{SiteBase, apply},
        settings_text::DaemonPlace,
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

const EXIT_POLL: Duration = Duration::from_millis(20);

/// One daemon as a process that this site started.
#[derive(Debug)]
pub struct DaemonProcess {
    /// The daemon's listener for callers.
    pub callers: SocketAddr,
    /// The daemon's data centre.
    pub data_centre: String,
    /// The daemon's name.
    pub name: String,
    /// The daemon's listener for operators.
    pub operators: SocketAddr,
    child: Option<Child>,
    program: PathBuf,
    settings: PathBuf,
}

impl DaemonProcess {
    /// Returns the process's id while it runs.
    #[must_use]
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Returns whether the process runs; a process that ended by itself counts as not running.
    pub fn is_running(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Returns how the process ended; `None` while it runs.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        let status = self.child.as_mut()?.try_wait().ok().flatten();
        if status.is_some() {
            self.child = None;
        }
        status
    }

    /// Kills the process without warning.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // A process that has ended already is what is wanted.
            drop(child.kill());
            drop(child.wait());
        }
    }

    /// Sends a signal by its name, as `kill -NAME` does.
    ///
    /// # Errors
    ///
    /// Returns an error when the process doesn't run.
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

    /// Starts the process, after a kill as well.
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

    /// Asks the process to close and waits for its end; `None` when it doesn't end within `wait`.
    ///
    /// # Errors
    ///
    /// Returns an error when the process doesn't run.
    pub async fn terminate(&mut self, wait: Duration) -> Result<Option<ExitStatus>, SiteError> {
        self.signal("TERM")?;
        let end = Instant::now() + wait;
        while Instant::now() < end {
            if let Some(child) = &mut self.child
                && let Some(status) = child.try_wait()?
            {
                self.child = None;
                return Ok(Some(status));
            }
            time::sleep(EXIT_POLL).await;
        }
        Ok(None)
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A site with daemons as processes; the stand-ins run in this process.
#[derive(Debug)]
pub struct ProcessSite {
    /// The daemons.
    pub daemons: Vec<DaemonProcess>,
    base: SiteBase,
    dir: TempDir,
}

impl ProcessSite {
    /// Starts a site with the daemon's program and waits until it is ready.
    ///
    /// # Errors
    ///
    /// Returns an error when a part can't start or the daemons don't get ready in time.
    pub async fn start(plan: &SitePlan, program: &Path) -> Result<Self, SiteError> {
        if !program.exists() {
            return Err(SiteError::Program(program.display().to_string()));
        }
        let base = SiteBase::start(plan).await?;
        let dir = tempfile::tempdir()?;
        let mut daemons = Vec::new();
        for (number, place) in base.places.iter().enumerate() {
            let settings = place.settings(plan, base.store_for(number));
            let mut daemon = process(place, &settings, program, dir.path())?;
            daemon.start()?;
            daemons.push(daemon);
        }
        base.wait_ready().await?;
        Ok(Self { daemons, base, dir })
    }

    /// Returns the program `name` next to the running one, as cargo lays them out.
    ///
    /// # Errors
    ///
    /// Returns an error when the program isn't there.
    pub fn program(name: &str) -> Result<PathBuf, SiteError> {
        let own = std::env::current_exe()?;
        let dirs = own.ancestors().skip(1).take(2);
        let found = dirs.map(|dir| dir.join(name)).find(|path| path.is_file());
        found.ok_or_else(|| SiteError::Program(name.to_owned()))
    }

    /// Applies declarations as an operator does; returns what the command prints.
    ///
    /// # Errors
    ///
    /// Returns an error when the command fails.
    pub async fn apply(&self, text: &str) -> Result<String, SiteError> {
        apply(self.base.store.address(), text).await
    }

    /// Puts a VM list in place of the one before.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform's stand-in doesn't answer.
    pub async fn set_vms(&self, vms: &[VmEntry]) -> Result<(), SiteError> {
        self.base.set_vms(vms).await
    }

    /// Returns the VM list with which the site started.
    #[must_use]
    pub fn vms(&self) -> &[VmEntry] {
        &self.base.vms
    }

    /// Marks a VM in the platform's list.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform doesn't take the list.
    pub async fn mark_vm(&mut self, name: &str, state: VmState) -> Result<(), SiteError> {
        self.base.mark_vm(name, state).await
    }

    /// Returns the site's relays, if its plan asks for them.
    #[must_use]
    pub fn relays(&self) -> Option<&SiteRelays> {
        self.base.relays.as_ref()
    }

    /// Returns the address of the platform's store.
    #[must_use]
    pub fn store(&self) -> SocketAddr {
        self.base.store.address()
    }

    /// Returns the upstreams.
    pub fn upstreams(&mut self) -> &mut SiteUpstreams {
        &mut self.base.upstreams
    }

    /// Waits until every daemon sees all daemons of its data centre ready.
    ///
    /// # Errors
    ///
    /// Returns an error when that takes too long.
    pub async fn wait_ready(&self) -> Result<(), SiteError> {
        self.base.wait_ready().await
    }

    /// Ends daemons, upstreams and platform.
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
    place: &DaemonPlace,
    text: &str,
    program: &Path,
    dir: &Path,
) -> Result<DaemonProcess, SiteError> {
    let settings = dir.join(format!("{}.ini", place.name));
    fs::write(&settings, text)?;
    Ok(DaemonProcess {
        callers: place.callers,
        child: None,
        data_centre: place.data_centre.clone(),
        name: place.name.clone(),
        operators: place.operators,
        program: program.to_owned(),
        settings,
    })
}
