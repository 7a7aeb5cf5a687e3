//! Prints the Markdown tables of keys for `docs/SETTINGS.md` or `docs/CATALOGUE.md`.

use {
    poplargap_core::{
        catalogue::declaration::CATALOGUE_KEYS, input::KeyTable, settings::SETTING_KEYS,
    },
    std::{env, process::ExitCode},
};

fn main() -> ExitCode {
    match env::args().nth(1).as_deref() {
        Some("catalogue") => {
            for table in KeyTable::of_sections(CATALOGUE_KEYS) {
                println!("### [{} NAME]\n\n{}", table.section, table.text);
            }
        }
        Some("settings") => {
            for table in KeyTable::of_sections(SETTING_KEYS) {
                println!("## [{}]\n\n{}", table.section, table.text);
            }
        }
        _ => {
            eprintln!("usage: key-tables catalogue|settings");
            return ExitCode::from(2);
        }
    }
    ExitCode::SUCCESS
}
