/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Identifiers.h>
#include <map>
#include <optional>
#include <string_view>

namespace Serving {

/// Why an entry of a backend server may be missing from the platform's list although the server runs.
enum class PossibleExpiry : u8 {
    /// It may not: the fleet has seen the removal.
    None,
    /// The server may have been cut off from the platform together with this host's failure domain.
    OwnDomainCutOff,
    /// The platform may have been away.
    PlatformAway,
};

std::string_view to_string(PossibleExpiry);

/// Tracks since when the platform has answered this host and others without interruption. A host that the platform has
/// not answered for a while can't tell by itself whether the platform was away or only its own path to it. Entries of
/// backend servers expire in the first case, and running servers register again after it. In the second case, the fleet
/// has seen every change, and a removed server is gone.
class PlatformContact {
public:
    /// `max_gap`: maximum time between two answers to a host that reads the platform's tables.
    PlatformContact(FailureDomainId own_domain, Duration max_gap)
        : own_domain(std::move(own_domain))
        , max_gap(max_gap)
    {
    }

    /// A period in which the platform did not answer this host.
    struct Outage {
        /// The last answer before it, or the beginning of the first call that failed if that is later.
        Instant began {};
        /// The last call that failed. The platform was reachable at some time after it.
        Instant last_failure {};
    };

    /// Records an answer of the platform to this host.
    void record_answer(Instant now);
    /// Records a call of this host that the platform did not answer.
    void record_failure(Instant now);
    /// Whether the last call of this host was not answered.
    [[nodiscard]] bool is_in_outage() const { return this->outage && !this->contact_began; }
    /// The last period without answers. Empty if there was none.
    [[nodiscard]] std::optional<Outage> const& last_outage() const { return this->outage; }
    /// How long the platform has answered this host without interruption. Empty if it does not, or if this host does
    /// not call it.
    [[nodiscard]] std::optional<Duration> own_duration(Instant now) const;

    /// Records the report of another host that the platform has answered it for `duration` without interruption. An
    /// empty duration takes back its earlier reports.
    void record_report(
        Address const& host, FailureDomainId const& domain, std::optional<Duration> duration, Instant now);

    /// Why the entry of a backend server in `domain` may have expired since `outage_began`. It can't have expired if a
    /// host has had contact with the platform all the time; for servers of this host's failure domain, that must be a
    /// host of the same domain.
    [[nodiscard]] PossibleExpiry possible_expiry(
        FailureDomainId const& domain, Instant outage_began, Instant now) const;

private:
    /// A report of a host that has been silent for this long proves nothing about the time since then. Hosts report
    /// once a second or more often.
    static constexpr Duration report_lifetime = 3s;

    struct Contact {
        FailureDomainId domain;
        Instant began {};
        Instant reported_at {};
    };

    FailureDomainId own_domain;
    Duration max_gap;
    /// The first answer of the current contact, and the last one; empty before the first call was answered.
    std::optional<Instant> contact_began;
    std::optional<Instant> last_answer;
    std::optional<Outage> outage;
    std::map<Address, Contact> reports;
};

}
