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

/// What backend servers have asked of single hosts in their answers, and whether the hosts keep to it. A host that has
/// started anew knows nothing of it; one that is halted may read an answer later than it came.
class NoticeChecker {
public:
    /// `drain_time`: how long after a server's word that it leaves requests may still be sent to it.
    explicit NoticeChecker(Duration drain_time)
        : drain_time(drain_time)
    {
    }

    /// `server` has turned a request of `host` away and asked for back-off.
    void record_back_off(std::string const& server, std::string const& host, Duration back_off, Instant now);
    /// `server` answers `host`, and says that it leaves.
    void record_leaving(std::string const& server, std::string const& host, Instant now);
    /// A request of `host`, which its caller sent at `sent_at`, has reached `server`. Answers what is wrong with that.
    [[nodiscard]] std::optional<std::string> check_arrival(
        std::string const& server, std::string const& host, Instant sent_at, Instant now);

    void host_started(std::string const& host);
    void host_halted(std::string const& host, Instant now, Instant until);
    /// Answers of the server may be lost or late.
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
