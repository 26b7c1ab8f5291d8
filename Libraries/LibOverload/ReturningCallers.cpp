/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibOverload/ReturningCallers.h>

namespace Overload {

std::string_view to_string(ReturningCallers::Arrival arrival)
{
    switch (arrival) {
    case ReturningCallers::Arrival::New:
        return "new";
    case ReturningCallers::Arrival::Early:
        return "early";
    case ReturningCallers::Arrival::AsTold:
        return "as_told";
    }
    return "unknown";
}

void ReturningCallers::record(u64 fingerprint, Entry entry, Instant now)
{
    this->expire(now);
    this->order.push_back({ fingerprint, entry.due });
    this->entries.insert_or_assign(fingerprint, std::move(entry));
}

ReturningCallers::Return ReturningCallers::take(u64 fingerprint, Instant now)
{
    auto found = this->entries.extract(fingerprint);
    if (found.empty() || now > found.mapped().due + late_tolerance)
        return {};
    bool const is_early = now + early_tolerance < found.mapped().due;
    return { is_early ? Arrival::Early : Arrival::AsTold, std::move(found.mapped()) };
}

void ReturningCallers::expire(Instant now)
{
    auto is_outdated = [&](Recorded const& recorded) { return now > recorded.due + late_tolerance; };
    while (!this->order.empty() && (this->order.size() >= max_entries || is_outdated(this->order.front()))) {
        auto const oldest = this->order.front();
        this->order.pop_front();
        auto const found = this->entries.find(oldest.fingerprint);
        if (found != this->entries.end() && found->second.due == oldest.due)
            this->entries.erase(found);
    }
}

}
