use crate::args::Args;

impl Args {
    /// The output of `--help`.
    pub const HELP: &str = "\
Shows and changes what is served.

Usage: celeryhaven-ctl [OPTIONS] COMMAND

Commands:
  plan FILE                  show what would change if the intent in FILE were in force
  confirm PLAN               put a plan in force
      --without DATA-CENTRE  even if that data centre has not reported recently (repeatable)
  status                     show the configuration, placements and leases
  audit [--last N]           show changes, newest first [default: 20]
  drain vm NAME [--undo]     drain a target VM, or undo that
  drain node NAME [--undo]   drain an entry VM, or undo that
  check FILE [--kind KIND]   check FILE; KIND: intent, entry, controller, operator

Options:
  --settings FILE            settings of this tool, in YAML
  --controller ADDRESS       address of a controller (repeatable); with the next three
                             options, replaces the settings file
  --certificate FILE         operator certificate, in PEM
  --key FILE                 key of the certificate, in PEM
  --authority FILE           certificate authority of the fleet, in PEM
  --timeout-ms N             timeout of a request, in milliseconds [default: 10000]
  --json                     print JSON
  -h, --help                 print help

Exit codes:
  0 done                     4 the plan was confirmed before; nothing changed
  1 output failed            5 refused for another reason; nothing changed
  2 command line or file     6 no controller could be asked; nothing changed
  3 conflict: the configuration moved on; nothing changed
  7 unknown: the change may be in force; look at `audit`";
}
