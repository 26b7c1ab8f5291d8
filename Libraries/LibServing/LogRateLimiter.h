/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Types.h>
#include <map>
#include <string>

namespace Serving {

/// Lets a line about one subject through once in a span of time. It remembers a bounded number of subjects, and lets
/// lines about others through once it is full.
class LogRateLimiter {
public:
    explicit LogRateLimiter(Duration span)
        : span(span)
    {
    }

    [[nodiscard]] bool is_due(std::string const& subject, Instant now)
    {
        std::erase_if(this->written_at, [&](auto const& entry) { return now - entry.second >= this->span; });
        if (this->written_at.size() >= most_subjects)
            return !this->written_at.contains(subject);
        return this->written_at.try_emplace(subject, now).second;
    }

private:
    /// Twice the entries of the largest list known; some 100 KB.
    static constexpr size_t most_subjects = 4096;

    Duration span;
    std::map<std::string, Instant> written_at;
};

}
