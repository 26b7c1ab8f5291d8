/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Identifiers.h>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Soak {

/// Checks whether hosts comply with what backend servers request in responses to them: back-off, and no new work for a
/// leaving server. A restarted host knows nothing of earlier responses, and a halted host may read a response later
/// than it arrived, so such responses are not checked.
class NoticeChecker {
public:
    /// `drain_time`: for this long after a server has reported that it leaves, hosts may still send requests to it.
    explicit NoticeChecker(Duration drain_time)
        : drain_time(drain_time)
    {
    }

    /// `server` has rejected a request of `host` and requested back-off.
    void record_back_off(std::string const& server, std::string const& host, Duration back_off, Instant now);
    /// `server` reports in a response to `host` that it leaves.
    void record_leaving(std::string const& server, std::string const& host, Instant now);
    /// A request of `host`, which its caller sent at `sent_at`, has reached `server`. Returns the violation, if any.
    [[nodiscard]] std::optional<std::string> check_arrival(
        std::string const& server, std::string const& host, Instant sent_at, Instant now);

    void host_started(std::string const& host);
    void host_halted(std::string const& host, Instant now, Instant until);
    /// A fault may lose or delay responses of the server.
    void server_affected(std::string const& server);

private:
    struct BackOff {
        std::string server;
        std::string host;
        Instant at {};
        Instant until {};
        u32 arrivals { 0 };
    };
    struct Leaving {
        std::string server;
        std::string host;
        Instant at {};
    };

    [[nodiscard]] bool is_halted(std::string const& host, Instant now) const;

    Duration drain_time;
    std::vector<BackOff> back_offs;
    std::vector<Leaving> leavings;
    std::map<std::string, Instant> halted_until;
};

}
