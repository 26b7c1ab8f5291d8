/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Types.h>
#include <string_view>

namespace Delivery {

/// The outcome of a request as reported to its caller. There are no other outcomes.
enum class Outcome : u8 {
    /// No backend server has run the request or will run it.
    NotRun,
    /// The request ran, and the caller has the complete response.
    Completed,
    /// The request ran, may have run, or may still run. The response is missing or partial.
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
