//! Prints the tables of docs/SETTINGS.md.

use celeryhaven_settings::field::table;
use celeryhaven_settings::{ControllerSettings, EntrySettings, GatewaySettings, OperatorSettings};

fn main() {
    println!("## celeryhaven-entry\n\n{}", table(EntrySettings::FIELDS));
    println!("## celeryhaven-controller\n\n{}", table(ControllerSettings::FIELDS));
    println!("## The gateway\n\n{}", table(GatewaySettings::FIELDS));
    println!("## celeryhaven-ctl\n\n{}", table(OperatorSettings::FIELDS));
}
