/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <AK/Error.h>
#include <LibRollout/Rollout.h>
#include <xxhash.h>

namespace Rollout {

/// The part of the allowed exposure that the trial uses. The rest is left for the stages after it, in which a version
/// that fails only under load shows it.
static constexpr double trial_part_of_exposure = 0.9;
static constexpr double quarter_share = 0.2;
static constexpr double half_share = 0.45;

/// Separates this choice from others that hash the attempt as well.
static constexpr u64 side_seed = 0x726f6c6c6f7574;

std::string_view to_string(Stage stage)
{
    switch (stage) {
    case Stage::Trial:
        return "trial";
    case Stage::Quarter:
        return "quarter";
    case Stage::Half:
        return "half";
    case Stage::Full:
        return "full";
    case Stage::Retiring:
        return "retiring";
    case Stage::Completed:
        return "completed";
    case Stage::RolledBack:
        return "rolled_back";
    }
    VERIFY(false);
}

double target_share(Stage stage, ExposureLimits const& limits)
{
    switch (stage) {
    case Stage::Trial:
        return limits.share * trial_part_of_exposure;
    case Stage::Quarter:
        return quarter_share;
    case Stage::Half:
        return half_share;
    case Stage::Full:
    case Stage::Retiring:
    case Stage::Completed:
        return 1;
    case Stage::RolledBack:
        return 0;
    }
    VERIFY(false);
}

Side choose_side(Stage stage, ExposureLimits const& limits, std::string_view attempt)
{
    constexpr u64 steps = 1'000'000;
    auto const drawn = XXH3_64bits_withSeed(attempt.data(), attempt.size(), side_seed) % steps;
    return static_cast<double>(drawn) < target_share(stage, limits) * steps ? Side::Target : Side::Former;
}

}
