/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibServing/ServingContext.h>
#include <map>

namespace Serving {

/// The latest known order of the operator for a failure domain: whether its evacuation is in force, and the version of
/// the platform's table that issued or revoked it.
struct EvacuationOrder {
    u64 version { 0 };
    bool is_in_force { false };
    Instant received_at {};
};

/// The operator's orders to evacuate failure domains, as known by this host. An order comes from the platform's table,
/// which this host reads itself or receives from other hosts, and may be outdated when it arrives. For each domain the
/// order with the highest version applies, in whatever sequence they arrive. The table of backend servers is kept
/// consistent with the orders, so code that chooses a backend server only needs `Backend::takes_work`.
class Evacuations {
public:
    explicit Evacuations(ServingContext& context)
        : context(context)
    {
    }

    /// Applies a full list of the orders in the table at `version`. Orders that it does not contain are revoked.
    void apply_list(std::map<FailureDomainId, u64> const& orders, u64 version);
    /// Applies a row of this version that issues the order.
    void apply_order(FailureDomainId const&, u64 version);
    /// Applies the removal of the row at this version, which revokes the order.
    void apply_revocation(FailureDomainId const&, u64 version);

    [[nodiscard]] bool is_evacuated(FailureDomainId const& domain) const;

private:
    void apply(FailureDomainId const&, EvacuationOrder);

    ServingContext& context;
    /// Version of the newest full list. An order that it did not contain was not in force at that version.
    u64 listed_version { 0 };
    /// The latest order for every domain that ever had one. A region has only a few domains.
    std::map<FailureDomainId, EvacuationOrder> latest_orders;
};

}
