/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Identifiers.h>
#include <functional>
#include <string>
#include <vector>

/// The result of one generation, as seen by its caller.
struct GenerationResult {
    std::string generation;
    /// "completed", "not_run" or "may_have_run"; empty if there was no final response.
    std::string outcome;
    int status { 0 };
    std::string error;
    std::vector<u64> offsets;
    std::vector<std::string> tokens;
    Duration stall { 0 };
    std::vector<Duration> gaps;
    u32 resumes { 0 };
    bool had_retry_after { false };
};

struct CallResult {
    std::string call;
    std::string outcome;
    int status { 0 };
    std::string body;
};

/// A client of the gateways: streams generations, resumes them at another gateway when a connection breaks, and makes
/// plain-service calls. All calls block. Not thread-safe: each thread needs its own object.
class CallerClient {
public:
    CallerClient(std::vector<Address> gateways, std::string api_key);

    using OnToken = std::function<void(std::string const&)>;
    GenerationResult generate(size_t first_gateway, std::string const& route, std::string const& prompt,
        Duration deadline, OnToken const& on_token = {});
    CallResult call_service(size_t gateway, std::string const& method, std::string const& path,
        std::string const& idempotency_key, std::string const& body);

private:
    struct Progress {
        GenerationResult result;
        std::string resume_token;
        Instant requested_at;
        Instant last_token_at;
    };

    /// Returns the first gateway, starting at `first`, that reports that it is ready; the platform's load balancer
    /// chooses in the same way. Returns `first` if none is ready.
    size_t ready_gateway(size_t first) const;
    /// Reads events from one connection until it ends. Returns whether a final event was received.
    bool read_stream(Progress&, std::istream&, OnToken const&);
    /// Handles one event. Returns whether it was the final one.
    bool read_event(Progress&, std::string const& data, OnToken const&);
    bool connect_and_read(Progress&, Address const&, std::string const& method, std::string const& path,
        std::string const& body, Duration deadline, OnToken const&);

    std::vector<Address> gateways;
    std::string api_key;
};
