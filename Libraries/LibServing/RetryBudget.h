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

/// Bounds the repeated dispatches of all hosts to a service in any window, and holds this host's share of that bound: a
/// ratio of the requests that it receives, plus its share of a fixed allowance. Every host stays within its own share,
/// so the total bound holds without any coordination per repeat.
///
/// The bound holds in any window, whatever the hosts did before it. A host may save only a little more than one repeat
/// of what its requests have earned, and this amount is deducted from its share of the allowance. The rest of the share
/// can be spent once per window, which is enforced by a record of the window itself. A host that has just started has
/// nothing saved and no share yet, so it cannot repeat again what its previous process repeated.
///
/// With about as many hosts as repeats in the allowance, a division would leave each of them next to nothing. The
/// repeats of the allowance are then dealt out whole. A host that gets one may spend it once per window or, if its
/// requests earn more than that, use it to save up what they earn.
class RetryBudget {
public:
    struct Limits {
        /// Further dispatches that each request earns.
        double ratio { 0.2 };
        /// Additional further dispatches per window, for all hosts together.
        double allowance { 50 };
        Duration window { 10s };
        /// Minimum number of hosts among which the allowance is divided.
        u32 hosts { 8 };
    };

    /// A decision and the figures that led to it.
    struct Decision {
        bool is_granted { false };
        /// Further dispatches that this host may still make at this time.
        double left { 0 };
        /// Number of hosts among which the allowance is divided, or 0 while this host has no share.
        u32 hosts { 0 };
    };

    explicit RetryBudget(Limits limits)
        : limits(limits)
    {
    }

    /// Takes effect with the next request. After a change of the window length the host has no share of the allowance
    /// at first, as after a start.
    void set_limits(Limits);
    /// Sets the number of hosts that share the allowance, as known at `now`. A host that does not know the number has
    /// no share. It gets one only a window after it learned the number. By then the window no longer contains the
    /// repeats of its previous process, nor those that other hosts made with larger shares before they knew of this
    /// host.
    void set_sharing_hosts(std::optional<u32> hosts, Instant now);
    /// Sets how many whole repeats of the allowance are dealt to this host. More of them count only a window later,
    /// when the window no longer contains what another host spent of them.
    void set_dealt_repeats(u32 dealt, Instant now);
    [[nodiscard]] u32 whole_allowance() const { return static_cast<u32>(this->limits.allowance); }
    /// Records a request, which earns its fraction of a further dispatch.
    void record_request(ServiceName const&, Instant now);
    /// Takes back what a recorded request has earned, since another host serves and records it.
    void withdraw_request(ServiceName const&);
    /// Takes one further dispatch out of the budget, if there is one.
    [[nodiscard]] Decision take(ServiceName const&, Instant now);

private:
    struct Account {
        /// Earned by requests and not spent yet.
        double earned { 0 };
        RecentCount spent_allowance;
        RecentCount requests;
        /// When an earned repeat was last spent.
        std::optional<Instant> earned_spent_at;
    };
    /// This host's share of the allowance.
    struct Share {
        /// 0 while the host has no share.
        u32 hosts { 0 };
        double max_saved { 0 };
        u32 in_window { 0 };
    };
    [[nodiscard]] Share share_at(Account const&, Instant now) const;
    [[nodiscard]] Share dealt_share_at(Account const&, u32 hosts, Instant now) const;
    /// How long a repeat counts as spent. This is longer than a window, since a repeat may reach its backend server
    /// later than it was granted.
    [[nodiscard]] Duration accounting_window() const;

    Limits limits;
    std::optional<u32> sharing_hosts;
    Instant known_since {};
    /// The dealt repeats, and what counts of them: the lowest number of the last window.
    u32 dealt { 0 };
    u32 counted_dealt { 0 };
    Instant dealt_since {};
    std::unordered_map<ServiceName, Account> accounts;
};

}
