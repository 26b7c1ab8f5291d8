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
    case Outcome::Interrupted:
        return "broken_off";
    case Outcome::CallerDisconnected:
        return "caller_left";
    case Outcome::HostTerminated:
        return "host_ended";
    }
    VERIFY(false);
}

static void end(RequestTrace& trace, LogLine const& line, Outcome outcome, std::string reason = {})
{
    trace.outcome = outcome;
    trace.ended_at = line.milliseconds;
    trace.reason = std::move(reason);
}

/// Whether a value exceeds its goal, both in milliseconds. A goal that the log does not have counts as met.
static bool is_over(std::optional<i64> value, std::optional<i64> goal) { return value && goal && *value > *goal; }

static void end_generation(RequestTrace& trace, LogLine const& line)
{
    if (line.text("how") != "complete")
        return end(trace, line, Outcome::Interrupted, line.text("how") + line.text("status"));
    auto goal = trace.lines.front().number("goal_ms");
    for (auto const& earlier : trace.lines) {
        if (earlier.event == EventNumber::FirstTokenDelivered && is_over(earlier.number("waited_ms"), goal))
            return end(trace, line, Outcome::Late, "first event after " + earlier.text("waited_ms") + " ms");
    }
    if (!is_over(line.number("longest_gap_ms"), line.number("pause_goal_ms")))
        return end(trace, line, Outcome::InTime);
    bool const was_moved = std::ranges::any_of(trace.lines, [&](LogLine const& earlier) {
        return earlier.event == EventNumber::GenerationMoved
            && is_over(earlier.number("paused_ms"), line.number("pause_goal_ms"));
    });
    end(trace, line, Outcome::Late, was_moved ? "pause of a move" : "pause without a move");
}

static void end_call(RequestTrace& trace, LogLine const& line)
{
    if (line.number("status").value_or(0) >= first_server_error)
        return end(trace, line, Outcome::FailedByServer, "status " + line.text("status"));
    bool const is_late = is_over(line.number("held_ms"), trace.lines.front().number("goal_ms"));
    end(trace, line, is_late ? Outcome::Late : Outcome::InTime,
        is_late ? "answered by try " + line.text("tries") : std::string {});
}

static void end_with_host_response(RequestTrace& trace, LogLine const& line)
{
    auto status = line.number("status").value_or(0);
    bool const may_have_run = status == bad_gateway || status == gateway_timeout;
    end(trace, line, may_have_run ? Outcome::Failed : Outcome::Refused, line.text("reason"));
}

static void apply_end(RequestTrace& trace, LogLine const& line)
{
    switch (line.event) {
    case EventNumber::StreamEnded:
        return end_generation(trace, line);
    case EventNumber::ServiceCallEnded:
        return end_call(trace, line);
    case EventNumber::RequestRefused:
        return end_with_host_response(trace, line);
    case EventNumber::StreamFailed:
        return end(trace, line, Outcome::Interrupted, line.text("reason"));
    case EventNumber::CallerLeft:
        return end(trace, line, Outcome::CallerDisconnected);
    default:
        return;
    }
}

void RequestAccount::add(LogLine line)
{
    if (line.event == EventNumber::RequestReceived) {
        this->index_of_id[line.subject] = this->requests.size();
        RequestTrace trace;
        trace.id = line.subject;
        trace.host = line.host;
        trace.route = line.text("route");
        trace.received_at = line.milliseconds;
        trace.reason = "its host's log ends before it";
        this->requests.push_back(std::move(trace));
    }
    auto found = this->index_of_id.find(line.subject);
    if (found == this->index_of_id.end())
        return;
    auto& trace = this->requests[found->second];
    trace.is_generation = trace.is_generation || line.event == EventNumber::GenerationPlaced;
    trace.lines.push_back(line);
    apply_end(trace, line);
}

std::vector<RequestTrace> RequestAccount::traces() const
{
    auto sorted = this->requests;
    std::ranges::stable_sort(sorted, {}, &RequestTrace::received_at);
    return sorted;
}

std::vector<Row> count_by_time(std::vector<RequestTrace> const& traces, u64 span_milliseconds)
{
    std::map<std::pair<u64, std::string>, Row> rows;
    for (auto const& trace : traces) {
        auto since_first = trace.received_at - traces.front().received_at;
        auto from = since_first / span_milliseconds * span_milliseconds;
        auto& row = rows[{ from, trace.route }];
        row.from = from;
        row.route = trace.route;
        ++row.counts[static_cast<size_t>(trace.outcome)];
    }
    std::vector<Row> all;
    all.reserve(rows.size());
    for (auto& [key, row] : rows)
        all.push_back(std::move(row));
    return all;
}

}
