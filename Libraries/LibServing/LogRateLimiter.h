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

/// Allows one log line per subject and period. Tracks a bounded number of subjects; when it is full, it doesn't limit
/// lines about further subjects.
class LogRateLimiter {
public:
    explicit LogRateLimiter(Duration period)
        : period(period)
    {
    }

    [[nodiscard]] bool is_due(std::string const& subject, Instant now)
    {
        std::erase_if(this->written_at, [&](auto const& entry) { return now - entry.second >= this->period; });
        if (this->written_at.size() >= max_subjects)
            return !this->written_at.contains(subject);
        return this->written_at.try_emplace(subject, now).second;
    }

private:
    /// Twice the number of entries in the largest known list; takes about 100 KB.
    static constexpr size_t max_subjects = 4096;

    Duration period;
    std::map<std::string, Instant> written_at;
};

}
