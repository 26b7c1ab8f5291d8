/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibServing/Evacuations.h>
#include <LibServing/HostPlatform.h>

namespace Serving {

/// What the operator writes into the platform's table, as this host believes it: the configuration, and the orders to
/// empty failure domains.
template<HostPlatform P>
class OperatorTable {
public:
    struct Observer {
        /// A newer configuration is in force.
        std::function<void()> configured;
        /// A row cannot be used.
        std::function<void(Platform::Row const&, Error const&)> rejected;
    };

    OperatorTable(ServingContext& context, Observer observer)
        : context(context)
        , observer(std::move(observer))
        , evacuations(context)
    {
    }

    /// The whole table at `version`.
    void listed(std::vector<Platform::Row> const& rows, u64 version)
    {
        // Before the configuration, with which this host becomes ready.
        this->evacuations.apply_list(this->evacuations_in(rows), version);
        for (auto const& row : rows)
            this->take_configuration(row);
    }

    void changed(std::vector<Platform::RowChange> const& changes)
    {
        for (auto const& change : changes) {
            this->take_evacuation(change);
            if (!change.removed)
                this->take_configuration(change.row);
        }
    }

private:
    [[nodiscard]] bool is_evacuation(Platform::Row const& row)
    {
        if (!P::evacuated_domain(row.key))
            return false;
        auto checked = P::check_evacuation(row);
        if (!checked)
            this->observer.rejected(row, checked.error());
        return static_cast<bool>(checked);
    }

    std::map<FailureDomainId, u64> evacuations_in(std::vector<Platform::Row> const& rows)
    {
        std::map<FailureDomainId, u64> orders;
        for (auto const& row : rows) {
            if (this->is_evacuation(row))
                orders[*P::evacuated_domain(row.key)] = row.version;
        }
        return orders;
    }

    void take_evacuation(Platform::RowChange const& change)
    {
        auto domain = P::evacuated_domain(change.row.key);
        if (!domain)
            return;
        if (!change.removed && this->is_evacuation(change.row))
            return this->evacuations.apply_order(*domain, change.row.version);
        // Bytes that another writer has put there are no order of the operator's.
        this->evacuations.apply_revocation(*domain, change.row.version);
    }

    void take_configuration(Platform::Row const& row)
    {
        if (!P::is_configuration(row))
            return;
        auto decoded = P::decode_configuration(row);
        if (!decoded)
            return this->observer.rejected(row, decoded.error());
        auto revision = decoded.value().revision;
        // Never back within one life: an answer of the platform that is behind changes nothing.
        if (this->context.routing && revision <= this->context.routing->revision())
            return;
        this->context.routing = std::make_shared<RoutingTable const>(std::move(decoded.value()));
        this->context.server_limits.configure(this->context.routing);
        this->observer.configured();
        auto const& limits = this->context.routing->limits();
        this->context.log.event(Core::EventNumber::RevisionInForce, std::to_string(revision.value()))
            .with("row_version", row.version)
            .with("idle_timeout_ms", limits.idle_timeout)
            .with("header_timeout_ms", limits.header_timeout);
    }

    ServingContext& context;
    Observer observer;
    Evacuations evacuations;
};

}
