/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibAccount/LogLine.h>
#include <array>
#include <optional>
#include <vector>

namespace Account {

enum class Outcome : u8 {
    /// Whole, and within the goals of its route.
    InTime,
    Late,
    /// Answered by the host itself that it has not run.
    Refused,
    /// A backend server's failure, passed on.
    FailedByServer,
    /// Answered by the host itself that it may have run.
    Failed,
    /// A stream that was begun and not ended whole.
    Interrupted,
    /// The caller closed its connection first.
    CallerDisconnected,
    /// The host's process ended, or its log does, before the request.
    HostTerminated,
};

inline constexpr size_t outcome_count = 8;

std::string_view to_string(Outcome);

/// One try of a caller, as its host saw it. Hosts cannot tell a caller's second try from a first one.
struct RequestTrace {
    std::string id;
    std::string host;
    std::string route;
    bool is_generation { false };
    u64 received_at { 0 };
    u64 ended_at { 0 };
    Outcome outcome { Outcome::HostTerminated };
    /// Why it was not served whole and in time; empty when it was.
    std::string reason;
    /// Every line about it, in the order of its host's log.
    std::vector<LogLine> lines;
};

/// Puts together what the hosts' logs say of each request.
class RequestAccount {
public:
    void add(LogLine);
    /// Requests in the order in which they were received.
    [[nodiscard]] std::vector<RequestTrace> traces() const;

private:
    std::vector<RequestTrace> requests;
    std::map<std::string, size_t> index_of_id;
};

/// What became of the requests of one route that were received in one span of time.
struct Row {
    /// Of the span, from the first request of all, in milliseconds.
    u64 from { 0 };
    std::string route;
    std::array<u32, outcome_count> counts {};
};

std::vector<Row> count_by_time(std::vector<RequestTrace> const&, u64 span_milliseconds);

}
