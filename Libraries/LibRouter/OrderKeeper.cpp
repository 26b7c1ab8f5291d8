/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibRouter/OrderKeeper.h>

namespace Router {

using Core::EventNumber;

static Instant now() { return AK::BootClock::now(); }

OrderKeeper::OrderKeeper(Node::Node& node, RouterSettings const& settings)
    : node(node)
    , settings(settings)
    , lease(std::make_shared<Platform::Lease>("lease/" + node.settings().failure_domain.value() + "/orders",
          node.settings().member.value(), settings.lease_term, settings.lease_margin,
          // Shifted so that the numbers of different starts of this member cannot overlap: one start uses far fewer.
          Core::SystemClock().wall_milliseconds() << 16))
{
    node.loop().every(settings.lease_term / 3, [this] { this->renew_lease(); });
    node.loop().after(0s, [this] { this->renew_lease(); });
}

void OrderKeeper::renew_lease()
{
    if (this->is_renewing || this->node.is_leaving_itself())
        return;
    this->is_renewing = true;
    auto& platform = this->node.platform();
    this->node.background().submit(
        [lease = this->lease, &platform] {
            Platform::keep_lease(*lease, platform, now);
            return lease->may_act(now());
        },
        [this](bool is_holder) {
            this->is_renewing = false;
            if (is_holder != this->was_holder)
                this->node.events().record(is_holder ? EventNumber::LeaseTaken : EventNumber::LeaseLapsed,
                    this->lease->row_key(), "epoch " + std::to_string(this->lease->epoch().value()));
            this->was_holder = is_holder;
        });
}

std::set<std::string> OrderKeeper::wanted_adapters(ModelId const& model) const
{
    std::set<std::string> wanted;
    auto const* configured = this->node.configuration().find_model(model);
    if (configured)
        wanted.insert(configured->adapters().begin(), configured->adapters().end());
    return wanted;
}

void OrderKeeper::engine_reported(Platform::BackendServerRecord const& engine, std::vector<std::string> const& adapters)
{
    auto wanted = this->wanted_adapters(engine.model);
    if (wanted == std::set(adapters.begin(), adapters.end()) || this->is_renewing)
        return;
    auto may_act_until = this->lease->may_act_until();
    if (!may_act_until || now() >= *may_act_until || !this->orders_in_flight.insert(engine.id).second)
        return;
    EngineOrder order { this->lease->epoch(), this->node.configuration().revision(), { wanted.begin(), wanted.end() } };
    auto text = "epoch " + std::to_string(order.epoch.value()) + " revision " + std::to_string(order.revision.value());
    this->node.background().submit(
        [until = *may_act_until, address = engine.address, order,
            timeout = this->settings.engine_timeout]() -> Result<void> {
            // The background thread may have been delayed since the event loop checked the lease.
            if (now() >= until)
                return Error { ErrorKind::FencedOut, "the lease lapsed before the order left; the next holder gives it",
                    {} };
            return send_order(address, order, timeout);
        },
        [this, id = engine.id, text](Result<void> const& result) {
            this->orders_in_flight.erase(id);
            if (result)
                this->node.events().record(EventNumber::OrderSent, id.value(), text);
            else
                this->node.events().record(EventNumber::OrderWithheld, id.value(), result.error().message);
        });
}

}
