/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Identifiers.h>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Serving {

/// Tracks the services of which this host has lost contact to all backend servers, by its own connection attempts. It
/// does not tell whether the servers have failed or this host is partitioned from them.
class ServiceContact {
public:
    /// The beginning or end of a loss of contact.
    struct Change {
        ServiceName service;
        bool is_lost { false };
        /// Servers to which connections failed.
        size_t failed_servers { 0 };
        /// Time since the first of these failures.
        Duration lasted { 0 };
    };

    /// A server to which no connection could be made.
    struct FailedServer {
        EngineId id;
        /// No server of the service is nearer to this host. Servers of other failure domains may be unreachable while
        /// those of the own domain are not.
        bool is_among_nearest { true };
    };

    /// Records that a new connection to a server of the service was made.
    void record_contact(ServiceName const&, Instant now);
    /// `servers`: number of servers of the service that accept work, including the failed one.
    void record_failure(ServiceName const&, FailedServer const&, size_t servers, Instant now);
    /// Whether this host has lost contact to all servers of the service.
    [[nodiscard]] bool is_lost(ServiceName const& service) const { return this->lost_at(service) != nullptr; }
    [[nodiscard]] std::vector<ServiceName> lost_services() const;
    [[nodiscard]] bool has_lost_any() const { return this->lost_count > 0; }
    /// Returns the changes since the last call, in their order.
    std::vector<Change> take_changes() { return std::exchange(this->changes, {}); }

private:
    /// Connections to this many different servers in a row fail only if something else is wrong than one server. Of a
    /// smaller service, connections to all servers have to fail.
    static constexpr size_t conclusive_failures = 3;

    struct Failures {
        Instant since {};
        std::set<EngineId> servers;
        bool has_failed_nearest { false };
        bool is_lost { false };
    };
    [[nodiscard]] Failures const* lost_at(ServiceName const&) const;

    /// The failed connections since the last new connection to any server of the service.
    std::unordered_map<ServiceName, Failures> failures;
    size_t lost_count { 0 };
    std::vector<Change> changes;
};

}
