/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibRollout/Rollouts.h>
#include <algorithm>

namespace Rollout {

Duration KnownRollout::age(Instant now) const
{
    auto const by_own_clock = now - this->ordered_at;
    if (!this->record)
        return by_own_clock;
    return std::max(by_own_clock, this->record->elapsed + (now - this->recorded_at));
}

void Rollouts::apply_order(Order const& order, Instant now)
{
    auto [found, is_new] = this->known.try_emplace(order.service);
    if (!is_new && order.row_version <= found->second.order.row_version)
        return;
    found->second = {};
    found->second.order = order;
    found->second.ordered_at = now;
    this->on_target(order.service, order.target);
    this->attach_record(found->second, now);
}

void Rollouts::withdraw_order(ServiceName const& service, u64 version)
{
    auto found = this->known.find(service);
    if (found == this->known.end() || version <= found->second.order.row_version)
        return;
    this->known.erase(found);
    this->on_target(service, {});
}

void Rollouts::apply_orders(std::vector<Order> const& orders, u64 version, Instant now)
{
    std::vector<ServiceName> missing;
    for (auto const& [service, rollout] : this->known) {
        if (std::ranges::find(orders, service, &Order::service) == orders.end())
            missing.push_back(service);
    }
    for (auto const& service : missing)
        this->withdraw_order(service, version);
    for (auto const& order : orders)
        this->apply_order(order, now);
}

void Rollouts::apply_record(ServiceName const& service, Record const& record, u64 row_version, Instant now)
{
    auto& stored = this->records[service];
    if (row_version <= stored.version)
        return;
    stored = { record, row_version };
    if (auto* rollout = this->find(service))
        this->attach_record(*rollout, now);
}

/// The version of the row is kept even if the record belongs to another order, since the next record replaces it.
void Rollouts::attach_record(KnownRollout& rollout, Instant now)
{
    auto stored = this->records.find(rollout.order.service);
    if (stored == this->records.end())
        return;
    rollout.record_version = stored->second.version;
    if (stored->second.record.order_version != rollout.order.row_version)
        return;
    rollout.record = stored->second.record;
    rollout.recorded_at = now;
    this->on_record(rollout);
}

SideChoice Rollouts::side_for(ServiceName const& service, std::string_view attempt) const
{
    auto const* rollout = this->find(service);
    if (!rollout)
        return {};
    if (!rollout->record)
        return { Side::Former };
    auto const stage = rollout->record->stage;
    auto const side = choose_side(stage, this->limits, attempt);
    bool const former_is_retired = stage == Stage::Retiring || stage == Stage::Completed;
    return { side, side == Side::Target && !former_is_retired };
}

SideChoice Rollouts::side_for_repeats(ServiceName const& service) const
{
    auto const* rollout = this->find(service);
    if (!rollout)
        return {};
    if (!rollout->record)
        return { Side::Former };
    switch (rollout->record->stage) {
    case Stage::Full:
        return {};
    case Stage::Retiring:
    case Stage::Completed:
        return { Side::Target };
    default:
        return { Side::Former };
    }
}

std::optional<Side> Rollouts::side_for_moves(ServiceName const& service) const
{
    auto const* rollout = this->find(service);
    if (!rollout)
        return {};
    bool const target_serves_all = rollout->record && target_share(rollout->record->stage, this->limits) >= 1;
    return target_serves_all ? Side::Target : Side::Former;
}

bool Rollouts::is_retired(ServiceName const& service, Side side) const
{
    auto const* rollout = this->find(service);
    return side == Side::Former && rollout && rollout->record && rollout->record->stage == Stage::Retiring;
}

KnownRollout* Rollouts::find(ServiceName const& service)
{
    auto found = this->known.find(service);
    return found == this->known.end() ? nullptr : &found->second;
}

KnownRollout const* Rollouts::find(ServiceName const& service) const
{
    auto found = this->known.find(service);
    return found == this->known.end() ? nullptr : &found->second;
}

bool Rollouts::has_unfinished() const
{
    return std::ranges::any_of(this->known, [](auto const& entry) { return !entry.second.is_final(); });
}

}
