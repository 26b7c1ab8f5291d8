/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Identifiers.h>
#include <unordered_map>

namespace Serving {

/// What all hosts together may send to a service beyond the first dispatch of each request, and this host's part of
/// it: a share of the requests it has itself taken, and its part of a fixed allowance. Every host keeps to its own
/// part, so the whole is kept without talk between them.
class RetryBudget {
public:
    struct Limits {
        /// Further dispatches for each request.
        double ratio { 0.2 };
        /// Further dispatches in a window on top, for all hosts together.
        double allowance { 50 };
        Duration window { 10s };
        /// Hosts that share the allowance, at least.
        u32 hosts { 8 };
    };

    /// What was decided, with what decided it.
    struct Decision {
        bool is_granted { false };
        /// Further dispatches that this host may still make now.
        double left { 0 };
        /// Hosts among which the allowance is divided.
        u32 hosts { 1 };
    };

    explicit RetryBudget(Limits limits)
        : limits(limits)
    {
    }

    /// Takes effect with the next request; what has been earned is kept.
    void set_limits(Limits changed) { this->limits = changed; }
    /// Hosts that are known to share the allowance; the setting holds until more are known.
    void set_known_hosts(u32 count) { this->known_hosts = count; }
    /// A request has come; it earns its share of a further dispatch.
    void note_request(ServiceName const&, Instant now);
    /// Takes one further dispatch out of the budget, if there is one.
    [[nodiscard]] Decision take(ServiceName const&, Instant now);

private:
    struct Account {
        double available { 0 };
        Instant last_refill {};
    };
    Account& refilled(ServiceName const&, Instant now);
    [[nodiscard]] u32 sharing_hosts() const;
    [[nodiscard]] double allowance_of_this_host() const;

    Limits limits;
    u32 known_hosts { 0 };
    std::unordered_map<ServiceName, Account> accounts;
};

}
