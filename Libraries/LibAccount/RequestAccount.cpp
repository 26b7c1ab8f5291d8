/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibAccount/RequestAccount.h>
#include <algorithm>

namespace Account {

using Core::EventNumber;

static constexpr i64 first_server_error = 500;
static constexpr i64 bad_gateway = 502;
static constexpr i64 gateway_timeout = 504;

std::string_view to_string(Outcome outcome)
{
    switch (outcome) {
    case Outcome::InTime:
        return "in_time";
    case Outcome::Late:
        return "late";
    case Outcome::Refused:
        return "refused";
    case Outcome::FailedByServer:
        return "failed_by_server";
    case Outcome::Failed:
        return "failed";
    case Outcome::BrokenOff:
        return "broken_off";
    case Outcome::CallerLeft:
        return "caller_left";
    case Outcome::HostEnded:
        return "host_ended";
    }
    VERIFY(false);
}

static void end(RequestTrace& story, LogLine const& line, Outcome outcome, std::string reason = {})
{
    story.outcome = outcome;
    story.ended_at = line.milliseconds;
    story.reason = std::move(reason);
}

/// Of a value that one line has and its goal, both in milliseconds; goals that the log does not tell are kept.
static bool is_over(std::optional<i64> value, std::optional<i64> goal) { return value && goal && *value > *goal; }

static void end_generation(RequestTrace& story, LogLine const& line)
{
    if (line.text("how") != "complete")
        return end(story, line, Outcome::BrokenOff, line.text("how") + line.text("status"));
    auto goal = story.lines.front().number("goal_ms");
    for (auto const& earlier : story.lines) {
        if (earlier.event == EventNumber::FirstTokenDelivered && is_over(earlier.number("waited_ms"), goal))
            return end(story, line, Outcome::Late, "first event after " + earlier.text("waited_ms") + " ms");
    }
    if (!is_over(line.number("longest_gap_ms"), line.number("pause_goal_ms")))
        return end(story, line, Outcome::InTime);
    bool const was_moved = std::ranges::any_of(story.lines, [&](LogLine const& earlier) {
        return earlier.event == EventNumber::GenerationMoved
            && is_over(earlier.number("paused_ms"), line.number("pause_goal_ms"));
    });
    end(story, line, Outcome::Late, was_moved ? "pause of a move" : "pause without a move");
}

static void end_call(RequestTrace& story, LogLine const& line)
{
    if (line.number("status").value_or(0) >= first_server_error)
        return end(story, line, Outcome::FailedByServer, "status " + line.text("status"));
    bool const is_late = is_over(line.number("held_ms"), story.lines.front().number("goal_ms"));
    end(story, line, is_late ? Outcome::Late : Outcome::InTime,
        is_late ? "answered by try " + line.text("tries") : std::string {});
}

static void end_by_own_answer(RequestTrace& story, LogLine const& line)
{
    auto status = line.number("status").value_or(0);
    bool const may_have_run = status == bad_gateway || status == gateway_timeout;
    end(story, line, may_have_run ? Outcome::Failed : Outcome::Refused, line.text("reason"));
}

static void take_end(RequestTrace& story, LogLine const& line)
{
    switch (line.event) {
    case EventNumber::StreamEnded:
        return end_generation(story, line);
    case EventNumber::ServiceCallEnded:
        return end_call(story, line);
    case EventNumber::RequestRefused:
        return end_by_own_answer(story, line);
    case EventNumber::StreamFailed:
        return end(story, line, Outcome::BrokenOff, line.text("reason"));
    case EventNumber::CallerLeft:
        return end(story, line, Outcome::CallerLeft);
    default:
        return;
    }
}

void RequestAccount::take(LogLine line)
{
    if (line.event == EventNumber::RequestReceived) {
        this->index_of_id[line.subject] = this->requests.size();
        RequestTrace story;
        story.id = line.subject;
        story.host = line.host;
        story.route = line.text("route");
        story.received_at = line.milliseconds;
        story.reason = "its host's log ends before it";
        this->requests.push_back(std::move(story));
    }
    auto found = this->index_of_id.find(line.subject);
    if (found == this->index_of_id.end())
        return;
    auto& story = this->requests[found->second];
    story.is_generation = story.is_generation || line.event == EventNumber::GenerationPlaced;
    story.lines.push_back(line);
    take_end(story, line);
}

std::vector<RequestTrace> RequestAccount::traces() const
{
    auto sorted = this->requests;
    std::ranges::stable_sort(sorted, {}, &RequestTrace::received_at);
    return sorted;
}

std::vector<Row> count_by_time(std::vector<RequestTrace> const& stories, u64 span_milliseconds)
{
    std::map<std::pair<u64, std::string>, Row> rows;
    for (auto const& story : traces) {
        auto since_first = story.received_at - traces.front().received_at;
        auto from = since_first / span_milliseconds * span_milliseconds;
        auto& row = rows[{ from, story.route }];
        row.from = from;
        row.route = story.route;
        ++row.counts[static_cast<size_t>(story.outcome)];
    }
    std::vector<Row> all;
    all.reserve(rows.size());
    for (auto& [key, row] : rows)
        all.push_back(std::move(row));
    return all;
}

}
