/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibServing/RecentCount.h>
#include <optional>
#include <unordered_map>

namespace Serving {

/// What all hosts together may send to a service beyond the first dispatch of each request in any window, and this
/// host's part of it: a share of the requests that it takes, and its part of a fixed allowance. Every host keeps to its
/// own part, so the sum holds without talk about single repeats.
///
/// The sum holds in any window, whatever hosts have done before it: what a host's requests have earned it may save up
/// to a little more than one repeat, which is taken off its part of the allowance, and the rest of that part is spent
/// once in a window by a record of the window itself. A host that starts has saved nothing and has no part yet, so it
/// cannot repeat a second time what its former process did.
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
        /// Hosts among which the allowance is divided; 0 while this host has no part of it.
        u32 hosts { 0 };
    };

    explicit RetryBudget(Limits limits)
        : limits(limits)
    {
    }

    /// Takes effect with the next request. A window of another length begins without a part of the allowance, as after
    /// a start.
    void set_limits(Limits);
    /// How many hosts share the allowance, as far as it is known `now`. A host that does not know has no part of it,
    /// and gets one only a window after it came to know: what its former process spent, and what others take for their
    /// part until they have heard of it, has left the window then.
    void set_sharing_hosts(std::optional<u32> hosts, Instant now);
    /// A request has come; it earns its share of a further dispatch.
    void record_request(ServiceName const&, Instant now);
    /// Takes one further dispatch out of the budget, if there is one.
    [[nodiscard]] Decision take(ServiceName const&, Instant now);

private:
    struct Account {
        /// By requests, and not used yet.
        double earned { 0 };
        RecentCount spent_allowance;
    };
    /// This host's part of the allowance.
    struct Share {
        /// 0: it has none yet.
        u32 hosts { 0 };
        double max_saved { 0 };
        u32 in_window { 0 };
    };
    [[nodiscard]] Share share_at(Instant now) const;
    /// A repeat counts for longer than a window, since it may reach its backend server later than it was granted.
    [[nodiscard]] Duration accounting_window() const;

    Limits limits;
    std::optional<u32> sharing_hosts;
    Instant known_since {};
    std::unordered_map<ServiceName, Account> accounts;
};

}
