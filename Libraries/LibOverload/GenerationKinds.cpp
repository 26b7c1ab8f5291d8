/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibOverload/GenerationKinds.h>
#include <algorithm>

namespace Overload {

i64 GenerationKinds::upper_size(std::vector<i64> sizes)
{
    auto const rank = static_cast<std::ptrdiff_t>(static_cast<double>(sizes.size() - 1) * size_quantile);
    std::ranges::nth_element(sizes, sizes.begin() + rank);
    return sizes[static_cast<size_t>(rank)];
}

void GenerationKinds::record(
    u32 priority, Duration first_event_goal, TokenCount prompt, TokenCount expected_output, Instant now)
{
    if (this->kinds.size() >= max_kinds && !this->kinds.contains(priority))
        return;
    auto& recent = this->kinds[priority];
    if (recent.prompts.empty() || now - recent.last_at > memory)
        recent = { { priority, first_event_goal, {}, {} }, {}, {}, 0, now };
    recent.last_at = now;
    if (recent.prompts.size() < max_sizes) {
        recent.prompts.push_back(prompt.value());
        recent.outputs.push_back(expected_output.value());
    } else {
        recent.prompts[recent.next] = prompt.value();
        recent.outputs[recent.next] = expected_output.value();
        recent.next = (recent.next + 1) % max_sizes;
    }
    recent.kind.first_event_goal = std::min(recent.kind.first_event_goal, first_event_goal);
    recent.kind.prompt = TokenCount(upper_size(recent.prompts));
    recent.kind.expected_output = TokenCount(upper_size(recent.outputs));
}

std::vector<GenerationKind> GenerationKinds::more_urgent_than(u32 priority, Instant now) const
{
    std::vector<GenerationKind> found;
    for (auto const& [known, recent] : this->kinds) {
        if (known < priority && now - recent.last_at <= memory)
            found.push_back(recent.kind);
    }
    return found;
}

std::vector<GenerationKind> GenerationKinds::with_priority(u32 priority, Instant now) const
{
    auto const known = this->kinds.find(priority);
    if (known == this->kinds.end() || now - known->second.last_at > memory)
        return {};
    return { known->second.kind };
}

}
