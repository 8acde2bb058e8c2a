//! A fleet in a terminal. One thread asks, the other draws what was last answered and reads keys, so that a
//! conductor that hangs never holds up the screen.

use super::view::Snapshot;
use ratatui::crossterm::event::{self, Event, KeyCode, KeyEventKind};
use ratatui::layout::{Constraint, Layout};
use ratatui::style::{Color, Modifier, Style};
use ratatui::text::{Line, Span};
use ratatui::widgets::Paragraph;
use ratatui::Frame;
use std::io;
use std::sync::mpsc::{channel, TryRecvError};
use std::time::{Duration, Instant};
use wheelspread_fleet::Fleet;

/// What is shown and from which line on.
pub struct Screen {
    snapshot: Option<Snapshot>,
    came: Instant,
    first: usize,
    /// Only conductors with something to look at.
    troubled: bool,
}

/// Between two looks at the keyboard.
const KEYS: Duration = Duration::from_millis(100);

pub fn run(fleet: &Fleet, every: Duration) -> io::Result<()> {
    let (told, snapshots) = channel();
    let fleet = fleet.clone();
    std::thread::spawn(move || loop {
        let begin = Instant::now();
        if told.send(Snapshot::take(&fleet)).is_err() {
            return;
        }
        std::thread::sleep(every.saturating_sub(begin.elapsed()));
    });
    let mut terminal = ratatui::try_init()?;
    let mut screen = Screen::new();
    let ended = loop {
        match snapshots.try_recv() {
            Ok(snapshot) => screen.show(snapshot),
            Err(TryRecvError::Empty) => {}
            Err(TryRecvError::Disconnected) => break Err(io::Error::other("nobody asks any more")),
        }
        if let Err(error) = terminal.draw(|frame| screen.draw(frame)) {
            break Err(error);
        }
        match event::poll(KEYS) {
            Err(error) => break Err(error),
            Ok(false) => {}
            Ok(true) => match event::read() {
                Err(error) => break Err(error),
                Ok(Event::Key(key)) if key.kind == KeyEventKind::Press => {
                    if screen.key(key.code) {
                        break Ok(());
                    }
                }
                Ok(_) => {}
            },
        }
    };
    ratatui::restore();
    ended
}

impl Screen {
    pub fn new() -> Screen {
        Screen {
            snapshot: None,
            came: Instant::now(),
            first: 0,
            troubled: false,
        }
    }

    pub fn show(&mut self, snapshot: Snapshot) {
        (self.snapshot, self.came) = (Some(snapshot), Instant::now());
    }

    /// `true`: it is to end.
    pub fn key(&mut self, key: KeyCode) -> bool {
        match key {
            KeyCode::Char('q') | KeyCode::Esc => return true,
            KeyCode::Char('t') => (self.troubled, self.first) = (!self.troubled, 0),
            KeyCode::Down | KeyCode::Char('j') => self.first += 1,
            KeyCode::Up | KeyCode::Char('k') => self.first = self.first.saturating_sub(1),
            KeyCode::PageDown => self.first += 15,
            KeyCode::PageUp => self.first = self.first.saturating_sub(15),
            _ => {}
        }
        false
    }

    pub fn draw(&mut self, frame: &mut Frame) {
        let plain = Style::default();
        let Some(snapshot) = &self.snapshot else {
            return frame.render_widget(Paragraph::new("asking the fleet ..."), frame.area());
        };
        let minds = snapshot.minds();
        let below = (minds.len().min(4) + 2) as u16;
        let [head, body, foot] = Layout::vertical([
            Constraint::Length(1),
            Constraint::Min(1),
            Constraint::Length(below),
        ])
        .areas(frame.area());
        let bold = plain.add_modifier(Modifier::BOLD);
        frame.render_widget(Line::styled(Snapshot::HEAD, bold), head);
        let mut rows: Vec<(bool, Line)> = Vec::new();
        for (name, answer) in &snapshot.status {
            rows.push(match answer {
                Err(failed) => (
                    true,
                    Line::styled(format!("{name:<14.14}{failed}"), plain.fg(Color::Red)),
                ),
                Ok(told) => {
                    let fill = told["lines_waiting"].as_f64().unwrap_or(0.0)
                        / told["lines_waiting_at_most"]
                            .as_f64()
                            .unwrap_or(1.0)
                            .max(1.0);
                    let lacking = told["configuration_lacking"].as_u64().unwrap_or(0) > 0;
                    let look = fill > 0.5 || lacking || told["gateways"]["joined"] == 0;
                    let style = if look { plain.fg(Color::Yellow) } else { plain };
                    (look, Line::styled(Snapshot::line(name, told), style))
                }
            });
        }
        let all = rows.len();
        let answered = snapshot
            .status
            .values()
            .filter(|answer| answer.is_ok())
            .count();
        let rows: Vec<Line> = rows
            .into_iter()
            .filter(|(look, _)| !self.troubled || *look)
            .map(|(_, line)| line)
            .collect();
        let room = usize::from(body.height);
        self.first = self.first.min(rows.len().saturating_sub(room));
        let (first, last) = (self.first, (self.first + room).min(rows.len()));
        frame.render_widget(Paragraph::new(rows[first..last].to_vec()), body);
        let mut lines: Vec<Line> = minds
            .iter()
            .take(4)
            .map(|text| {
                Line::from(vec![
                    Span::styled("two minds: ", plain.fg(Color::Red)),
                    text.clone().into(),
                ])
            })
            .collect();
        let more = minds.len().saturating_sub(4);
        let more = if more > 0 {
            format!(", {more} more of two minds")
        } else {
            String::new()
        };
        lines.push(Line::styled(
            format!(
                "{answered} of {all} answered in {:.2} s, {:.0} s ago; lines {}-{last} of {}{more}",
                snapshot.seconds,
                self.came.elapsed().as_secs_f64(),
                (first + 1).min(last),
                last.max(first) + rows_after(all, last, self.troubled)
            ),
            bold,
        ));
        lines.push(Line::from("q ends  t troubled only  up/down scroll"));
        frame.render_widget(Paragraph::new(lines), foot);
    }
}

/// Conductors below the last line that is shown; with a filter only what is shown is counted.
fn rows_after(all: usize, last: usize, troubled: bool) -> usize {
    if troubled {
        0
    } else {
        all.saturating_sub(last)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use ratatui::backend::TestBackend;
    use ratatui::Terminal;
    use serde_json::json;
    use std::collections::BTreeMap;
    use wheelspread_drain::consistency::{Disagreement, DisagreementKind};
    use wheelspread_fleet::Failed;

    fn snapshot(count: usize) -> Snapshot {
        let told = json!({ "list": "41", "nodes": { "ready": 318, "draining": 2, "cold": 4 },
            "gateways": { "joined": 267, "known": 270 }, "sums_heard_s": 0.4, "lines_waiting": 400.0,
            "lines_waiting_at_most": 9000.0, "configuration": 12, "configuration_lacking": 0 });
        let answer = |n: usize| match n % 10 {
            7 => Err(Failed::Silent("2.0 s".into())),
            _ => Ok(told.clone()),
        };
        let status = (0..count)
            .map(|n| (format!("conductor-{n:02}"), answer(n)))
            .collect();
        let held = BTreeMap::from([
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
        let found = Disagreement {
            kind: DisagreementKind::EndpointStatus,
            node,
            views: held,
            lists_differ: false,
        };
        Snapshot {
            status,
            disagreements: vec![found],
            seconds: 1.25,
        }
    }

    fn drawn(screen: &mut Screen) -> Vec<String> {
        let mut terminal = Terminal::new(TestBackend::new(80, 24)).expect("a screen in memory");
        terminal.draw(|frame| screen.draw(frame)).expect("drawn");
        let buffer = terminal.backend().buffer().clone();
        let row = |y| {
            (0..80)
                .map(|x| buffer[(x, y)].symbol().to_string())
                .collect::<String>()
        };
        (0..24).map(|y| row(y).trim_end().to_string()).collect()
    }

    #[test]
    fn thirty_conductors_are_readable_at_80_by_24_and_the_rest_is_a_key_away() {
        let mut screen = Screen::new();
        assert!(drawn(&mut screen)[0].contains("asking"));
        screen.show(snapshot(30));
        let rows = drawn(&mut screen);
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
        let rows = drawn(&mut screen);
        assert!(rows[20].starts_with("conductor-29"), "{rows:#?}");
        screen.key(KeyCode::Char('t'));
        let rows = drawn(&mut screen);
        assert!(
            rows[1].starts_with("conductor-07") && rows[3].starts_with("conductor-27"),
            "{rows:#?}"
        );
        assert!(screen.key(KeyCode::Char('q')));
    }
}
