/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibRollout/Controller.h>

namespace Rollout {

/// Share of the allowed time in which the target gets only the trial's share. A version may turn bad only after a
/// while.
static constexpr double trial_part_of_time = 0.4;
/// Answers of the target that the trial needs. A version of which a third of the answers are bad has seven or more bad
/// ones among them in most cases.
static constexpr u64 min_trial_answers = 25;
/// Minimum duration of each later stage: hosts apply the stage, the target answers, and the counts reach the owner.
static constexpr Duration min_stage_time = 1200ms;
/// The period over which the versions are compared besides the whole roll-out.
static constexpr Duration recent_period = 3s;
static constexpr Duration snapshot_period = 500ms;
/// After this multiple of the allowed time, the former version is given up although requests are in progress there.
static constexpr double max_overtime = 2;

static Record successor(Situation const& situation, Stage stage, std::string reason = {})
{
    return { situation.order.row_version, situation.order.target, stage, situation.age, std::move(reason) };
}

static Stage after(Stage stage) { return static_cast<Stage>(static_cast<u8>(stage) + 1); }

std::optional<std::string> Controller::find_fault(Situation const& situation, Instant now)
{
    this->latest = compare(situation.answers);
    if (this->latest.fault)
        return this->latest.fault;
    while (this->snapshots.size() > 1 && now - this->snapshots[1].taken_at >= recent_period)
        this->snapshots.pop_front();
    std::optional<std::string> fault;
    if (!this->snapshots.empty())
        fault = compare(since(situation.answers, this->snapshots.front().answers)).fault;
    if (this->snapshots.empty() || now - this->snapshots.back().taken_at >= snapshot_period)
        this->snapshots.push_back({ now, situation.answers });
    return fault;
}

bool Controller::may_advance(Situation const& situation, Comparison const& comparison) const
{
    if (!situation.is_applied)
        return false;
    if (situation.record->stage != Stage::Trial)
        return situation.stage_age >= min_stage_time;
    auto const trial_time = AK::from_seconds(AK::to_seconds(situation.order.time_allowed) * trial_part_of_time);
    if (situation.age < trial_time || situation.stage_age < min_stage_time)
        return false;
    // So few requests that the slack covers all of them.
    auto const all_answers = comparison.former_answers + comparison.target_answers;
    bool const is_idle = static_cast<double>(all_answers) <= this->limits.slack;
    return comparison.target_answers >= min_trial_answers || is_idle;
}

bool Controller::is_vacated(Situation const& situation)
{
    auto const allowed = situation.order.time_allowed;
    if (situation.age >= AK::from_seconds(AK::to_seconds(allowed) * max_overtime))
        return true;
    bool const awaits_silent_hosts = situation.has_silent_hosts && situation.age < allowed;
    return situation.is_applied && situation.former_in_progress == 0 && !awaits_silent_hosts
        && situation.stage_age >= min_stage_time;
}

std::optional<Record> Controller::next(Situation const& situation, Instant now)
{
    if (!situation.record)
        return successor(situation, Stage::Trial);
    auto const stage = situation.record->stage;
    if (is_final(stage))
        return {};
    if (auto fault = this->find_fault(situation, now))
        return successor(situation, Stage::RolledBack, *fault);
    if (!situation.target_serves)
        return {};
    if (stage == Stage::Retiring)
        return is_vacated(situation) ? std::optional(successor(situation, Stage::Completed)) : std::nullopt;
    if (!this->may_advance(situation, this->latest))
        return {};
    return successor(situation, after(stage));
}

}
