//! Prints the tables of `docs/SETTINGS.md`.

use poplargap_core::{input::KeyTable, settings::SETTING_KEYS};

fn main() {
    for table in KeyTable::of_sections(SETTING_KEYS) {
        println!("## [{}]\n\n{}", table.section, table.text);
    }
}
