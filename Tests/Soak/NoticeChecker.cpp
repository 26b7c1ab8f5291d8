/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <Tests/Soak/NoticeChecker.h>
#include <algorithm>

namespace Soak {

/// The users' bound applies from this time after the response on.
static constexpr Duration notice_delay = 500ms;
/// Requests that the host may send from then on until the back-off ends.
static constexpr u32 allowed_in_back_off = 2;
/// A response passes the links in less time, even on a busy machine.
static constexpr Duration max_response_time = 1s;

void NoticeChecker::record_back_off(std::string const& server, std::string const& host, Duration back_off, Instant now)
{
    std::erase_if(this->back_offs, [now](auto const& known) { return known.until <= now; });
    if (!this->is_halted(host, now))
        this->back_offs.push_back({ server, host, now, now + back_off });
}

void NoticeChecker::record_leaving(std::string const& server, std::string const& host, Instant now)
{
    bool const is_known = std::ranges::any_of(
        this->leavings, [&](auto const& leaving) { return leaving.server == server && leaving.host == host; });
    if (!is_known && !this->is_halted(host, now))
        this->leavings.push_back({ server, host, now });
}

std::optional<std::string> NoticeChecker::check_arrival(
    std::string const& server, std::string const& host, Instant sent_at, Instant now)
{
    for (auto& back_off : this->back_offs) {
        bool const is_violation = back_off.server == server && back_off.host == host
            && now >= back_off.at + notice_delay && now < back_off.until && ++back_off.arrivals > allowed_in_back_off;
        if (is_violation)
            return server + " had requested " + std::to_string(AK::to_milliseconds(back_off.until - back_off.at))
                + " ms of back-off from " + host + " and got " + std::to_string(back_off.arrivals) + " requests";
    }
    for (auto const& leaving : this->leavings) {
        bool const is_notified = leaving.server == server && leaving.host == host;
        if (is_notified && sent_at > leaving.at + max_response_time + this->drain_time)
            return server + " had reported to " + host + " that it leaves "
                + std::to_string(AK::to_milliseconds(sent_at - leaving.at)) + " ms before a request for it was sent";
    }
    return {};
}

void NoticeChecker::host_started(std::string const& host)
{
    std::erase_if(this->back_offs, [&](auto const& back_off) { return back_off.host == host; });
    std::erase_if(this->leavings, [&](auto const& leaving) { return leaving.host == host; });
}

void NoticeChecker::host_halted(std::string const& host, Instant now, Instant until)
{
    auto& known = this->halted_until[host];
    known = std::max(known, until + notice_delay);
    std::erase_if(this->back_offs,
        [&](auto const& back_off) { return back_off.host == host && now < back_off.at + notice_delay; });
    std::erase_if(this->leavings,
        [&](auto const& leaving) { return leaving.host == host && now < leaving.at + max_response_time; });
}

void NoticeChecker::server_affected(std::string const& server)
{
    std::erase_if(this->back_offs, [&](auto const& back_off) { return back_off.server == server; });
    std::erase_if(this->leavings, [&](auto const& leaving) { return leaving.server == server; });
}

bool NoticeChecker::is_halted(std::string const& host, Instant now) const
{
    auto known = this->halted_until.find(host);
    return known != this->halted_until.end() && now < known->second;
}

}
