//! Prints the tables of docs/SETTINGS.md.

use celeryhaven_settings::field::markdown_table;
use celeryhaven_settings::{ControllerSettings, EntrySettings, GatewaySettings, OperatorSettings};

fn main() {
    println!("## celeryhaven-entry\n\n{}", markdown_table(EntrySettings::FIELDS));
    println!("## celeryhaven-controller\n\n{}", markdown_table(ControllerSettings::FIELDS));
    println!("## The gateway\n\n{}", markdown_table(GatewaySettings::FIELDS));
    println!("## celeryhaven-ctl\n\n{}", markdown_table(OperatorSettings::FIELDS));
}
