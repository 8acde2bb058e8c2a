//! Plays the scenario files in `scenarios/`. The notation, a line each, `#` begins a comment:
//!
//! ```text
//! set NAME VALUE                       a setting (a number, true/false or a text)
//! unset NAME                           removes a setting
//! operation KEY=VALUE ..               adds an operation; settings that are not named are ordinary ones
//! start                                starts the balancer, which may fail
//! TIME COMMAND ..                      an event at that second; a decision round follows
//! FROM..TO/EVERY COMMAND ..            the same, again and again
//! alone COMMAND ..                     a command without a decision round
//! expect ..                            what the tables and messages must then be
//! ```
//!
//! Commands: `list` and `change` (endpoint entries `a:z0:w2:k1:age=3:draining`), `join p0 z0 20 [holds]`,
//! `leave p0`, `report z0 a,b attempts=9 failures=1 ms=150 utilization=0.5`, `demand p0 o0 20`, `ack`, `tick`,
//! `gossip BYTES`, `restart`, `reconfigure NAME VALUE`, `restore a 30 8`.
//! `alone` before `peak a 30`, `entries t0 a=1 b=2`, `target t0 b=1` and `plan` drives single steps of the update
//! plan.

mod expectation;
mod stage;

use stage::{number, ScenarioRunner};
use test_case::test_case;

/// Commands that are due, with their times in seconds.
type Timeline<'a> = Vec<(f64, Vec<&'a str>)>;

/// Plays events in the order of their times; an expectation stands after what is written before it.
fn run(scenario_text: &str) {
    let mut runner = ScenarioRunner::default();
    runner.set_defaults();
    let mut timeline = Timeline::new();
    for line in scenario_text.lines() {
        let code = line.split('#').next().unwrap_or("");
        let words: Vec<&str> = code.split_whitespace().collect();
        match words.as_slice() {
            [] => {}
            ["set", name, value] => runner.set(name, value),
            ["unset", name] => runner.unset(name),
            ["operation", arguments @ ..] => runner.add_operation(arguments),
            ["start"] => runner.try_start(),
            ["alone", arguments @ ..] => {
                run_timeline(&mut runner, &mut timeline);
                runner.command(arguments);
            }
            ["expect", arguments @ ..] => {
                run_timeline(&mut runner, &mut timeline);
                assert!(
                    runner.expectation_holds(arguments),
                    "{line}\n{}",
                    runner.describe()
                );
            }
            [time, arguments @ ..] => schedule(&mut timeline, time, arguments),
        }
    }
    run_timeline(&mut runner, &mut timeline);
}

fn schedule<'a>(timeline: &mut Timeline<'a>, time: &str, command: &[&'a str]) {
    let Some((from, end_and_interval)) = time.split_once("..") else {
        return timeline.push((number(time), command.to_vec()));
    };
    let (to, every) = end_and_interval.split_once('/').expect("FROM..TO/EVERY");
    let count = ((number(to) - number(from)) / number(every) + 1e-9) as usize;
    let times = (0..=count).map(|n| number(from) + n as f64 * number(every));
    timeline.extend(times.map(|time| (time, command.to_vec())));
}

fn run_timeline(runner: &mut ScenarioRunner, timeline: &mut Timeline) {
    timeline.sort_by(|a, b| a.0.total_cmp(&b.0));
    for index in 0..timeline.len() {
        let (time, command) = &timeline[index];
        runner.set_time(*time);
        runner.command(command);
        if timeline.get(index + 1).is_none_or(|next| next.0 > *time) {
            runner.decide();
        }
    }
    timeline.clear();
}

#[test_case(include_str!("../../scenarios/additions_wait_for_removals.txt"); "a table that adds load waits for the one that removes it")]
#[test_case(include_str!("../../scenarios/deadlock_ends_by_complete_move.txt"); "a deadlock of tables ends by a complete move")]
#[test_case(include_str!("../../scenarios/deadlock_ends_by_greedy_step.txt"); "a deadlock of tables ends by a greedy step")]
#[test_case(include_str!("../../scenarios/admission_cut_as_last_resort.txt"); "admission is cut last and restored")]
#[test_case(include_str!("../../scenarios/overfilling_weight_rises_in_steps.txt"); "a weight that alone overfills a node rises in steps")]
#[test_case(include_str!("../../scenarios/only_changed_entries_are_sent.txt"); "only entries that change are sent")]
#[test_case(include_str!("../../scenarios/draining_nodes_leave_at_once.txt"); "draining and gone nodes leave tables at once")]
#[test_case(include_str!("../../scenarios/warming_cuts_leave_messages_for_drain.txt"); "repeated cuts of a warming node leave messages for a drain")]
#[test_case(include_str!("../../scenarios/warming_node_waits_for_first_reports.txt"); "a warming node waits for the first load reports after a start")]
#[test_case(include_str!("../../scenarios/restart_during_overload.txt"); "a start in the middle of an overload cuts admission")]
#[test_case(include_str!("../../scenarios/warming_nodes_stay_within_limit.txt"); "warming nodes stay within their limit")]
#[test_case(include_str!("../../scenarios/no_warming_entries_while_proxies_avoid_nodes.txt"); "warming nodes get no entry while proxies avoid the others")]
#[test_case(include_str!("../../scenarios/large_zone_divides_into_subsets.txt"); "a large zone divides into subsets")]
#[test_case(include_str!("../../scenarios/slow_reports_still_teach.txt"); "load reports that take several periods still teach capacity")]
#[test_case(include_str!("../../scenarios/few_remaining_entries_are_not_drowned.txt"); "the few remaining entries of a table are not overloaded")]
#[test_case(include_str!("../../scenarios/warming_limits_leave_messages_for_steps.txt"); "limits of warming nodes leave messages for steps")]
#[test_case(include_str!("../../scenarios/network_delay_is_no_overload.txt"); "delay in the network is no overload")]
#[test_case(include_str!("../../scenarios/warming_node_beside_unheard_controller.txt"); "a warming node beside a controller that is not heard")]
#[test_case(include_str!("../../scenarios/kinds_start_by_first_latencies.txt"); "kinds of node start by the latency of their first requests")]
#[test_case(include_str!("../../scenarios/node_failing_alone_is_slow_itself.txt"); "a node that fails alone is itself slow")]
#[test_case(include_str!("../../scenarios/no_warming_entries_in_unheard_zone.txt"); "no entries of warming nodes in a zone without reports")]
#[test_case(include_str!("../../scenarios/more_subsets_than_table_ids.txt"); "more subsets than table ids")]
#[test_case(include_str!("../../scenarios/admission_leaves_messages_for_steps.txt"); "admission changes leave messages for steps")]
#[test_case(include_str!("../../scenarios/join_storm_stays_within_queue.txt"); "a storm of joins stays within the update queue")]
#[test_case(include_str!("../../scenarios/restart_with_stale_endpoint_list.txt"); "a restart with a stale endpoint list")]
#[test_case(include_str!("../../scenarios/outliers_are_ejected_and_tried_again.txt"); "silent nodes are ejected and tried again, busy ones stay")]
#[test_case(include_str!("../../scenarios/retry_policy_by_kind_group_and_window.txt"); "retry policy by kind, group and window")]
#[test_case(include_str!("../../scenarios/restored_capacity_holds_until_reports.txt"); "restored capacity holds until load reports say otherwise")]
#[test_case(include_str!("../../scenarios/reconfigured_values_hold_at_once.txt"); "reconfigured values hold at once, other operations are refused")]
#[test_case(include_str!("../../scenarios/overload_rejects_cheapest_first.txt"); "overload rejects the cheapest first and not below what was served")]
#[test_case(include_str!("../../scenarios/admission_limits_as_rates.txt"); "admission limits as rates")]
#[test_case(include_str!("../../scenarios/invalid_events_change_nothing.txt"); "invalid events change nothing")]
#[test_case(include_str!("../../scenarios/missing_setting_is_named.txt"); "a missing setting is named")]
#[test_case(include_str!("../../scenarios/zone_bound_operations_use_own_nodes.txt"); "operations that stay in their zone use its nodes only")]
#[test_case(include_str!("../../scenarios/zone_without_nodes_gets_entries_later.txt"); "a zone without nodes gets entries when they come")]
#[test_case(include_str!("../../scenarios/zone_divides_late.txt"); "a zone that divides into subsets late")]
#[test_case(include_str!("../../scenarios/late_reports_of_removed_node_are_forgotten.txt"); "late load reports of a removed node leave nothing behind")]
#[test_case(include_str!("../../scenarios/consecutive_drains_keep_to_message_cap.txt"); "consecutive drains keep to the message cap")]
#[test_case(include_str!("../../scenarios/messages_count_across_connections.txt"); "messages count across connections of a proxy")]
#[test_case(include_str!("../../scenarios/messages_before_restart_count.txt"); "messages from before a restart count")]
#[test_case(include_str!("../../scenarios/consecutive_joins_move_no_subset.txt"); "consecutive joins move no subset's table")]
#[test_case(include_str!("../../scenarios/unacknowledged_markers_delay_no_join.txt"); "markers that are never acknowledged delay no join")]
fn scenario(scenario_text: &str) {
    run(scenario_text);
}
