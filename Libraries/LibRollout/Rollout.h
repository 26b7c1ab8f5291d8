/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Identifiers.h>
#include <optional>
#include <string>
#include <string_view>

/// Decisions about roll-outs: the move of a service's traffic to the backend servers of a new software version, in
/// steps, with a comparison of both versions before each. Nothing here uses a network or a clock.
namespace Rollout {

/// The operator's order to move the traffic of a service to the backend servers of one software version.
struct Order {
    ServiceName service;
    SoftwareVersion target;
    /// Time from the order until the roll-out should be completed.
    Duration time_allowed { 0 };
    /// Version of the order's row in the platform's table. It identifies the order.
    u64 row_version { 0 };

    bool operator==(Order const&) const = default;
};

/// The two groups of backend servers of a service during a roll-out.
enum class Side : u8 {
    /// All versions but the target.
    Former,
    Target,
};

/// The steps of a roll-out, in order. Completed and RolledBack are final.
enum class Stage : u8 {
    /// The target gets the small share of the requests that a bad version may get.
    Trial,
    Quarter,
    Half,
    Full,
    /// Like Full, and generations that still run at the former version move to the target.
    Retiring,
    Completed,
    RolledBack,
};

std::string_view to_string(Stage);
[[nodiscard]] constexpr bool is_final(Stage stage) { return stage == Stage::Completed || stage == Stage::RolledBack; }

/// The recorded progress of a roll-out. All hosts apply the latest record.
struct Record {
    /// The order that this record belongs to.
    u64 order_version { 0 };
    SoftwareVersion target;
    Stage stage { Stage::Trial };
    /// Time from the order to this record, as its writer measured it.
    Duration elapsed { 0 };
    /// Why the roll-out was rolled back; empty otherwise.
    std::string reason;

    bool operator==(Record const&) const = default;
};

/// Bounds on the requests that a bad version may get from all hosts together, between the order and its end.
struct ExposureLimits {
    /// Share of all requests to the service.
    double share { 0.1 };
    /// Further requests beyond that share.
    double slack { 50 };
};

/// Share of a service's requests that the target gets in this stage.
double target_share(Stage, ExposureLimits const&);

/// Selects the side for a caller's attempt. The choice depends on the attempt only, so the shares of all hosts add up
/// without messages, whichever hosts have just started or are partitioned.
Side choose_side(Stage, ExposureLimits const&, std::string_view attempt);

}
