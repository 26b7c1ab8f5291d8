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
    /// Completed within the goals of its route.
    InTime,
    /// Completed, but not within the goals of its route.
    Late,
    /// The host itself responded that the request has not run.
    Refused,
    /// The host forwarded the error of a backend server.
    FailedByServer,
    /// The host itself responded that the request failed and may have run.
    Failed,
    /// A stream that started and did not complete.
    Interrupted,
    /// The caller closed its connection before the end.
    CallerDisconnected,
    /// The process of the host terminated, or its log ends, before the request did.
    HostTerminated,
};

inline constexpr size_t outcome_count = 8;

std::string_view to_string(Outcome);

/// One attempt of a caller, as its host logged it. Hosts cannot distinguish a caller's retry from a first attempt.
struct RequestTrace {
    std::string id;
    std::string host;
    std::string route;
    bool is_generation { false };
    u64 received_at { 0 };
    u64 ended_at { 0 };
    Outcome outcome { Outcome::HostTerminated };
    /// Why it was not completed in time; empty if it was.
    std::string reason;
    /// All lines about the request, in the order of its host's log.
    std::vector<LogLine> lines;
};

/// Collects the lines of each request from the logs of the hosts.
class RequestAccount {
public:
    void add(LogLine);
    /// Returns the requests in the order of their arrival.
    [[nodiscard]] std::vector<RequestTrace> traces() const;

private:
    std::vector<RequestTrace> requests;
    std::map<std::string, size_t> index_of_id;
};

/// Outcomes of the requests of one route that were received in one span of time.
struct Row {
    /// Start of the span in milliseconds after the first request of all.
    u64 from { 0 };
    std::string route;
    std::array<u32, outcome_count> counts {};
};

std::vector<Row> count_by_time(std::vector<RequestTrace> const&, u64 span_milliseconds);

}
