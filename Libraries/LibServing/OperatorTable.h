/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibServing/Evacuations.h>
#include <LibServing/HostPlatform.h>

namespace Serving {

/// Local view of the operator's table on the platform, which holds the configuration, the orders to evacuate failure
/// domains, and the orders to roll out software versions.
template<HostPlatform P>
class OperatorTable {
public:
    struct Observer {
        /// A newer configuration has come into force.
        std::function<void()> configured;
        /// A row is invalid.
        std::function<void(Platform::Row const&, Error const&)> rejected;
    };

    OperatorTable(ServingContext& context, Observer observer)
        : context(context)
        , observer(std::move(observer))
        , evacuations(context)
    {
    }

    /// Applies the complete table as of `version`.
    void listed(std::vector<Platform::Row> const& rows, u64 version)
    {
        // Evacuations come first, because this host becomes ready with its configuration.
        this->evacuations.apply_list(this->evacuations_in(rows), version);
        this->context.rollouts.apply_orders(this->rollouts_in(rows), version, this->context.now());
        for (auto const& row : rows)
            this->apply_configuration(row);
    }

    void changed(std::vector<Platform::RowChange> const& changes)
    {
        for (auto const& change : changes) {
            this->apply_evacuation(change);
            this->apply_rollout(change);
            if (!change.removed)
                this->apply_configuration(change.row);
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

    void apply_evacuation(Platform::RowChange const& change)
    {
        auto domain = P::evacuated_domain(change.row.key);
        if (!domain)
            return;
        if (!change.removed && this->is_evacuation(change.row))
            return this->evacuations.apply_order(*domain, change.row.version);
        // An invalid row, for example from another writer, is not an order and ends an evacuation like a removal.
        this->evacuations.apply_revocation(*domain, change.row.version);
    }

    [[nodiscard]] std::optional<Rollout::Order> rollout_in(Platform::Row const& row)
    {
        if (!P::rolled_out_service(row.key))
            return {};
        auto order = P::decode_rollout(row);
        if (order)
            return order.value();
        this->observer.rejected(row, order.error());
        return {};
    }

    std::vector<Rollout::Order> rollouts_in(std::vector<Platform::Row> const& rows)
    {
        std::vector<Rollout::Order> orders;
        for (auto const& row : rows) {
            auto const service = P::rolled_out_service(row.key);
            if (!service)
                continue;
            auto const* known = this->context.rollouts.find(*service);
            if (auto order = this->rollout_in(row))
                orders.push_back(std::move(*order));
            else if (known)
                orders.push_back(known->order);
        }
        return orders;
    }

    /// An invalid row leaves an earlier order in force: its versions must stay apart.
    void apply_rollout(Platform::RowChange const& change)
    {
        auto const service = P::rolled_out_service(change.row.key);
        if (!service)
            return;
        if (change.removed)
            return this->context.rollouts.withdraw_order(*service, change.row.version);
        if (auto const order = this->rollout_in(change.row))
            this->context.rollouts.apply_order(*order, this->context.now());
    }

    void apply_configuration(Platform::Row const& row)
    {
        if (!P::is_configuration(row))
            return;
        auto decoded = P::decode_configuration(row);
        if (!decoded)
            return this->observer.rejected(row, decoded.error());
        auto revision = decoded.value().revision;
        // Ignore older revisions, which a stale response of the platform may hold.
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
