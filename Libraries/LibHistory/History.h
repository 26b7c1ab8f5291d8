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

/// What a concurrent run left behind, and checks of the promises on it after the fact. Nothing here depends on time.
namespace History {

/// One generation as its caller saw it, over all its connections.
struct DeliveredGeneration {
    std::string generation;
    /// "completed", "not_run", "may_have_run", or empty when the caller had no final answer.
    std::string outcome;
    std::vector<u64> offsets;
    std::vector<std::string> tokens;
};

/// One run of a generation at an engine.
struct Execution {
    std::string name;
    std::string generation;
    u32 attempt { 0 };
    bool is_finished { false };
    std::vector<std::string> tokens;
};

/// One plain-service call as its caller saw it.
struct DeliveredCall {
    std::string call;
    std::string idempotency_key;
    std::string path;
    bool is_repeatable { false };
    std::string outcome;
};

/// One run of a plain-service call at a server.
struct ServiceExecution {
    std::string call;
    std::string idempotency_key;
    std::string path;
};

/// A process had a revision in force.
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
    /// In the order in which each process had them.
    std::vector<RevisionSeen> revisions;
};

struct Violation {
    std::string promise;
    std::string detail;
};

/// Adds the lines that a caller, an engine, a service or a time line wrote. Each line is one JSON object with a
/// "kind". Errors: InvalidRequest with the line.
Result<void> read_lines(std::string const& text, Record& record);

/// Every token exactly once, in order, from a single execution; a completed answer is whole.
std::vector<Violation> check_delivery(Record const&);
/// What was refused as not run has no execution.
std::vector<Violation> check_not_run(Record const&);
/// A call that must not be repeated has at most one execution, and so has each idempotency key.
std::vector<Violation> check_at_most_once(Record const&);
/// No process ever goes back to an earlier revision.
std::vector<Violation> check_revisions_monotonic(Record const&);
/// All of the above.
std::vector<Violation> check_all(Record const&);

}
