/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibOverload/Shortage.h>
#include <algorithm>

namespace Overload {

/// Bounds the memory for reports of hosts that come and go.
static constexpr size_t max_reporters = 512;

Instant Shortage::last_sign_at() const { return std::max({ this->own_sign, this->local_sign, this->remote_sign }); }

Shortage::Change Shortage::sign_at(Instant& scope_sign, Instant at, u32 priority, Instant began, Instant now)
{
    if (now - at > quiet_time)
        return Change::None;
    bool const is_first = !this->is_present(now);
    scope_sign = std::max(scope_sign, at);
    if (!is_first) {
        this->most_urgent = std::min(this->most_urgent, priority);
        this->began_at = std::min(*this->began_at, began);
        return Change::None;
    }
    this->most_urgent = priority;
    this->began_at = began;
    return Change::Began;
}

Shortage::Change Shortage::record_sign(u32 priority, Instant now)
{
    return this->sign_at(this->own_sign, now, priority, now, now);
}

Shortage::Change Shortage::apply(MemberId const& reporter, SignScope scope, ShortageReport const& report, Instant now)
{
    auto const at = now - report.age;
    auto const began = std::min(at, now - report.began_ago);
    if (scope == SignScope::Domain)
        return this->sign_at(this->remote_sign, at, report.priority, began, now);
    if (this->local_reporters.size() < max_reporters || this->local_reporters.contains(reporter))
        this->local_reporters[reporter] = { report.waiting, at };
    return this->sign_at(this->local_sign, at, report.priority, began, now);
}

Shortage::Change Shortage::update(Instant now)
{
    std::erase_if(this->local_reporters, [&](auto const& entry) { return now - entry.second.at > quiet_time; });
    if (!this->began_at || this->is_present(now))
        return Change::None;
    this->began_at.reset();
    return Change::Ended;
}

u32 Shortage::hosts_with_waiting(Instant now) const
{
    auto const others = std::ranges::count_if(this->local_reporters,
        [&](auto const& entry) { return entry.second.waiting > 0 && now - entry.second.at <= quiet_time; });
    return static_cast<u32>(others) + (this->own_waiting > 0 ? 1 : 0);
}

std::optional<ShortageReport> Shortage::report(SignScope scope, Instant now) const
{
    auto const at = scope == SignScope::Host ? this->own_sign : std::max(this->own_sign, this->local_sign);
    if (!this->began_at || now - at > quiet_time)
        return {};
    return ShortageReport { now - at, now - *this->began_at, this->most_urgent, this->own_waiting };
}

}
