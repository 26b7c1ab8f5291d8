/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibRollout/AnswerStatistics.h>
#include <functional>
#include <string>
#include <vector>

namespace Rollout {

/// What a host, or all hosts of a failure domain together, report about one roll-out.
struct Tally {
    u64 order_version { 0 };
    /// Version of the record's row that the host applies; of several hosts the lowest.
    u64 applied_record { 0 };
    /// Requests and generations in progress at the former version.
    u64 former_in_progress { 0 };
    /// Answers since the host learned of the order.
    AnswersByRoute answers;
};

/// The latest tallies of one roll-out, by the host or failure domain that reported them.
class Tallies {
public:
    /// A source counts as silent after this time. Tallies are sent four times a second.
    static constexpr Duration silence_limit = 2s;

    void apply(std::string const& source, Tally, Instant now);

    /// The sum of all reports about the order. `in_reach` are the sources that are expected to report; one of them that
    /// has not reported counts as applying no record.
    [[nodiscard]] Tally sum(u64 order_version, std::vector<std::string> const& in_reach, Instant now) const;
    /// The same sum over some of the sources only.
    [[nodiscard]] Tally sum_of(u64 order_version, std::vector<std::string> const& in_reach,
        std::function<bool(std::string const&)> const& includes, Instant now) const;
    /// Whether a source that has reported before is silent.
    [[nodiscard]] bool has_silent_sources(Instant now) const;

private:
    struct Entry {
        Tally tally;
        Instant received_at {};
    };
    std::map<std::string, Entry> entries;
};

}
