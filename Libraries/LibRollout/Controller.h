/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibRollout/VersionComparison.h>
#include <deque>

namespace Rollout {

/// What the owner of a roll-out knows when it decides.
struct Situation {
    Order order;
    /// The latest record for this order; empty if there is none.
    std::optional<Record> record;
    /// Time since the order.
    Duration age { 0 };
    /// Time since the record came into force.
    Duration stage_age { 0 };
    /// The answers of all hosts since the order.
    AnswersByRoute answers;
    /// Whether a backend server of the target version accepts work.
    bool target_serves { false };
    /// Whether all hosts in reach apply the record.
    bool is_applied { false };
    /// Requests and generations in progress at the former version, at the hosts in reach.
    u64 former_in_progress { 0 };
    /// Whether some hosts have reported nothing lately and may still use the former version.
    bool has_silent_hosts { false };
};

/// Decides about one roll-out. Any host can take over at any time: everything that must outlive the owner is in the
/// record.
class Controller {
public:
    explicit Controller(ExposureLimits limits)
        : limits(limits)
    {
    }

    /// Returns the record to write next; empty if the current one remains.
    std::optional<Record> next(Situation const&, Instant now);

private:
    [[nodiscard]] std::optional<std::string> find_fault(Situation const&, Instant now);
    [[nodiscard]] bool may_advance(Situation const&, Comparison const&) const;
    [[nodiscard]] static bool is_vacated(Situation const&);

    struct Snapshot {
        Instant taken_at {};
        AnswersByRoute answers;
    };

    ExposureLimits limits;
    /// Earlier answers, to compare the versions over the most recent period as well.
    std::deque<Snapshot> snapshots;
    Comparison latest;
};

}
