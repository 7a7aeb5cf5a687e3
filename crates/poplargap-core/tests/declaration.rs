//! Tests of catalogue declarations: parsing, findings, changes and the documented keys.

use poplargap_core::{
    catalogue::{
        EntrySet, KeyDigest,
        declaration::{
            CATALOGUE_KEYS, CatalogueDeclaration, EntryIntent, SourceText, diff, render,
        },
    },
    finding::InputFindings,
    input::KeyTable,
};

const COMPLETE_CATALOGUE: &str = "\
[data-centre bangor]

[pool curves]
kind = model
multiple = 1.25
queue = 64
slots = 20

[upstream curves-1]
pool = curves
address = 10.0.0.9:9000
data-centre = bangor
fencing = checked

[workspace ty-bach]
key-sha256 = 9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08

[class bench-notes]
owner = ty-bach
pool = curves
priority = interactive
deadline = 20s
repeatable = yes
concurrency = 1
";

/// Declaration files and the catalogue that they are checked against.
#[derive(Default)]
struct DeclarationFixture {
    base: EntrySet,
    files: Vec<(&'static str, String)>,
}

impl DeclarationFixture {
    fn on_complete_catalogue() -> Self {
        let base = Self::default()
            .with_file("whole.ini", COMPLETE_CATALOGUE)
            .accept()
            .merge(&EntrySet::default());
        Self {
            base,
            files: Vec::new(),
        }
    }

    fn with_file(mut self, file: &'static str, text: impl Into<String>) -> Self {
        self.files.push((file, text.into()));
        self
    }

    fn check(&self) -> Result<CatalogueDeclaration, InputFindings> {
        let sources: Vec<SourceText<'_>> = self
            .files
            .iter()
            .map(|(file, text)| SourceText { file, text })
            .collect();
        CatalogueDeclaration::check(&sources, &self.base)
    }

    fn accept(&self) -> CatalogueDeclaration {
        self.check().expect("the declarations are valid")
    }

    fn assert_findings(&self, expected: &str) {
        let findings = self.check().expect_err("the declarations are invalid");
        assert_eq!(findings.to_string(), expected);
    }

    /// Returns the changes against the base catalogue, one line per key.
    fn changes(&self) -> String {
        diff(&self.base, &self.accept().merge(&self.base))
            .iter()
            .flat_map(|change| {
                let entry = change.entry_ref();
                change
                    .keys()
                    .into_iter()
                    .map(move |key| format!("{entry}: {key}\n"))
            })
            .collect()
    }
}

#[test]
fn complete_catalogue_is_parsed() {
    let merged = DeclarationFixture::on_complete_catalogue().base;
    let entries: Vec<String> = merged.iter().map(|(entry, _)| entry.to_string()).collect();
    let expected = [
        "class bench-notes",
        "data-centre bangor",
        "pool curves",
        "upstream curves-1",
        "workspace ty-bach",
    ];
    assert_eq!(entries, expected);
    let rendered: String = merged.iter().map(|(_, entry)| render(entry)).collect();
    assert!(rendered.contains("shard-size = 32\n"), "{rendered}");
    assert!(rendered.contains("state = serving\n"), "{rendered}");
}

#[test]
fn findings_of_all_files_are_reported_together() {
    DeclarationFixture::default()
        .with_file("a.ini", COMPLETE_CATALOGUE.replace("multiple = 1.25", "multiple = 0.5").replace("20s", "20"))
        .with_file("b.ini", "[pool curves]\nkind = model\n[uptream x]\n[class]\n[class a b]\nowner = x\n")
        .assert_findings(
            "\
a.ini: [pool curves] multiple: `0.5` is out of range; the range is 1 to 100
a.ini: [class bench-notes] deadline: `20` has no unit; write `20ms`, `20s`, `20m` or `20h`
b.ini: [pool curves]: the section stands already in `a.ini`
b.ini: [uptream x]: `uptream` is no kind of entry; did you mean `upstream`?
b.ini: [class]: the name is missing; write `[class NAME]`
b.ini: [class a b]: the name `a b` holds ` `; names hold ASCII letters, digits, `-`, `_`, `.` and `:`
b.ini: [class a b] deadline: the key is missing; it takes: duration (`ms`, `s`, `m`, `h`)
b.ini: [class a b] pool: the key is missing; it takes: name
b.ini: [class a b] priority: the key is missing; it takes: word
b.ini: [class a b] repeatable: the key is missing; it takes: word
b.ini: [class a b] owner: the workspace `x` is unknown
",
        );
}

#[test]
fn unknown_references_suggest_the_nearest_entry() {
    DeclarationFixture::on_complete_catalogue()
        .with_file(
            "new.ini",
            "[class tags]\nowner = ty-back\npool = curved\npriority = batch\ndeadline = 1h\n\
             repeatable = no\n[upstream curves-2]\npool = desk\naddress = 10.0.0.9:9000\n\
             data-centre = bangr\nfencing = ignored\n",
        )
        .assert_findings(
            "\
new.ini: [class tags] owner: the workspace `ty-back` is unknown; did you mean `ty-bach`?
new.ini: [class tags] pool: the pool `curved` is unknown; did you mean `curves`?
new.ini: [upstream curves-2] data-centre: the data-centre `bangr` is unknown; did you mean `bangor`?
new.ini: [upstream curves-2] pool: the pool `desk` is unknown
new.ini: [upstream curves-2] address: the address is also that of `upstream curves-1`
",
        );
}

#[test]
fn invalid_entries_count_as_declared() {
    DeclarationFixture::default()
        .with_file(
            "a.ini",
            COMPLETE_CATALOGUE.replace("slots = 20", "slots = 0"),
        )
        .assert_findings(
            "a.ini: [pool curves] slots: `0` is out of range; the range is 1 to 65536\n",
        );
}

#[test]
fn workspaces_with_the_same_key_are_rejected() {
    let digest = String::from(KeyDigest::of_key("test"));
    DeclarationFixture::on_complete_catalogue()
        .with_file(
            "a.ini",
            format!("[workspace other]\nkey-sha256 = {digest}\n"),
        )
        .assert_findings(
            "a.ini: [workspace other] key-sha256: the digest is also that of `workspace ty-bach`\n",
        );
}

#[test]
fn entries_in_use_are_not_removed() {
    DeclarationFixture::on_complete_catalogue()
        .with_file(
            "a.ini",
            "[pool curves]\nremove = yes\n[workspace ty-bach]\nremove = yes\nkey-sha256 = 1\n",
        )
        .assert_findings(
            "\
a.ini: [workspace ty-bach] key-sha256: the key can't stand beside `remove = yes`
a.ini: [pool curves] remove: the entry is still named by `class bench-notes`, `upstream curves-1`
",
        );
    DeclarationFixture::on_complete_catalogue()
        .with_file(
            "a.ini",
            "[pool curves]\nremove = yes\n[upstream curves-1]\nremove = yes\n",
        )
        .with_file(
            "b.ini",
            "[class bench-notes]\nowner = ty-bach\npool = curves\npriority = batch\n\
            deadline = 5s\nrepeatable = yes\n",
        )
        .assert_findings(
            "b.ini: [class bench-notes] pool: the pool `curves` is removed in `a.ini`\n",
        );
}

#[test]
fn removal_is_declared_by_its_only_key() {
    let fixture = DeclarationFixture::on_complete_catalogue()
        .with_file("a.ini", "[class bench-notes]\nremove = yes\n");
    let declaration = fixture.accept();
    let intents: Vec<_> = declaration
        .entries()
        .values()
        .map(|entry| &entry.intent)
        .collect();
    assert_eq!(intents, [&EntryIntent::Remove]);
    assert_eq!(
        fixture.changes(),
        "\
class bench-notes: concurrency: 1 -> (absent)
class bench-notes: deadline: 20s -> (absent)
class bench-notes: owner: ty-bach -> (absent)
class bench-notes: pool: curves -> (absent)
class bench-notes: priority: interactive -> (absent)
class bench-notes: repeatable: yes -> (absent)
"
    );
}

#[test]
fn changes_list_the_keys_that_differ() {
    let text = COMPLETE_CATALOGUE
        .replace("deadline = 20s", "deadline = 20000ms")
        .replace("concurrency = 1", "tokens-per-minute = 9")
        .replace("9f86d0", "000000")
        .replace("checked", "checked\nstate = draining");
    let fixture = DeclarationFixture::on_complete_catalogue().with_file("a.ini", text);
    assert_eq!(
        fixture.changes(),
        "\
class bench-notes: concurrency: 1 -> (absent)
class bench-notes: tokens-per-minute: (absent) -> 9
upstream curves-1: state: serving -> draining
workspace ty-bach: key-sha256: (hidden) -> (hidden)
"
    );
}

#[test]
fn keys_are_sorted() {
    let names = |i: usize| (CATALOGUE_KEYS[i].section, CATALOGUE_KEYS[i].key);
    assert!((1..CATALOGUE_KEYS.len()).all(|i| names(i - 1) < names(i)));
}

#[test]
fn documentation_contains_every_table() {
    let documentation = include_str!("../../../docs/CATALOGUE.md");
    for table in KeyTable::of_sections(CATALOGUE_KEYS) {
        let text = format!("### [{} NAME]\n\n{}", table.section, table.text);
        assert!(
            documentation.contains(&text),
            "docs/CATALOGUE.md lacks this table:\n{text}"
        );
    }
}

#[test]
fn orders_are_accepted_for_engines_and_rejected_for_services() {
    let pools = "[data-centre bangor]\n[pool curves]\nkind = model\nmultiple = 1.25\nqueue = 64\nslots = 20\n\
                 loads-at-once = 2\n[pool desk]\nkind = service\nmultiple = 1.25\nqueue = 64\nslots = 20\n";
    let upstream = |name: &str, pool: &str, port: u16, orders: &str| {
        format!(
            "[upstream {name}]\npool = {pool}\naddress = 10.0.0.9:{port}\ndata-centre = bangor\n\
             fencing = ignored\n{orders}\n"
        )
    };
    let orders = "model-version = 7\nadapters = leather, hide\nrole = prefill";
    let valid = format!("{pools}{}", upstream("curves-1", "curves", 9000, orders));
    let source = |text| SourceText {
        file: "a.ini",
        text,
    };
    CatalogueDeclaration::check(&[source(valid.as_str())], &EntrySet::default())
        .expect("engines accept orders");
    let invalid = format!(
        "{pools}{}{}",
        upstream("curves-1", "curves", 9000, "adapters = a, a\nrole = server"),
        upstream("desk-1", "desk", 9001, "role = standby"),
    );
    let findings = CatalogueDeclaration::check(&[source(invalid.as_str())], &EntrySet::default())
        .expect_err("the declaration has three errors")
        .to_string();
    for part in [
        "`a` stands twice",
        "did you mean `serve`",
        "only engines take orders",
    ] {
        assert!(findings.contains(part), "{part} is missing in: {findings}");
    }
}
