/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <AK/Error.h>
#include <LibServing/PlatformContact.h>
#include <algorithm>

namespace Serving {

void PlatformContact::record_answer(Instant now)
{
    bool const is_interrupted = !this->contact_began || now - *this->last_answer > this->max_gap;
    if (is_interrupted)
        this->contact_began = now;
    this->last_answer = now;
}

void PlatformContact::record_failure(Instant now)
{
    bool const is_first = this->contact_began.has_value() || !this->outage;
    // A host that has not called the platform for long does not know when it stopped answering. The failed call began
    // less than `max_gap` ago.
    if (is_first)
        this->outage = Outage { std::max(this->last_answer.value_or(now), now - this->max_gap), now };
    this->contact_began.reset();
    this->outage->last_failure = now;
}

std::optional<Duration> PlatformContact::own_duration(Instant now) const
{
    if (!this->contact_began || now - *this->last_answer > this->max_gap)
        return {};
    return now - *this->contact_began;
}

void PlatformContact::record_report(
    Address const& host, FailureDomainId const& domain, std::optional<Duration> duration, Instant now)
{
    std::erase_if(
        this->reports, [now](auto const& report) { return now - report.second.reported_at > report_lifetime; });
    if (duration)
        this->reports[host] = { domain, now - *duration, now };
    else
        this->reports.erase(host);
}

PossibleExpiry PlatformContact::possible_expiry(FailureDomainId const& domain, Instant outage_began, Instant now) const
{
    auto const own = this->own_duration(now);
    bool is_local_witness = own && now - *own <= outage_began;
    bool is_witness = is_local_witness;
    for (auto const& [host, contact] : this->reports) {
        if (contact.began > outage_began || now - contact.reported_at > report_lifetime)
            continue;
        is_witness = true;
        is_local_witness = is_local_witness || contact.domain == this->own_domain;
    }
    if (!is_witness)
        return PossibleExpiry::PlatformAway;
    bool const may_be_cut_off = domain == this->own_domain && !is_local_witness;
    return may_be_cut_off ? PossibleExpiry::OwnDomainCutOff : PossibleExpiry::None;
}

std::string_view to_string(PossibleExpiry expiry)
{
    switch (expiry) {
    case PossibleExpiry::None:
        return "none";
    case PossibleExpiry::OwnDomainCutOff:
        return "own_domain_cut_off";
    case PossibleExpiry::PlatformAway:
        return "platform_away";
    }
    VERIFY(false);
}

}
