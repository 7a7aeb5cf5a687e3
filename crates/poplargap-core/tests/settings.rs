//! Tests of the daemon's settings: parsing, findings and the documented keys.

use {
    poplargap_core::{
        finding::InputFindings,
        input::KeyTable,
        owner::PolicyKind,
        settings::{DaemonSettings, LogFormat, SETTING_KEYS},
    },
    proptest::{
        prelude::*,
        test_runner::{Config, RngSeed},
    },
    std::{net::SocketAddr, time::Duration},
};

const COMPLETE: &str = "\
[daemon]
name = entry-1
data-centre = bangor
callers = 0.0.0.0:8080
operators = 10.0.0.7:8081
peers = 10.0.0.7:8082
relay = 10.0.0.7:8083

[fleet]
secret = 0123456789abcdef

[operators]
token = fedcba9876543210

[store]
address = 10.0.0.2:2379
";

fn read(text: &str) -> Result<DaemonSettings, InputFindings> {
    DaemonSettings::read("daemon.ini", text)
}

/// Changes the complete settings and asserts the findings, one per line.
fn assert_findings_after(change: impl FnOnce(String) -> String, expected: &str) {
    let findings = read(&change(COMPLETE.to_owned())).expect_err("the settings are invalid");
    assert_eq!(findings.to_string(), expected);
}

#[test]
fn absent_keys_take_their_defaults() {
    let settings = read(COMPLETE).expect("the settings are complete");
    assert_eq!(settings.daemon.name.as_str(), "entry-1");
    assert_eq!(settings.fleet.seeds, Vec::<SocketAddr>::new());
    assert_eq!(settings.limits.body_max.bytes(), 4 << 20);
    assert_eq!(settings.log.format, LogFormat::Terminal);
    assert_eq!(settings.placement.policy, PolicyKind::Affinity);
    assert_eq!(settings.timeouts.connect, Duration::from_millis(250));
    assert_eq!(settings.vm_list_address(), settings.store.address);
    assert!(!settings.invariants.panic);
}

#[test]
fn values_replace_defaults() {
    let text = format!(
        "{COMPLETE}timeout = 750ms\n[placement]\npolicy = least-load\nmemory = 10\n\
         [vm-list]\naddress = 10.0.0.3:80\n[limits]\nbody-max = 512KiB\n"
    )
    .replace("cdef\n", "cdef\nseeds = 10.0.0.8:1, 10.0.0.9:1\n");
    let settings = read(&text).expect("the settings are complete");
    assert_eq!(settings.fleet.seeds.len(), 2);
    assert_eq!(settings.limits.body_max.bytes(), 512 << 10);
    assert_eq!(settings.placement.remembered_chats, 10);
    assert_eq!(settings.placement.policy, PolicyKind::LeastLoad);
    assert_eq!(settings.store.timeout, Duration::from_millis(750));
    assert_eq!(settings.vm_list_address().to_string(), "10.0.0.3:80");
}

#[test]
fn listeners_may_use_port_zero() {
    let text = COMPLETE
        .replace("0.0.0.0:8080", "127.0.0.1:0")
        .replace("10.0.0.7:8081", "127.0.0.1:0");
    read(&text).expect("the settings are complete");
}

#[test]
fn findings_are_reported_together() {
    assert_findings_after(
        |text| {
            text.replace("callers = 0.0.0.0:8080", "calers = 0.0.0.0:8080")
                .replace("10.0.0.7:8081", "10.0.0.7:70000")
                .replace("[operators]\ntoken = fedcba9876543210", "[log]\nlevel = wanring")
                + "timeout = 5\n[plcement]\npolicy = homed\n"
        },
        "\
daemon.ini: [plcement]: the section is unknown; did you mean `[placement]`?
daemon.ini: [daemon] calers: the key is unknown; did you mean `callers`?
daemon.ini: [daemon] callers: the key is missing; it takes: IP address and port
daemon.ini: [daemon] operators: the port 70000 is out of range; ports lie between 1 and 65535
daemon.ini: [log] level: `wanring` is none of `critical`, `debug`, `error`, `info`, `trace`, `warning`; \
did you mean `warning`?
daemon.ini: [operators]: the section is missing
daemon.ini: [store] timeout: `5` has no unit; write `5ms`, `5s`, `5m` or `5h`
",
    );
}

#[test]
fn listeners_must_differ_and_be_reachable() {
    assert_findings_after(
        |text| {
            text.replace("10.0.0.7:8081", "10.0.0.7:8080")
                .replace("10.0.0.7:8083", "0.0.0.0:8082")
        },
        "\
daemon.ini: [daemon] operators: `10.0.0.7:8080` is also the address of `callers`
daemon.ini: [daemon] relay: `0.0.0.0:8082` is also the address of `peers`
daemon.ini: [daemon] relay: other daemons can't reach `0.0.0.0:8082`; write the VM's own address
",
    );
}

#[test]
fn findings_of_values_out_of_range_give_the_range() {
    assert_findings_after(
        |text| {
            text + "calls-per-second = 0\ntimeout = 2h\n\
                [limits]\nbody-max = 4\nbody-deadline = soon\ncallers-max = many\n\
                [timeouts]\nheartbeat = 1s\nsuspect = 1s\n"
        },
        "\
daemon.ini: [limits] body-deadline: `soon` is no duration; write a whole number with its unit, \
such as `250ms`, `5s`, `2m` or `1h`
daemon.ini: [limits] body-max: `4` has no unit; write `4B`, `4KiB` or `4MiB`
daemon.ini: [limits] callers-max: `many` is no whole number
daemon.ini: [store] calls-per-second: `0` is out of range; the range is 1 to 10000
daemon.ini: [store] timeout: `2h` is out of range; the range is 10ms to 1m
daemon.ini: [timeouts] suspect: the time is shorter than two heartbeats
",
    );
}

#[test]
fn duplicate_sections_and_keys_are_reported() {
    assert_findings_after(
        |text| text + "address = 10.0.0.2:1\n[fleet]\nsecret = 0123456789abcdef\n",
        "\
daemon.ini: [fleet]: the section stands twice
daemon.ini: [store] address: the key stands twice in this section
",
    );
}

#[test]
fn syntax_errors_are_reported_by_line_and_other_lines_are_parsed() {
    assert_findings_after(
        |text| text.replace("secret = ", "secret ") + "= 5s\ntimeout = 5s \\\n",
        "\
daemon.ini: line 10: the line is neither a heading nor a key with `=` and a value
daemon.ini: line 17: no key stands before `=`
daemon.ini: line 18: a line can't be continued with `\\`
daemon.ini: [fleet] secret: the key is missing; it takes: secret text
",
    );
}

#[test]
fn comments_and_indentation_are_ignored() {
    let text = COMPLETE.replace('\n', "\n  # 5 = [\n\t; note\r\n  ");
    read(&text).expect("the settings are complete");
}

#[test]
fn secrets_are_not_printed() {
    let settings = read(COMPLETE).expect("the settings are complete");
    let printed = format!("{settings:?}");
    assert!(!printed.contains("0123456789"), "{printed}");
    assert!(!printed.contains("fedcba"), "{printed}");
    assert!(settings.fleet.secret.matches("0123456789abcdef"));
    assert!(!settings.operators.token.matches("0123456789abcdef"));
    assert_findings_after(
        |text| text.replace("0123456789abcdef", "hunter2"),
        "daemon.ini: [fleet] secret: the secret has 7 characters; it needs at least 16\n",
    );
    assert_findings_after(
        |text| text.replace("fedcba9876543210", "0123456789abcdef"),
        "daemon.ini: [operators] token: the token must differ from the fleet's secret\n",
    );
}

#[test]
fn keys_are_sorted() {
    let names = |i: usize| (SETTING_KEYS[i].section, SETTING_KEYS[i].key);
    assert!((1..SETTING_KEYS.len()).all(|i| names(i - 1) < names(i)));
}

#[test]
fn documentation_contains_every_table() {
    let documentation = include_str!("../../../docs/SETTINGS.md");
    for table in KeyTable::of_sections(SETTING_KEYS) {
        let text = format!("## [{}]\n\n{}", table.section, table.text);
        assert!(
            documentation.contains(&text),
            "docs/SETTINGS.md lacks this table:\n{text}"
        );
    }
}

fn config_with_seed(seed: u64) -> Config {
    Config {
        cases: 512,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(seed),
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config_with_seed(71))]

    #[test]
    fn random_text_is_reported(text in ".*") {
        let findings = read(&text).expect_err("random text is never complete");
        prop_assert!(!findings.is_empty());
    }

    #[test]
    fn random_line_changes_are_parsed_or_reported(
        line in 0..15_usize,
        replacement in "[\\[\\]a-z0-9=:;# .,\\\\\"'-]{0,20}",
    ) {
        let text: Vec<&str> = COMPLETE.lines().collect();
        let mut text = text;
        text[line] = &replacement;
        if let Err(findings) = read(&text.join("\n")) {
            prop_assert!(!findings.is_empty());
            prop_assert!(!findings.to_string().contains("0123456789abcdef"));
        }
    }
}
