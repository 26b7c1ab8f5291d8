/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <Tests/Platform/HostFixture.h>
#include <Tests/RunOnce/FaultyServer.h>
#include <list>

namespace Test {

/// A host before three faulty servers of one service, and callers of a route that must run each call at most once.
class FaultyServers {
public:
    explicit FaultyServers(FaultyServer::MakePlan const& make_plan, std::string const& service = "lanes")
    {
        for (auto const* id : { "faulty-1", "faulty-2", "faulty-3" }) {
            auto& server = this->servers.emplace_back(this->fixture.loop, id, make_plan);
            this->fixture.store.put("servers", id, server.row(service, "hall-a"));
        }
        this->fixture.start_ready_host();
    }

    /// Sends calls, a few at a time, so that connections are used again, and awaits all responses.
    void call(size_t count, std::string const& path = "/lookup/1")
    {
        constexpr size_t concurrent_calls = 4;
        for (size_t sent = 0; sent < count; sent += concurrent_calls) {
            std::vector<std::pair<std::string, std::shared_ptr<Call>>> batch;
            for (size_t i = 0; i < concurrent_calls; ++i) {
                auto attempt = "attempt-" + std::to_string(this->calls.size() + i);
                auto request = path.starts_with("/drafts/") ? HostFixture::generation(attempt)
                                                            : HostFixture::request(path, attempt);
                auto sent_call = this->fixture.call(std::move(request));
                batch.emplace_back(std::move(attempt), std::move(sent_call));
            }
            this->fixture.until(
                [&] { return std::ranges::all_of(batch, [](auto const& entry) { return entry.second->is_over(); }); });
            for (auto& [attempt, sent_call] : batch)
                this->calls[attempt] = sent_call;
        }
    }

    [[nodiscard]] u32 runs_of(std::string const& attempt) const
    {
        u32 runs = 0;
        for (auto const& server : this->servers)
            runs += server.runs_of(attempt);
        return runs;
    }
    /// Calls that have run more than once.
    [[nodiscard]] size_t repeated_runs() const
    {
        return this->count_if([&](std::string const& attempt, Call const&) { return this->runs_of(attempt) > 1; });
    }
    /// Calls that have run although their callers were told that they have not.
    [[nodiscard]] size_t false_promises() const
    {
        return this->count_if([&](std::string const& attempt, Call const& call) {
            bool const is_promise
                = call.status == 408 || call.status == 421 || call.status == 429 || call.status == 503;
            return is_promise && this->runs_of(attempt) > 0;
        });
    }
    /// Calls whose callers got a success that is not the answer of their own call.
    [[nodiscard]] size_t foreign_answers() const
    {
        return this->count_if([](std::string const& attempt, Call const& call) {
            return call.status == 200 && call.body != "answer of " + attempt;
        });
    }
    [[nodiscard]] size_t served() const
    {
        return this->count_if([](std::string const&, Call const& call) { return call.status == 200; });
    }
    /// Calls whose callers got a field with this name.
    [[nodiscard]] size_t count_with_field(std::string const& name) const
    {
        return this->count_if([&](std::string const&, Call const& call) { return call.headers.contains(name); });
    }
    [[nodiscard]] size_t count_with_status(unsigned status) const
    {
        return this->count_if([&](std::string const&, Call const& call) { return call.status == status; });
    }

    HostFixture fixture;
    std::list<FaultyServer> servers;

private:
    template<typename Predicate>
    [[nodiscard]] size_t count_if(Predicate predicate) const
    {
        return static_cast<size_t>(std::ranges::count_if(
            this->calls, [&](auto const& entry) { return predicate(entry.first, *entry.second); }));
    }

    std::map<std::string, std::shared_ptr<Call>> calls;
};

}
