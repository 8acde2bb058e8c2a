//! The end of a drill: everything is stopped, the records are collected, written and judged.

use super::report::round_to_millis;
use super::{io_error, Drill, DrillError, FaultReport, Report};
use crate::audit::{drain_order_durations, judge};
use crate::machine::cpu_of;
use crate::records::{Record, Records};
use rustix::process::Signal;
use std::sync::mpsc::Receiver;

impl Drill<'_> {
    /// Stops everything, collects the records, and judges them.
    pub(super) fn finish(mut self, from: Receiver<(f64, Record)>) -> Result<Report, DrillError> {
        (self.options.progress)("waiting for requests in flight");
        self.clients = None;
        self.stop_controllers()?;
        let Drill {
            script,
            options,
            nodes,
            proxies,
            network,
            slowed_periods,
            directory,
            recorder,
            begin,
            controller_cpu_s,
            ..
        } = self;
        drop((nodes, proxies, network));
        let begin = recorder.seconds_at(begin);
        drop(recorder);
        let mut records = Records(from.try_iter().collect());
        records.0.sort_by(|a, b| a.0.total_cmp(&b.0));
        if options.keep_directory.is_some() {
            records
                .write_logs(&directory.join("records"))
                .map_err(io_error("cannot write the records"))?;
        }
        let drains = drain_order_durations(&records);
        Ok(Report {
            drill: script.name.clone(),
            seed: options.seed,
            baseline: options.even_weights.then(|| "even".to_string()),
            verdict: judge(&records, &script, &slowed_periods),
            faults: fault_reports(&records, begin),
            table_swaps: count_swaps(&records),
            controller_cpu_s: round_to_millis(controller_cpu_s),
            drain_orders_s: drains.into_iter().map(round_to_millis).collect(),
            changes_told: count_changes(&records),
        })
    }

    /// Stops the controllers with SIGTERM, waits for their end and adds up their CPU time.
    fn stop_controllers(&mut self) -> Result<(), DrillError> {
        let mut stopping = Vec::new();
        for number in 0..self.controllers.len() {
            // A controller that a fault has paused handles SIGTERM only after SIGCONT.
            self.signal(number, Signal::CONT);
            self.signal(number, Signal::TERM);
            stopping.extend(self.controllers[number].child.take());
        }
        for mut child in stopping {
            self.controller_cpu_s += cpu_of(child.id());
            child
                .wait()
                .map_err(io_error("cannot wait for a controller process"))?;
        }
        Ok(())
    }
}

fn fault_reports(records: &Records, begin: f64) -> Vec<FaultReport> {
    let report = |(t, record): &(f64, Record)| match record {
        Record::Fault {
            kind,
            injected,
            span,
        } => Some(FaultReport {
            kind: kind.clone(),
            at_s: round_to_millis(t - begin),
            for_s: round_to_millis(*span),
            injected: *injected,
        }),
        _ => None,
    };
    records.0.iter().filter_map(report).collect()
}

fn count_swaps(records: &Records) -> u64 {
    let is_swap = |record: &Record| matches!(record, Record::TablesSwapped { .. });
    let swaps = records.0.iter().filter(|(_, record)| is_swap(record));
    swaps.count() as u64
}

/// How many configuration changes and undoes controllers answered, and how many they accepted.
fn count_changes(records: &Records) -> (usize, usize) {
    let answers = records.0.iter().filter_map(|(_, record)| match record {
        Record::ChangeAnswered { accepted, .. } => Some(*accepted),
        _ => None,
    });
    answers.fold((0, 0), |(all, accepted_count), accepted| {
        (all + 1, accepted_count + usize::from(accepted))
    })
}
