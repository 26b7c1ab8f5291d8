/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Error.h>
#include <map>
#include <string>
#include <vector>

/// Histories of concurrent runs, and offline checks of the promises on them. The checks do not depend on time.
namespace History {

/// One generation as its caller received it, over all its connections.
struct DeliveredGeneration {
    std::string generation;
    /// "completed", "not_run", "may_have_run", or empty if the caller got no final response.
    std::string outcome;
    std::vector<u64> offsets;
    std::vector<std::string> tokens;
};

/// One execution of a generation on an engine.
struct Execution {
    std::string name;
    std::string generation;
    u32 attempt { 0 };
    bool is_finished { false };
    std::vector<std::string> tokens;
};

/// One call of a plain service as its caller saw it.
struct DeliveredCall {
    std::string call;
    std::string idempotency_key;
    std::string path;
    bool is_repeatable { false };
    std::string outcome;
};

/// One execution of a call on a backend server of a plain service.
struct ServiceExecution {
    std::string call;
    std::string idempotency_key;
    std::string path;
};

/// Records that a process had a revision in force.
struct RevisionSeen {
    std::string member;
    u64 incarnation { 0 };
    u64 revision { 0 };
};

struct Record {
    std::vector<DeliveredGeneration> generations;
    std::vector<Execution> executions;
    std::vector<DeliveredCall> calls;
    std::vector<ServiceExecution> service_executions;
    /// For each process in the order in which the revisions were in force.
    std::vector<RevisionSeen> revisions;
};

struct Violation {
    std::string promise;
    std::string detail;
};

/// Parses lines written by callers, engines, services or timelines, and adds them to `record`. Each line is a JSON
/// object, usually with a "kind". Errors: InvalidRequest with the line.
Result<void> read_lines(std::string const& text, Record& record);

/// Checks that each token was delivered exactly once, in order and from a single execution, and that completed
/// responses are complete.
std::vector<Violation> check_delivery(Record const&);
/// Checks that generations and calls with the outcome "not_run" have no execution.
std::vector<Violation> check_not_run(Record const&);
/// Checks that each call that is not repeatable and each idempotency key has at most one execution.
std::vector<Violation> check_at_most_once(Record const&);
/// Checks that no process reverts to an earlier revision.
std::vector<Violation> check_revisions_monotonic(Record const&);
/// Runs all checks above.
std::vector<Violation> check_all(Record const&);

}
