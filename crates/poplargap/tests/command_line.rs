//! Commands on the catalogue, run as processes.

mod support;

use {
    poplargap_core::catalogue::{
        EntrySet,
        declaration::{CatalogueDeclaration, SourceText},
    },
    serde_json::{Value, json},
    support::console::{CATALOGUE, Console, open_with_catalogue},
};

#[tokio::test]
async fn check_reports_every_finding() {
    let console = Console::open().await.with_store(None);
    console
        .file("a.ini", CATALOGUE)
        .file("b.ini", "[pool curves]\n[class x]\nowner = ty-back\n");
    console
        .run("check a.ini")
        .await
        .status(0)
        .stdout("5 entries, no fault\n")
        .stderr("");
    console
        .run("check a.ini b.ini c.ini")
        .await
        .status(2)
        .stdout("")
        .stderr("error: c.ini: the file can't be read: No such file or directory (os error 2)\n");
    console
        .run("check a.ini b.ini")
        .await
        .status(2)
        .stdout("")
        .stderr(
            "\
error: b.ini: [pool curves]: the section stands already in `a.ini`
b.ini: [class x] deadline: the key is missing; it takes: duration (`ms`, `s`, `m`, `h`)
b.ini: [class x] pool: the key is missing; it takes: name
b.ini: [class x] priority: the key is missing; it takes: word
b.ini: [class x] repeatable: the key is missing; it takes: word
b.ini: [class x] owner: the workspace `ty-back` is unknown; did you mean `ty-bach`?
",
        );
    console.run("--json check b.ini").await.status(2).stdout("");
    console.close().await;
}

#[tokio::test]
async fn check_looks_names_up_in_the_store() {
    let console = open_with_catalogue().await;
    console.file(
        "a.ini",
        &CATALOGUE[..CATALOGUE.find("[upstream").expect("it is there")],
    );
    console.run("check a.ini").await.status(0).stderr("");
    let console = console.with_store(None);
    console.run("check a.ini").await.status(2).stderr(
        "\
error: a.ini: [class bench-notes] owner: the workspace `ty-bach` is unknown
a.ini: [class bench-notes] pool: the pool `curves` is unknown
",
    );
    console.close().await;
}

#[tokio::test]
async fn apply_writes_entries_after_those_that_they_name() {
    let console = Console::open().await;
    console.file("a.ini", CATALOGUE);
    console
        .run("apply a.ini")
        .await
        .status(0)
        .stderr("")
        .stdout(
            "\
accepted `data-centre bangor` as version 1 (write WRITE) at revision 1
accepted `workspace ty-bach` as version 1 (write WRITE) at revision 2
accepted `pool curves` as version 1 (write WRITE) at revision 3
accepted `upstream curves-1` as version 1 (write WRITE) at revision 4
accepted `class bench-notes` as version 1 (write WRITE) at revision 5
",
        );
    console
        .run("apply a.ini")
        .await
        .status(0)
        .stderr("")
        .stdout(
            "\
unchanged `class bench-notes` at version 1 (write WRITE)
unchanged `data-centre bangor` at version 1 (write WRITE)
unchanged `pool curves` at version 1 (write WRITE)
unchanged `upstream curves-1` at version 1 (write WRITE)
unchanged `workspace ty-bach` at version 1 (write WRITE)
",
        );
    console.file("b.ini", "[pool curves]\nremove = yes\n[upstream curves-1]\nremove = yes\n[class bench-notes]\nremove = yes\n");
    console
        .run("apply b.ini")
        .await
        .status(0)
        .stderr("")
        .stdout(
            "\
accepted `class bench-notes` as version 2 (write WRITE) at revision 7
accepted `upstream curves-1` as version 2 (write WRITE) at revision 9
accepted `pool curves` as version 2 (write WRITE) at revision 11
",
        );
    console.close().await;
}

#[tokio::test]
async fn apply_writes_nothing_when_there_are_findings() {
    let console = open_with_catalogue().await;
    console.file(
        "a.ini",
        "[data-centre conwy]\n[data-centre bangor]\nremove = yes\n",
    );
    console.run("apply a.ini").await.status(2).stdout("").stderr(
        "error: a.ini: [data-centre bangor] remove: the entry is still named by `upstream curves-1`\n",
    );
    console
        .run("get data-centre conwy")
        .await
        .status(2)
        .stdout("")
        .stderr("error: there is no `data-centre conwy`\n");
    console.close().await;
}

#[tokio::test]
async fn apply_on_an_old_base_is_a_conflict() {
    let console = open_with_catalogue().await;
    let lock = console.run("get --versions").await.status(0).text();
    console
        .file("catalogue.lock", &lock)
        .file("a.ini", &CATALOGUE.replace("20s", "10s"))
        .file(
            "b.ini",
            &CATALOGUE.replace("20s", "30s").replace("64", "32"),
        );
    console.run("apply a.ini").await.status(0);
    console.run("apply --base catalogue.lock b.ini").await.status(3).stdout("").stderr(
        "\
error: `class bench-notes` is at version 2 (write WRITE); the edit WRITE is based on version 1 (write WRITE)
nothing was written
",
    );
    console.run("get pool curves").await.status(0).stdout(
        "\
# version 1 (write WRITE)
[pool curves]
kind = model
multiple = 1.25
queue = 64
shard-size = 32
slots = 20

",
    );
    console.file("broken.lock", "[class bench-notes]\nversion = 0\n[what]\n");
    console.run("apply --base broken.lock b.ini").await.status(2).stdout("").stderr(
        "\
error: broken.lock: [class bench-notes] version: `0` is out of range; the range is 1 to 18446744073709551615
broken.lock: [class bench-notes] write-id: the key is missing; it takes: name
broken.lock: [what]: `what` is no kind and name of an entry
",
    );
    console.close().await;
}

#[tokio::test]
async fn diff_shows_versions_and_keys() {
    let console = open_with_catalogue().await;
    console.file(
        "a.ini",
        &(CATALOGUE.replace("20s", "10s").replace("9f86", "0000") + "[data-centre conwy]\n"),
    );
    console.run("diff a.ini").await.status(0).stderr("").stdout(
        "\
+ data-centre conwy, version 0 (absent)
~ workspace ty-bach, version 1 (write WRITE)
    key-sha256: (hidden) -> (hidden)
~ class bench-notes, version 1 (write WRITE)
    deadline: 20s -> 10s
",
    );
    console.close().await;
}

#[tokio::test]
async fn get_prints_declarations_that_apply_takes_unchanged() {
    let console = open_with_catalogue().await;
    let text = console.run("get").await.status(0).text();
    let source = SourceText {
        file: "got.ini",
        text: &text,
    };
    CatalogueDeclaration::check(&[source], &EntrySet::default()).expect("it reads back");
    console.file("got.ini", &text);
    let text = console.run("apply got.ini").await.status(0).text();
    assert_eq!(text.matches("unchanged").count(), 5, "{text}");
    console
        .run("get clas")
        .await
        .status(2)
        .stderr("error: `clas` is no kind of entry; did you mean `class`?\n");
    console
        .run("get class bench-nots")
        .await
        .status(2)
        .stderr("error: there is no `class bench-nots`; did you mean `bench-notes`?\n");
    console.close().await;
}

#[tokio::test]
async fn json_is_one_object_a_line() {
    let console = open_with_catalogue().await;
    let line = console.run("--json get class").await.status(0).text();
    let line: Value = serde_json::from_str(&line).expect("the line is JSON");
    assert_eq!(line["version"], 1);
    assert_eq!(line["entry"]["deadline-ms"], 20_000);
    console.file("a.ini", &CATALOGUE.replace("20s", "10s"));
    let lines = console.run("apply --json a.ini").await.status(0).text();
    let last: Value = lines
        .lines()
        .map(|line| serde_json::from_str(line).expect("each line is JSON"))
        .next_back()
        .expect("there are lines");
    assert_eq!(last["outcome"], "accepted");
    assert_eq!(
        last["entry"],
        json!({"kind": "class", "name": "bench-notes"})
    );
    console
        .run("get --json class x")
        .await
        .status(2)
        .stdout("")
        .stderr("{\"exit-code\":2,\"message\":\"there is no `class x`\"}\n");
    console.close().await;
}

#[tokio::test]
async fn drain_and_rollback_are_edits_with_versions() {
    let console = open_with_catalogue().await;
    console
        .run("drain curves-1")
        .await
        .status(0)
        .stderr("")
        .stdout("accepted `upstream curves-1` as version 2 (write WRITE) at revision 7\n");
    console
        .run("drain curves-1")
        .await
        .status(0)
        .stdout("unchanged `upstream curves-1` at version 2 (write WRITE)\n");
    console
        .run("rollback upstream curves-1 1")
        .await
        .status(0)
        .stderr("")
        .stdout("accepted `upstream curves-1` as version 3 (write WRITE) at revision 9\n");
    let entry = |state: &str| {
        format!(
            "[upstream curves-1]\naddress = 10.0.0.9:9000\ndata-centre = bangor\n\
             fencing = checked\npool = curves\nstate = {state}\n\n"
        )
    };
    let (serving, draining) = (entry("serving"), entry("draining"));
    console
        .run("history upstream curves-1")
        .await
        .status(0)
        .stderr("")
        .stdout(&format!(
            "# version 1 (write WRITE)\n{serving}# version 2 (write WRITE)\n{draining}\
         # version 3 (write WRITE)\n{serving}"
        ));
    console
        .run("rollback upstream curves-1 9")
        .await
        .status(2)
        .stdout("")
        .stderr(
            "error: version 9 of `upstream curves-1` isn't kept; \
         `poplargap history upstream curves-1` lists the versions\n",
        );
    console
        .run("drain curves-2")
        .await
        .status(2)
        .stdout("")
        .stderr("error: there is no `upstream curves-2`; did you mean `curves-1`?\n");
    console.close().await;
}

#[tokio::test]
async fn rollback_is_checked_against_the_catalogue_in_force() {
    let console = open_with_catalogue().await;
    console.file(
        "a.ini",
        "[class bench-notes]\nremove = yes\n[workspace ty-bach]\nremove = yes\n",
    );
    console.run("apply a.ini").await.status(0);
    console
        .run("rollback class bench-notes 1")
        .await
        .status(2)
        .stdout("")
        .stderr(
            "error: (this edit): [class bench-notes] owner: the workspace `ty-bach` is unknown\n",
        );
    console
        .run("get class bench-notes")
        .await
        .status(2)
        .stderr("error: there is no `class bench-notes`; it was removed in version 2\n");
    console.close().await;
}

#[tokio::test]
async fn wrong_command_lines_are_explained() {
    let console = Console::open().await;
    for (arguments, message) in [
        (
            "",
            "no command is given; `poplargap --help` lists the commands",
        ),
        ("aply x.ini", "`aply` is no command; did you mean `apply`?"),
        ("apply", "usage: poplargap apply [--base LOCK] FILE…"),
        ("check --bse x x.ini", "the option `--bse` is unknown here"),
        (
            "get --timeout 5",
            "--timeout: `5` has no unit; write `5ms`, `5s`, `5m` or `5h`",
        ),
        (
            "get --calls-per-second 0",
            "--calls-per-second: `0` is no whole number from 1",
        ),
        (
            "get --settle 0s",
            "--settle: `0s` is out of range; the range is 1ms to 1h",
        ),
        (
            "get --store here",
            "--store: `here` is no IP address with a port, such as `10.0.0.2:2379`",
        ),
        (
            "rollback class x y",
            "`y` is no version; versions are whole numbers",
        ),
        (
            "status",
            "no daemon is named; give `--daemon ADDRESS`, once for each daemon",
        ),
    ] {
        let transcript = console.run(arguments).await.status(2).stdout("");
        transcript.stderr(&format!(
            "error: {message}
"
        ));
    }
    console.close().await;
}

#[tokio::test]
async fn every_command_has_help_with_an_example() {
    let console = Console::open().await.with_store(None);
    let text = console.run("--help").await.status(0).stderr("").text();
    for command in "apply check diff drain explain get history rollback status".split_whitespace() {
        assert!(text.contains(&format!("\n  {command} ")), "{text}");
        let help = console
            .run(&format!("{command} --help"))
            .await
            .status(0)
            .text();
        let example = help
            .rsplit("Example:\n")
            .next()
            .expect("there is an example");
        assert!(example.contains(&format!("poplargap {command}")), "{help}");
    }
    let version = format!("poplargap {}\n", env!("CARGO_PKG_VERSION"));
    console.run("--version").await.status(0).stdout(&version);
    console.close().await;
}
