/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/Evacuations.h>
#include <algorithm>

namespace Serving {

void Evacuations::apply_list(std::map<FailureDomainId, u64> const& orders, u64 version)
{
    if (version < this->listed_version)
        return;
    std::vector<FailureDomainId> missing;
    for (auto const& [domain, order] : this->latest_orders) {
        if (order.is_in_force && !orders.contains(domain))
            missing.push_back(domain);
    }
    for (auto const& domain : missing)
        this->apply_revocation(domain, version);
    for (auto const& [domain, order_version] : orders)
        this->apply_order(domain, order_version);
    this->listed_version = version;
}

void Evacuations::apply_order(FailureDomainId const& domain, u64 version)
{
    this->apply(domain, { version, true, this->context.now() });
}

void Evacuations::apply_revocation(FailureDomainId const& domain, u64 version)
{
    this->apply(domain, { version, false, this->context.now() });
}

bool Evacuations::is_evacuated(FailureDomainId const& domain) const
{
    auto known = this->latest_orders.find(domain);
    return known != this->latest_orders.end() && known->second.is_in_force;
}

void Evacuations::apply(FailureDomainId const& domain, EvacuationOrder order)
{
    bool const is_new = !this->latest_orders.contains(domain);
    if (is_new && order.version <= this->listed_version)
        return;
    auto const known = this->latest_orders.try_emplace(domain, order).first;
    if (!is_new && order.version <= known->second.version)
        return;
    bool const changes = is_new ? order.is_in_force : order.is_in_force != known->second.is_in_force;
    auto const former = std::exchange(known->second, order);
    if (!changes)
        return;
    this->context.backends.set_evacuated(domain, order.is_in_force);
    this->context.metrics.set("domains_evacuated",
        static_cast<double>(
            std::ranges::count_if(this->latest_orders, [](auto const& entry) { return entry.second.is_in_force; })));
    auto const event
        = order.is_in_force ? Core::EventNumber::DomainEvacuated : Core::EventNumber::DomainEvacuationRevoked;
    this->context.log.event(event, domain.value())
        .with("row_version", order.version)
        .with("backends", this->context.backends.count_in(domain))
        .with("in_force_for_ms", order.is_in_force ? Duration(0) : order.received_at - former.received_at);
}

}
