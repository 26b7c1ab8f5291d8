/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibRollout/AnswerStatistics.h>
#include <unordered_map>

namespace Rollout {

/// The side of a roll-out that serves a request.
struct SideChoice {
    /// Empty if either side may serve it.
    std::optional<Side> side;
    /// Whether the former version may serve it while no server of the target accepts work.
    bool may_fall_back { false };

    bool operator==(SideChoice const&) const = default;
};

/// A roll-out as this host knows it.
struct KnownRollout {
    Order order;
    /// When this host learned of the order.
    Instant ordered_at {};
    /// The latest record of this order, and the version of its row in the platform's table.
    std::optional<Record> record;
    u64 record_version { 0 };
    Instant recorded_at {};
    /// The answers that this host's requests have got since it learned of the order.
    AnswersByRoute own_answers;

    /// Time since the order. Another host may have learned of it earlier than this one.
    [[nodiscard]] Duration age(Instant now) const;
    [[nodiscard]] bool is_final() const { return this->record && Rollout::is_final(this->record->stage); }
};

/// The orders and records of roll-outs, as known by this host. They may arrive late, repeated and in any sequence; the
/// highest version of a row applies.
class Rollouts {
public:
    using OnTarget = std::function<void(ServiceName const&, std::optional<SoftwareVersion> const& target)>;
    using OnRecord = std::function<void(KnownRollout const&)>;

    /// `on_target` is called when a service gets another target version or loses it, `on_record` when a record comes
    /// into force here.
    Rollouts(ExposureLimits limits, OnTarget on_target, OnRecord on_record)
        : limits(limits)
        , on_target(std::move(on_target))
        , on_record(std::move(on_record))
    {
    }

    void set_limits(ExposureLimits changed) { this->limits = changed; }
    [[nodiscard]] ExposureLimits const& exposure_limits() const { return this->limits; }

    void apply_order(Order const&, Instant now);
    /// The operator has removed the order. The service's versions are no longer told apart.
    void withdraw_order(ServiceName const&, u64 version);
    /// Applies the complete list of orders in the table. Orders that it does not contain are withdrawn.
    void apply_orders(std::vector<Order> const&, u64 version, Instant now);
    void apply_record(ServiceName const&, Record const&, u64 row_version, Instant now);

    /// The side that serves an attempt at its first dispatch. Without a record for the order, it is the former version.
    [[nodiscard]] SideChoice side_for(ServiceName const&, std::string_view attempt) const;
    /// The side for further dispatches of a request. Until the target gets all requests, it is the former version, so
    /// that the target's share does not grow by repeated requests.
    [[nodiscard]] SideChoice side_for_repeats(ServiceName const&) const;
    /// The side to which running generations move.
    [[nodiscard]] std::optional<Side> side_for_moves(ServiceName const&) const;
    /// Whether generations that run at this side must move to the other one.
    [[nodiscard]] bool is_retired(ServiceName const&, Side) const;

    /// Null if the service has no roll-out.
    [[nodiscard]] KnownRollout* find(ServiceName const&);
    [[nodiscard]] KnownRollout const* find(ServiceName const&) const;
    [[nodiscard]] std::unordered_map<ServiceName, KnownRollout> const& all() const { return this->known; }
    [[nodiscard]] bool has_unfinished() const;

private:
    struct StoredRecord {
        Record record;
        u64 version { 0 };
    };
    void attach_record(KnownRollout&, Instant now);

    ExposureLimits limits;
    OnTarget on_target;
    OnRecord on_record;
    std::unordered_map<ServiceName, KnownRollout> known;
    /// A record may arrive before its order.
    std::unordered_map<ServiceName, StoredRecord> records;
};

}
