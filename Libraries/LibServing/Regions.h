/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Identifiers.h>
#include <algorithm>
#include <iterator>
#include <optional>
#include <set>

namespace Serving {

/// The regions in which requests may be served and their content may be stored.
class AllowedRegions {
public:
    /// Allows every region.
    AllowedRegions() = default;
    /// Allows these regions only; none if the set is empty.
    explicit AllowedRegions(std::set<RegionId> regions)
        : regions(std::move(regions))
    {
    }

    [[nodiscard]] bool is_restricted() const { return this->regions.has_value(); }
    /// A backend server whose region is not known has an empty one, which no restriction allows.
    [[nodiscard]] bool allow(RegionId const& region) const
    {
        return !this->regions || (!region.value().empty() && this->regions->contains(region));
    }
    /// The regions that both allow.
    [[nodiscard]] AllowedRegions intersect(AllowedRegions const& other) const
    {
        if (!this->regions)
            return other;
        if (!other.regions)
            return *this;
        std::set<RegionId> common;
        std::ranges::set_intersection(*this->regions, *other.regions, std::inserter(common, common.end()));
        return AllowedRegions(std::move(common));
    }

private:
    std::optional<std::set<RegionId>> regions;
};

}
