//! A fleet in a terminal. One thread queries, the other draws the last answers and reads keys, so that a
//! controller that hangs never holds up the screen.

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
    taken_at: Instant,
    first: usize,
    /// Only controllers that did not answer or need attention.
    only_attention: bool,
}

/// How long a key is waited for between two drawings.
const KEY_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Shows the fleet until `q` is pressed.
pub fn run(fleet: &Fleet, every: Duration) -> io::Result<()> {
    let (sender, snapshots) = channel();
    let fleet = fleet.clone();
    std::thread::spawn(move || loop {
        let begin = Instant::now();
        if sender.send(Snapshot::take(&fleet)).is_err() {
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
        match event::poll(KEY_POLL_INTERVAL) {
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
    /// Nothing is known yet.
    pub fn new() -> Screen {
        Screen {
            snapshot: None,
            taken_at: Instant::now(),
            first: 0,
            only_attention: false,
        }
    }

    /// Takes over newer answers.
    pub fn show(&mut self, snapshot: Snapshot) {
        (self.snapshot, self.taken_at) = (Some(snapshot), Instant::now());
    }

    /// Handles a key; `true` ends the program.
    pub fn key(&mut self, key: KeyCode) -> bool {
        match key {
            KeyCode::Char('q') | KeyCode::Esc => return true,
            KeyCode::Char('t') => (self.only_attention, self.first) = (!self.only_attention, 0),
            KeyCode::Down | KeyCode::Char('j') => self.first += 1,
            KeyCode::Up | KeyCode::Char('k') => self.first = self.first.saturating_sub(1),
            KeyCode::PageDown => self.first += 15,
            KeyCode::PageUp => self.first = self.first.saturating_sub(15),
            _ => {}
        }
        false
    }

    /// Draws the last answers.
    pub fn draw(&mut self, frame: &mut Frame) {
        let plain = Style::default();
        let Some(snapshot) = &self.snapshot else {
            return frame.render_widget(Paragraph::new("asking the fleet ..."), frame.area());
        };
        let disagreements = snapshot.disagreement_lines();
        let below = (disagreements.len().min(4) + 2) as u16;
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
                Ok(answer) => {
                    let fill = answer["lines_waiting"].as_f64().unwrap_or(0.0)
                        / answer["lines_waiting_at_most"]
                            .as_f64()
                            .unwrap_or(1.0)
                            .max(1.0);
                    let lacking = answer["configuration_lacking"].as_u64().unwrap_or(0) > 0;
                    let needs_attention =
                        fill > 0.5 || lacking || answer["gateways"]["joined"] == 0;
                    let style = if needs_attention {
                        plain.fg(Color::Yellow)
                    } else {
                        plain
                    };
                    (
                        needs_attention,
                        Line::styled(Snapshot::line(name, answer), style),
                    )
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
            .filter(|(needs_attention, _)| !self.only_attention || *needs_attention)
            .map(|(_, line)| line)
            .collect();
        let height = usize::from(body.height);
        self.first = self.first.min(rows.len().saturating_sub(height));
        let (first, last) = (self.first, (self.first + height).min(rows.len()));
        frame.render_widget(Paragraph::new(rows[first..last].to_vec()), body);
        let mut lines: Vec<Line> = disagreements
            .iter()
            .take(4)
            .map(|text| {
                Line::from(vec![
                    Span::styled("two minds: ", plain.fg(Color::Red)),
                    text.clone().into(),
                ])
            })
            .collect();
        let more = disagreements.len().saturating_sub(4);
        let more = if more > 0 {
            format!(", {more} more of two minds")
        } else {
            String::new()
        };
        lines.push(Line::styled(
            format!(
                "{answered} of {all} answered in {:.2} s, {:.0} s ago; lines {}-{last} of {}{more}",
                snapshot.seconds,
                self.taken_at.elapsed().as_secs_f64(),
                (first + 1).min(last),
                last.max(first) + rows_after(all, last, self.only_attention)
            ),
            bold,
        ));
        lines.push(Line::from("q ends  t troubled only  up/down scroll"));
        frame.render_widget(Paragraph::new(lines), foot);
    }
}

/// Controllers below the last line that is shown; with a filter only what is shown is counted.
fn rows_after(all: usize, last: usize, is_filtered: bool) -> usize {
    if is_filtered {
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
