use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::Duration;

use celeryhaven_link::{Credentials, Identity, LinkEndpoint, LinkLimits, Role};
use celeryhaven_node::{ControllerEvent, ControllerNode};
use celeryhaven_settings::ControllerSettings;
use celeryhaven_store::StoreClient;
use celeryhaven_telemetry::{ControllerMetrics, open_log};
use celeryhaven_types::{Boot, Incarnation};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use slog::info;
use snafu::{ResultExt, ensure};

use crate::args::Args;
use crate::control::{ControlLoop, ControlProgress, Executor, Inbox, Message};
use crate::members::Members;
use crate::process::error::{
    LinkSnafu, ListenSnafu, OtherNodeSnafu, RandomSnafu, SettingsSnafu, SignalsSnafu,
};
use crate::process::{ProcessError, options};
use crate::{http, operators};

/// Maximum size of an operator request, in bytes; an intent fits into one object of 1 MiB.
const REQUEST_BYTES_MAX: usize = 2 << 20;

/// Runs a controller until it receives a signal and has released its leases.
pub fn run(args: &Args) -> Result<(), ProcessError> {
    let settings = ControllerSettings::load(&args.settings).context(SettingsSnafu)?;
    let credentials = credentials(&settings)?;
    let (log, _guard) =
        open_log(std::io::stderr(), settings.log_level, "controller", settings.node.as_str());
    let metrics = ControllerMetrics::new();
    let progress = ControlProgress::default();
    let (inbox, messages) = channel();
    let limits = LinkLimits::default().with_frame_bytes(REQUEST_BYTES_MAX);
    let endpoint = smol::block_on(async {
        LinkEndpoint::bind(settings.operator_listen, &credentials, Role::Operator, limits)
    })
    .context(LinkSnafu)?;
    let address = settings.http_listen;
    http::serve(address, metrics.clone(), progress.clone()).context(ListenSnafu { address })?;
    smol::spawn(operators::serve(endpoint.clone(), inbox.clone(), log.clone())).detach();
    leave_on_signal(inbox.clone())?;

    let store =
        StoreClient::new(settings.object_api, Duration::from_millis(settings.store_timeout_ms));
    let members = Members::new(settings.vm_list, settings.poll_timeout_ms);
    let executor = Executor::new(store, members, inbox, metrics.clone(), log.clone());
    let (boot, seed) = (random()?, random()?);
    let me = Incarnation::new(settings.node.clone(), Boot::new(boot));
    let data_centre = settings.data_centre.clone();
    let node = ControllerNode::new(me, data_centre, options(&settings), seed);
    info!(log, "started"; "boot" => boot, "operator_listen" => %settings.operator_listen,
        "http_listen" => %settings.http_listen);
    run_control_thread(ControlLoop::new(node, executor, metrics, progress, log.clone()), messages);
    info!(log, "stopped");
    endpoint.close();
    Ok(())
}

/// Runs the control thread to its end. It shares no executor with calls and links, so that they
/// cannot block it.
fn run_control_thread(control: ControlLoop, messages: Receiver<Message>) {
    let thread = thread::Builder::new().name("control".into());
    match thread.spawn(move || control.run(&messages)) {
        Ok(running) => drop(running.join()),
        Err(error) => eprintln!("celeryhaven-controller: cannot start the control thread: {error}"),
    }
}

fn credentials(settings: &ControllerSettings) -> Result<Credentials, ProcessError> {
    let credentials =
        Credentials::load(&settings.certificate_file, &settings.key_file, &settings.authority_file)
            .context(LinkSnafu)?;
    let found = credentials.identity();
    let is_own = *found == Identity::Node(settings.node.clone());
    ensure!(is_own, OtherNodeSnafu { found: found.dns_name(), node: settings.node.to_string() });
    Ok(credentials)
}

fn leave_on_signal(inbox: Inbox) -> Result<(), ProcessError> {
    let mut signals = Signals::new([SIGTERM, SIGINT]).context(SignalsSnafu)?;
    thread::spawn(move || {
        for _ in signals.forever() {
            let _ = inbox.send(Message::Event(ControllerEvent::Leave));
        }
    });
    Ok(())
}

/// Returns a random number that identifies this start of the process.
fn random() -> Result<u64, ProcessError> {
    getrandom::u64().context(RandomSnafu)
}
