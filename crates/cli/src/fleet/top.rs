//! The terminal view of a fleet. One thread queries the controllers, another draws the latest answers and reads keys,
//! so that a controller that does not answer never blocks the screen.

use super::view::Snapshot;
use ratatui::crossterm::event::{self, Event, KeyCode, KeyEventKind};
use ratatui::layout::{Constraint, Layout};
use ratatui::style::{Color, Modifier, Style};
use ratatui::text::{Line, Span};
use ratatui::widgets::Paragraph;
use ratatui::Frame;
use serde_json::Value;
use std::io;
use std::sync::mpsc::{channel, TryRecvError};
use std::time::{Duration, Instant};
use wheelspread_fleet::{Fleet, RequestError};

/// The state of the terminal view: the latest snapshot, the scroll position and the filter.
pub struct Screen {
    snapshot: Option<Snapshot>,
    taken_at: Instant,
    first_row: usize,
    /// Shows only the controllers that did not answer or need attention.
    only_attention: bool,
}

/// The longest wait for a key between two redraws.
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
            Err(TryRecvError::Disconnected) => break Err(io::Error::other("query thread ended")),
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
    /// A screen without a snapshot.
    pub fn new() -> Screen {
        Screen {
            snapshot: None,
            taken_at: Instant::now(),
            first_row: 0,
            only_attention: false,
        }
    }

    /// Replaces the snapshot by a newer one.
    pub fn show(&mut self, snapshot: Snapshot) {
        (self.snapshot, self.taken_at) = (Some(snapshot), Instant::now());
    }

    /// Handles a key; returns `true` if the program is to end.
    pub fn key(&mut self, key: KeyCode) -> bool {
        match key {
            KeyCode::Char('q') | KeyCode::Esc => return true,
            KeyCode::Char('t') => (self.only_attention, self.first_row) = (!self.only_attention, 0),
            KeyCode::Down | KeyCode::Char('j') => self.first_row += 1,
            KeyCode::Up | KeyCode::Char('k') => self.first_row = self.first_row.saturating_sub(1),
            KeyCode::PageDown => self.first_row += 15,
            KeyCode::PageUp => self.first_row = self.first_row.saturating_sub(15),
            _ => {}
        }
        false
    }

    /// Draws the latest snapshot.
    pub fn draw(&mut self, frame: &mut Frame) {
        let Some(snapshot) = &self.snapshot else {
            return frame.render_widget(Paragraph::new("querying the fleet ..."), frame.area());
        };
        let disagreements = snapshot.disagreement_lines();
        let shown_disagreements = disagreements.len().min(MAX_DISAGREEMENTS);
        let [header, body, footer] = Layout::vertical([
            Constraint::Length(1),
            Constraint::Min(1),
            Constraint::Length((shown_disagreements + 2) as u16),
        ])
        .areas(frame.area());
        let bold = Style::default().add_modifier(Modifier::BOLD);
        frame.render_widget(Line::styled(Snapshot::HEADER, bold), header);
        let all = snapshot.status.len();
        let rows: Vec<Line> = rows(snapshot)
            .into_iter()
            .filter(|row| !self.only_attention || row.needs_attention)
            .map(|row| row.line)
            .collect();
        let height = usize::from(body.height);
        self.first_row = self.first_row.min(rows.len().saturating_sub(height));
        let (first_row, end_row) = (self.first_row, (self.first_row + height).min(rows.len()));
        frame.render_widget(Paragraph::new(rows[first_row..end_row].to_vec()), body);
        let answered = snapshot.status.values().filter(|answer| answer.is_ok());
        let summary = format!(
            "{} of {all} answered in {:.2} s, {:.0} s ago; lines {}-{end_row} of {}{}",
            answered.count(),
            snapshot.seconds,
            self.taken_at.elapsed().as_secs_f64(),
            (first_row + 1).min(end_row),
            end_row.max(first_row) + rows_after(all, end_row, self.only_attention),
            further_disagreements(&disagreements)
        );
        let mut lines = disagreement_lines(&disagreements);
        lines.push(Line::styled(summary, bold));
        lines.push(Line::from("q quits  t attention only  up/down scroll"));
        frame.render_widget(Paragraph::new(lines), footer);
    }
}

/// The maximum number of disagreements shown below the controllers; further ones are only counted.
const MAX_DISAGREEMENTS: usize = 4;
/// A controller needs attention if its update queue is filled above this ratio of its limit.
const ATTENTION_QUEUE_FILL: f64 = 0.5;

/// A controller's line on the screen.
struct Row {
    needs_attention: bool,
    line: Line<'static>,
}

fn rows(snapshot: &Snapshot) -> Vec<Row> {
    let row = |(name, answer): (&String, &Result<Value, RequestError>)| match answer {
        Err(failed) => Row {
            needs_attention: true,
            line: Line::styled(format!("{name:<14.14}{failed}"), color(Color::Red)),
        },
        Ok(status) => {
            let needs_attention = needs_attention(status);
            let style = if needs_attention {
                color(Color::Yellow)
            } else {
                Style::default()
            };
            Row {
                needs_attention,
                line: Line::styled(Snapshot::line(name, status), style),
            }
        }
    };
    snapshot.status.iter().map(row).collect()
}

fn color(color: Color) -> Style {
    Style::default().fg(color)
}

/// Whether a controller's update queue is filled above [`ATTENTION_QUEUE_FILL`], some proxies lack the configuration in
/// force, or no proxy is joined.
fn needs_attention(status: &Value) -> bool {
    let waiting = status["lines_waiting"].as_f64().unwrap_or(0.0);
    let limit = status["lines_waiting_at_most"].as_f64().unwrap_or(1.0);
    let lacking = status["configuration_lacking"].as_u64().unwrap_or(0);
    waiting / limit.max(1.0) > ATTENTION_QUEUE_FILL
        || lacking > 0
        || status["gateways"]["joined"] == 0
}

fn disagreement_lines(disagreements: &[String]) -> Vec<Line<'static>> {
    let line = |text: &String| {
        Line::from(vec![
            Span::styled("controllers disagree: ", color(Color::Red)),
            text.clone().into(),
        ])
    };
    let shown = disagreements.iter().take(MAX_DISAGREEMENTS);
    shown.map(line).collect()
}

fn further_disagreements(disagreements: &[String]) -> String {
    match disagreements.len().saturating_sub(MAX_DISAGREEMENTS) {
        0 => String::new(),
        more => format!(", {more} more disagreements"),
    }
}

/// The number of controllers below the last row shown; 0 with a filter, so that only the rows shown are counted.
fn rows_after(all: usize, end_row: usize, is_filtered: bool) -> usize {
    if is_filtered {
        0
    } else {
        all.saturating_sub(end_row)
    }
}

#[cfg(test)]
mod tests;
