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
mod tests;
