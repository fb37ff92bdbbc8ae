/// Returns the `--help` text of a program.
///
/// ```
/// let text = celeryhaven_args::help("celeryhaven-entry", "routes requests");
/// assert!(text.starts_with("celeryhaven-entry: routes requests\n"));
/// ```
pub fn help(program: &str, purpose: &str) -> String {
    format!(
        "\
{program}: {purpose}

Usage: {program} --settings FILE [--check]

  --settings FILE  process settings in YAML (docs/SETTINGS.md)
  --check          check the settings and exit
  --help           print this
  --version        print the version

Exit codes: 0 left in order, or the check passed; 1 a failure; 2 a wrong command line;
3 wrong settings.
"
    )
}
