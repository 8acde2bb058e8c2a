//! The end of a drill: everything stops, the records are collected, kept and judged.

use super::{named, Drill, DrillError, FaultReport, Report};
use crate::audit::{drain_order_times, judge};
use crate::machine::cpu_of;
use crate::records::{Record, Records};
use rustix::process::Signal;
use std::sync::mpsc::Receiver;

impl Drill<'_> {
    pub(super) fn finish(mut self, from: Receiver<(f64, Record)>) -> Result<Report, DrillError> {
        (self.options.progress)("waiting for what is under way");
        self.clients = None;
        let mut stopping = Vec::new();
        for number in 0..self.controllers.len() {
            self.signal(number, Signal::CONT);
            self.signal(number, Signal::TERM);
            stopping.extend(self.controllers[number].child.take());
        }
        for mut child in stopping {
            self.cpu += cpu_of(child.id());
            child.wait().map_err(named("a conductor"))?;
        }
        let Drill {
            script,
            options,
            nodes,
            proxies,
            network,
            slowed,
            directory,
            recorder,
            begin,
            cpu,
            ..
        } = self;
        drop((nodes, proxies, network));
        let begin = recorder.at(begin);
        drop(recorder);
        let mut records = Records(from.try_iter().collect());
        records.0.sort_by(|a, b| a.0.total_cmp(&b.0));
        if options.keep.is_some() {
            records
                .keep(&directory.join("records"))
                .map_err(named("the records"))?;
        }
        let verdict = judge(&records, &script, &slowed);
        let drain_orders_s = drain_order_times(&records).into_iter().map(round).collect();
        let told = records.0.iter().filter_map(|(_, record)| match record {
            Record::Changed { taken, .. } => Some(*taken),
            _ => None,
        });
        let changes_told = told.fold((0, 0), |(all, took), taken| {
            (all + 1, took + usize::from(taken))
        });
        let fault = |(t, record): &(f64, Record)| match record {
            Record::Fault {
                kind,
                injected,
                span,
            } => Some(FaultReport {
                kind: kind.clone(),
                at_s: round(t - begin),
                for_s: round(*span),
                injected: *injected,
            }),
            _ => None,
        };
        let swaps = records
            .0
            .iter()
            .filter(|(_, record)| matches!(record, Record::Swapped { .. }))
            .count();
        Ok(Report {
            drill: script.name.clone(),
            seed: options.seed,
            baseline: options.even.then(|| "even".to_string()),
            faults: records.0.iter().filter_map(fault).collect(),
            table_swaps: swaps as u64,
            controller_cpu_s: round(cpu),
            drain_orders_s,
            changes_told,
            verdict,
        })
    }
}

fn round(value: f64) -> f64 {
    (value * 1000.0).round() / 1000.0
}
