/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Types.h>
#include <string_view>

namespace Delivery {

/// What a caller may believe of its request. Nothing else is ever said.
enum class Outcome : u8 {
    /// No backend server has run it or will run it.
    NotRun,
    /// It ran, and the caller has the whole answer.
    Completed,
    /// It ran, may have run, or may still run; the answer is missing or partial.
    MayHaveRun,
};

constexpr std::string_view to_string(Outcome outcome)
{
    switch (outcome) {
    case Outcome::NotRun:
        return "not_run";
    case Outcome::Completed:
        return "completed";
    case Outcome::MayHaveRun:
        return "may_have_run";
    }
    return "may_have_run";
}

}
