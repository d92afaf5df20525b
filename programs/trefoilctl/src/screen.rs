//! Human-readable tables of the system's status.

use std::time::{SystemTime, UNIX_EPOCH};

use comfy_table::Table;
use comfy_table::presets::UTF8_HORIZONTAL_ONLY;
use control::Overview;
use control::overview::{Failover, Group, Server};

fn table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_style(UTF8_HORIZONTAL_ONLY).set_header(header);
    table
}

fn or_dash<T: ToString>(value: Option<T>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| value.to_string())
}

/// Renders the whole overview as text.
pub fn render_overview(overview: &Overview) -> String {
    let head = format!(
        "version {}, index {}, term {}, leader {}",
        overview.version,
        overview.index,
        overview.term,
        or_dash(overview.leader.as_ref())
    );
    let hint = if overview.leads { "" } else { " (told by a follower: no roles and lag)" };
    let parts = [
        head + hint,
        render_members(overview).to_string(),
        groups(overview).to_string(),
        servers(overview).to_string(),
        entries(overview).to_string(),
        failovers(overview).to_string(),
    ];
    parts.join("\n\n")
}

/// Renders the table of control members.
pub fn render_members(overview: &Overview) -> Table {
    let mut table = table(&["member", "leads", "votes", "link", "web"]);
    for member in &overview.members {
        let leads = overview.leader.as_ref() == Some(&member.name);
        let mark = |yes| if yes { "yes" } else { "" };
        table.add_row([&member.name, mark(leads), mark(member.voter), &member.link, &member.web]);
    }
    table
}

fn groups(overview: &Overview) -> Table {
    let mut table = table(&["group", "primary", "term", "phase", "keepers (connections/slots)"]);
    for group in &overview.groups {
        let (term, primary) = (group.term.to_string(), or_dash(group.primary.as_ref()));
        table.add_row([&group.name, &primary, &term, &group.phase, &keepers(group)]);
    }
    table
}

fn keepers(group: &Group) -> String {
    let keeper = |lease: &control::overview::Lease| {
        let returning = if lease.returning { " returning" } else { "" };
        format!("{} {}/{}{returning}", lease.entry, lease.connections, lease.slots)
    };
    let keepers: Vec<String> = group.leases.iter().map(keeper).collect();
    keepers.join(", ")
}

fn servers(overview: &Overview) -> Table {
    let mut table =
        table(&["group", "server", "zone", "role", "term", "received", "applied", "lag", "note"]);
    for group in &overview.groups {
        for server in &group.servers {
            table.add_row([
                group.name.clone(),
                server.name.clone(),
                server.zone.clone(),
                or_dash(server.role),
                or_dash(server.term),
                or_dash(server.received),
                or_dash(server.applied),
                or_dash(server.lag),
                note(server).to_owned(),
            ]);
        }
    }
    table
}

fn note(server: &Server) -> &'static str {
    match (server.expired, server.leaving) {
        (true, _) => "gone",
        (false, true) => "leaving",
        (false, false) if server.role.is_none() => "not reached",
        (false, false) => "",
    }
}

fn entries(overview: &Overview) -> Table {
    let mut table = table(&["entry", "zone", "keeper", "web", "applied", "note"]);
    for entry in &overview.entries {
        let note = if entry.draining { "draining" } else { "" };
        let (web, applied) = (or_dash(entry.web.as_ref()), or_dash(entry.applied));
        table.add_row([&entry.name, &entry.zone, &entry.address, &web, &applied, note]);
    }
    table
}

fn failovers(overview: &Overview) -> Table {
    let mut table =
        table(&["failover", "term", "cause", "noticed", "fenced", "promoted", "established"]);
    for failover in &overview.failovers {
        table.add_row(failover_row(failover));
    }
    table
}

fn failover_row(failover: &Failover) -> [String; 7] {
    let began = failover.intended_ms;
    let since = |at: Option<u64>| Some(at?.saturating_sub(began?));
    let ago = failover.noticed_ms_ago.or_else(|| since(Some(unix_time_ms())));
    let after = |millis: Option<u64>| {
        millis.map_or_else(|| "-".to_owned(), |millis| format!("+{millis} ms"))
    };
    [
        failover.group.clone(),
        failover.term.to_string(),
        or_dash(failover.cause.as_ref()),
        ago.map_or_else(|| "-".to_owned(), |millis| format!("{} s ago", millis / 1_000)),
        after(failover.fenced_after_ms.or_else(|| since(failover.chosen_ms))),
        after(failover.promoted_after_ms),
        after(failover.established_after_ms.or_else(|| since(failover.established_ms))),
    ]
}

fn unix_time_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}
