/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <Tests/Soak/NoticeChecker.h>
#include <algorithm>

namespace Soak {

/// The users' bound begins so long after the answer.
static constexpr Duration on_the_way = 500ms;
/// And so many requests of the host that was asked are allowed from then on.
static constexpr u32 allowed_in_back_off = 2;
/// An answer passes the links and a busy machine in less.
static constexpr Duration longest_answer_time = 1s;

void NoticeChecker::record_back_off(std::string const& server, std::string const& host, Duration back_off, Instant now)
{
    std::erase_if(this->back_offs, [now](auto const& asked) { return asked.until <= now; });
    if (!this->is_halted(host, now))
        this->back_offs.push_back({ server, host, now, now + back_off });
}

void NoticeChecker::record_leaving(std::string const& server, std::string const& host, Instant now)
{
    bool const is_known = std::ranges::any_of(
        this->leavings, [&](auto const& said) { return said.server == server && said.host == host; });
    if (!is_known && !this->is_halted(host, now))
        this->leavings.push_back({ server, host, now });
}

std::optional<std::string> NoticeChecker::check_arrival(
    std::string const& server, std::string const& host, Instant sent_at, Instant now)
{
    for (auto& asked : this->back_offs) {
        bool const counts = asked.server == server && asked.host == host && now >= asked.at + on_the_way
            && now < asked.until && ++asked.arrivals > allowed_in_back_off;
        if (counts)
            return server + " had asked " + host + " for " + std::to_string(AK::to_milliseconds(asked.until - asked.at))
                + " ms without requests and got " + std::to_string(asked.arrivals);
    }
    for (auto const& said : this->leavings) {
        bool const is_told = said.server == server && said.host == host;
        if (is_told && sent_at > said.at + longest_answer_time + this->drain_time)
            return server + " had told " + host + " that it leaves "
                + std::to_string(AK::to_milliseconds(sent_at - said.at)) + " ms before a request for it was sent";
    }
    return {};
}

void NoticeChecker::host_started(std::string const& host)
{
    std::erase_if(this->back_offs, [&](auto const& asked) { return asked.host == host; });
    std::erase_if(this->leavings, [&](auto const& said) { return said.host == host; });
}

void NoticeChecker::host_halted(std::string const& host, Instant now, Instant until)
{
    auto& known = this->halted_until[host];
    known = std::max(known, until + on_the_way);
    std::erase_if(
        this->back_offs, [&](auto const& asked) { return asked.host == host && now < asked.at + on_the_way; });
    std::erase_if(
        this->leavings, [&](auto const& said) { return said.host == host && now < said.at + longest_answer_time; });
}

void NoticeChecker::server_affected(std::string const& server)
{
    std::erase_if(this->back_offs, [&](auto const& asked) { return asked.server == server; });
    std::erase_if(this->leavings, [&](auto const& said) { return said.server == server; });
}

bool NoticeChecker::is_halted(std::string const& host, Instant now) const
{
    auto known = this->halted_until.find(host);
    return known != this->halted_until.end() && now < known->second;
}

}
