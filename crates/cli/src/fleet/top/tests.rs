//! The terminal view of a fleet, drawn into an in-memory terminal.

use super::*;
use ratatui::backend::TestBackend;
use ratatui::Terminal;
use serde_json::json;
use std::collections::BTreeMap;
use wheelspread_drain::consistency::{Disagreement, DisagreementKind};
use wheelspread_fleet::RequestError;

fn snapshot(count: usize) -> Snapshot {
    let status_body = json!({ "list": "41", "nodes": { "ready": 318, "draining": 2, "cold": 4 },
        "gateways": { "joined": 267, "known": 270 }, "sums_heard_s": 0.4, "lines_waiting": 400.0,
        "lines_waiting_at_most": 9000.0, "configuration": 12, "configuration_lacking": 0 });
    let answer = |n: usize| match n % 10 {
        7 => Err(RequestError::Timeout("2.0 s".into())),
        _ => Ok(status_body.clone()),
    };
    let status = (0..count)
        .map(|n| (format!("conductor-{n:02}"), answer(n)))
        .collect();
    let node_views = BTreeMap::from([
        (
            "draining by order".to_string(),
            vec!["conductor-01".to_string()],
        ),
        (
            "ready".to_string(),
            (2..20).map(|n| format!("conductor-{n:02}")).collect(),
        ),
    ]);
    let node = Some("127.0.0.1:9001".to_string());
    let disagreement = Disagreement {
        kind: DisagreementKind::EndpointStatus,
        node,
        views: node_views,
        lists_differ: false,
    };
    Snapshot {
        status,
        disagreements: vec![disagreement],
        seconds: 1.25,
    }
}

fn draw_rows(screen: &mut Screen) -> Vec<String> {
    let mut terminal =
        Terminal::new(TestBackend::new(80, 24)).expect("create the in-memory terminal");
    terminal
        .draw(|frame| screen.draw(frame))
        .expect("draw the screen");
    let buffer = terminal.backend().buffer().clone();
    let row = |y| {
        (0..80)
            .map(|x| buffer[(x, y)].symbol().to_string())
            .collect::<String>()
    };
    (0..24).map(|y| row(y).trim_end().to_string()).collect()
}

#[test]
fn thirty_controllers_fit_an_80_by_24_terminal_with_paging_and_filter() {
    let mut screen = Screen::new();
    assert!(draw_rows(&mut screen)[0].contains("querying"));
    screen.show(snapshot(30));
    let rows = draw_rows(&mut screen);
    assert!(
        rows[0].starts_with("conductor") && rows[0].ends_with("version"),
        "{rows:#?}"
    );
    assert!(
        rows[1].starts_with("conductor-00") && rows[1].contains("267/270"),
        "{rows:#?}"
    );
    assert!(rows[8].contains("no answer within 2.0 s"), "{rows:#?}");
    assert!(
        rows[21].contains("127.0.0.1:9001: draining by order: conductor-01"),
        "{rows:#?}"
    );
    assert!(
        rows[22].contains("27 of 30 answered in 1.25 s"),
        "{rows:#?}"
    );
    screen.key(KeyCode::PageDown);
    let rows = draw_rows(&mut screen);
    assert!(rows[20].starts_with("conductor-29"), "{rows:#?}");
    screen.key(KeyCode::Char('t'));
    let rows = draw_rows(&mut screen);
    assert!(
        rows[1].starts_with("conductor-07") && rows[3].starts_with("conductor-27"),
        "{rows:#?}"
    );
    assert!(screen.key(KeyCode::Char('q')));
}
