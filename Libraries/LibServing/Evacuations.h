/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibServing/ServingContext.h>
#include <map>

namespace Serving {

/// The operator's order that a failure domain gets nothing: which version of the platform's table gave it, or took it
/// back.
struct EvacuationOrder {
    u64 version { 0 };
    bool is_in_force { false };
    Instant received_at {};
};

/// What this host believes of the operator's orders to empty failure domains. Words come from the platform's table,
/// read by this host or passed on by others, and may be old when they come: of each domain the word of the highest
/// version holds, in whatever order they arrive. The table of backend servers is kept in step, so that whoever chooses
/// one asks `Backend::takes_work` and nothing else.
class Evacuations {
public:
    explicit Evacuations(ServingContext& context)
        : context(context)
    {
    }

    /// All orders that the table held at `version`; those that it did not hold are taken back.
    void apply_list(std::map<FailureDomainId, u64> const& orders, u64 version);
    /// A row of that version has given the order.
    void apply_order(FailureDomainId const&, u64 version);
    /// The row has gone with that version.
    void apply_revocation(FailureDomainId const&, u64 version);

    [[nodiscard]] bool is_evacuated(FailureDomainId const& domain) const;

private:
    void apply(FailureDomainId const&, EvacuationOrder);

    ServingContext& context;
    /// Of the newest list: what it does not hold was not in force then.
    u64 listed_version { 0 };
    /// Of every domain that was ever named; a region has a few.
    std::map<FailureDomainId, EvacuationOrder> latest_orders;
};

}
