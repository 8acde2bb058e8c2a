//! Runs the scenario files in `scenarios/`. Each line is a directive; `#` begins a comment:
//!
//! ```text
//! set NAME VALUE                       a setting (a number, true/false or a text)
//! unset NAME                           removes a setting
//! operation KEY=VALUE ..               adds an operation; settings that are not given have default values
//! start                                starts the balancer; an error is recorded for `expect error`
//! TIME COMMAND ..                      an event at that time in seconds; a decision round follows
//! FROM..TO/EVERY COMMAND ..            the same event, repeated every EVERY seconds
//! alone COMMAND ..                     a command without a decision round
//! expect ..                            an expectation of the current tables, messages or errors
//! ```
//!
//! Commands: `list` and `change` (endpoint entries `a:z0:w2:k1:age=3:draining`), `join p0 z0 20 [holds]`,
//! `leave p0`, `report z0 a,b attempts=9 failures=1 ms=150 utilization=0.5`, `demand p0 o0 20`, `ack`, `tick`,
//! `gossip BYTES`, `restart`, `reconfigure NAME VALUE`, `restore a 30 8`.
//! With `alone`, the commands `peak a 30`, `entries t0 a=1 b=2`, `target t0 b=1` and `plan` run single steps of the
//! update plan.

mod expectation;
mod stage;

use stage::{number, ScenarioRunner};
use test_case::test_case;

/// Scheduled commands with their times in seconds.
type Timeline<'a> = Vec<(f64, Vec<&'a str>)>;

/// Runs a scenario. Events run in the order of their times; an expectation is checked after all events written
/// before it.
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

#[test_case(include_str!("../../scenarios/additions_wait_for_removals.txt"); "a table that adds load waits for the table that removes it")]
#[test_case(include_str!("../../scenarios/deadlock_ends_by_complete_move.txt"); "a deadlock of tables is resolved by a complete move")]
#[test_case(include_str!("../../scenarios/deadlock_ends_by_greedy_step.txt"); "a deadlock of tables is resolved by a greedy step")]
#[test_case(include_str!("../../scenarios/admission_cut_as_last_resort.txt"); "admission is cut if no table can move and restored later")]
#[test_case(include_str!("../../scenarios/overfilling_weight_rises_in_steps.txt"); "a weight that alone exceeds the limit of a node rises in steps")]
#[test_case(include_str!("../../scenarios/only_changed_entries_are_sent.txt"); "only changed entries are sent")]
#[test_case(include_str!("../../scenarios/draining_nodes_leave_at_once.txt"); "draining and gone nodes are removed from tables at once")]
#[test_case(include_str!("../../scenarios/warming_cuts_leave_messages_for_drain.txt"); "repeatedly lowered weights of a warming node leave messages for a drain")]
#[test_case(include_str!("../../scenarios/warming_node_waits_for_first_reports.txt"); "a warming node waits for the first load reports after a start")]
#[test_case(include_str!("../../scenarios/restart_during_overload.txt"); "admission is cut after a start during an overload")]
#[test_case(include_str!("../../scenarios/warming_nodes_stay_within_limit.txt"); "warming nodes stay within their load limit")]
#[test_case(include_str!("../../scenarios/no_warming_entries_while_proxies_avoid_nodes.txt"); "warming nodes get no entry while proxies avoid the other nodes")]
#[test_case(include_str!("../../scenarios/large_zone_divides_into_subsets.txt"); "a large zone is divided into subsets")]
#[test_case(include_str!("../../scenarios/slow_reports_still_teach.txt"); "capacity is learned from load reports that take several periods")]
#[test_case(include_str!("../../scenarios/few_remaining_entries_are_not_drowned.txt"); "the few remaining entries of a table are not overloaded")]
#[test_case(include_str!("../../scenarios/warming_limits_leave_messages_for_steps.txt"); "limits of warming nodes leave messages for update steps")]
#[test_case(include_str!("../../scenarios/network_delay_is_no_overload.txt"); "network delay is not treated as overload")]
#[test_case(include_str!("../../scenarios/warming_node_beside_unheard_controller.txt"); "a warming node gets its share beside a controller without gossip")]
#[test_case(include_str!("../../scenarios/kinds_start_by_first_latencies.txt"); "the initial capacity of a kind follows the latency of its first requests")]
#[test_case(include_str!("../../scenarios/node_failing_alone_is_slow_itself.txt"); "the share of a single failing slow node is reduced")]
#[test_case(include_str!("../../scenarios/no_warming_entries_in_unheard_zone.txt"); "warming nodes get no entry in a zone without reports")]
#[test_case(include_str!("../../scenarios/more_subsets_than_table_ids.txt"); "settings for more subsets than table IDs cause no error")]
#[test_case(include_str!("../../scenarios/admission_leaves_messages_for_steps.txt"); "admission changes leave messages for update steps")]
#[test_case(include_str!("../../scenarios/join_storm_stays_within_queue.txt"); "many simultaneous joins stay within the update queue")]
#[test_case(include_str!("../../scenarios/restart_with_stale_endpoint_list.txt"); "a restart with a stale cached endpoint list")]
#[test_case(include_str!("../../scenarios/outliers_are_ejected_and_tried_again.txt"); "failing nodes are ejected and put on probation, overloaded ones are not")]
#[test_case(include_str!("../../scenarios/retry_policy_by_kind_group_and_window.txt"); "retry policy follows the settings repeat, repeat_group and repeat_window")]
#[test_case(include_str!("../../scenarios/restored_capacity_holds_until_reports.txt"); "restored capacity is used until load reports arrive")]
#[test_case(include_str!("../../scenarios/reconfigured_values_hold_at_once.txt"); "reconfigured values apply at once, changed operations are an error")]
#[test_case(include_str!("../../scenarios/overload_rejects_cheapest_first.txt"); "overload rejects the lowest billed value first and not below the served rate")]
#[test_case(include_str!("../../scenarios/admission_limits_as_rates.txt"); "admission limits are rates per proxy")]
#[test_case(include_str!("../../scenarios/invalid_events_change_nothing.txt"); "invalid events are errors and change nothing")]
#[test_case(include_str!("../../scenarios/missing_setting_is_named.txt"); "a missing setting is named in the error")]
#[test_case(include_str!("../../scenarios/zone_bound_operations_use_own_nodes.txt"); "operations that stay in their zone use its nodes only")]
#[test_case(include_str!("../../scenarios/zone_without_nodes_gets_entries_later.txt"); "a zone without nodes gets entries when nodes are listed")]
#[test_case(include_str!("../../scenarios/zone_divides_late.txt"); "a zone is divided after its proxies have joined")]
#[test_case(include_str!("../../scenarios/late_reports_of_removed_node_are_forgotten.txt"); "late load reports of a removed node are not kept")]
#[test_case(include_str!("../../scenarios/consecutive_drains_keep_to_message_cap.txt"); "consecutive drains keep to the message cap")]
#[test_case(include_str!("../../scenarios/messages_count_across_connections.txt"); "messages count across the connections of a proxy")]
#[test_case(include_str!("../../scenarios/messages_before_restart_count.txt"); "messages sent before a restart count")]
#[test_case(include_str!("../../scenarios/consecutive_joins_move_no_subset.txt"); "consecutive joins do not move the subset ranges")]
#[test_case(include_str!("../../scenarios/unacknowledged_markers_delay_no_join.txt"); "unacknowledged markers do not delay joins")]
#[test_case(include_str!("../../scenarios/wrong_counts_raise_no_warming_limit.txt"); "wrong counts in load reports raise no limit of a warming node")]
#[test_case(include_str!("../../scenarios/wrong_windows_lower_no_weight.txt"); "wrong windows of load reports lower no weight")]
#[test_case(include_str!("../../scenarios/wrong_demand_cuts_no_admission.txt"); "wrong demand reports cut no admission")]
#[test_case(include_str!("../../scenarios/lasting_surge_is_believed.txt"); "a surge that lasts is believed")]
fn scenario(scenario_text: &str) {
    run(scenario_text);
}
