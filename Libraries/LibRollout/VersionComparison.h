/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibRollout/AnswerStatistics.h>

namespace Rollout {

/// How the target compares with the former version, by their answers in the same period.
struct Comparison {
    /// Set if the target fails more often or is slower than chance explains. Describes the difference.
    std::optional<std::string> fault;
    u64 former_answers { 0 };
    u64 target_answers { 0 };
};

/// Compares both versions, route by route and in total. A cause that affects both versions alike is not a fault of the
/// target.
Comparison compare(AnswersByRoute const&);

}
