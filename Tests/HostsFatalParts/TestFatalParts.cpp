/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <Tests/Hosts/HostGroup.h>
#include <catch2/catch.hpp>

using namespace Test;

namespace {

/// Within this time, every reachable host has to know the terminations that the other hosts have seen.
constexpr Duration contact_time = 3s;
/// After this many terminations the part has to be known.
constexpr u32 enough_terminated = 5;
/// Servers that requests with the part may then reach from all hosts together, more than `contact_time` later.
constexpr u32 max_late_arrivals = 3;

constexpr auto common_part = "5c1e07a2";
constexpr auto fatal_part = "0bad0bad";

/// Engines that terminate when they begin to answer a prompt with one certain part. Requests with that part are all
/// different; sound ones come from the same organisation and have the same first part.
class FatalPartServers {
public:
    FatalPartServers()
    {
        for (int i = 0; i < 28; ++i) {
            auto const domain = "hall-" + std::string(1, static_cast<char>('a' + i % 2));
            auto& runner = this->hosts.platform.add_runner("engine-" + std::to_string(i), "models", domain);
            runner.set_fatal_prompt_part(fatal_part);
            runner.planned_events = [](std::string const&) { return u64(2); };
        }
        this->hosts.start();
    }

    void send_fatal() { this->finish(this->send(std::string(common_part) + ":800," + fatal_part + ":400,")); }
    /// Returns whether the request was served.
    bool send_sound()
    {
        return this->finish(this->send(std::string(common_part) + ":800,91bd3f06:400,"))->status == 200;
    }

    /// Until then, or until the part must have been found.
    void send_until_enough_terminated()
    {
        for (u32 i = 0; i < 2 * enough_terminated && this->terminated() < enough_terminated; ++i) {
            this->send_fatal();
            this->send_sound();
        }
        this->hosts.run_for(contact_time);
    }

    [[nodiscard]] u32 terminated() const
    {
        return static_cast<u32>(std::ranges::count_if(
            this->hosts.platform.runners, [](auto const& runner) { return runner.is_terminated(); }));
    }

    HostGroup hosts { { "hall-a", "hall-a", "hall-b" } };

private:
    std::shared_ptr<Call> send(std::string const& shared_parts)
    {
        auto const attempt = "attempt-" + std::to_string(++this->attempts);
        auto request = HostFixture::generation(attempt);
        request.set("Lilactiller-Prompt-Prefix", shared_parts + std::to_string(this->attempts) + ":260");
        return this->hosts.call(this->attempts / 2 % this->hosts.size(), std::move(request));
    }

    std::shared_ptr<Call> finish(std::shared_ptr<Call> call)
    {
        this->hosts.platform.until([&] {
            for (auto& runner : this->hosts.platform.runners)
                runner.make_events();
            return call->is_over();
        });
        return call;
    }

    u32 attempts { 0 };
};

}

// Guards against requests that have a part of their prompts in common and nothing else, and terminate one engine after
// another: no request comes twice, so none is ever suspected of more than one termination.
SCENARIO("a part of prompts that ends every engine reaches few more once it has ended five")
{
    FatalPartServers servers;
    servers.send_until_enough_terminated();
    auto const before = servers.terminated();
    constexpr size_t rounds = 10;
    size_t served = 0;

    WHEN("requests with the part and sound ones of the same organisation are sent to all hosts in turn")
    {
        for (size_t i = 0; i < rounds; ++i) {
            servers.send_fatal();
            served += servers.send_sound();
        }
        THEN("the part reaches few engines more, and sound requests are served")
        {
            CHECK(servers.terminated() - before <= max_late_arrivals);
            CHECK(served == rounds);
        }
    }
    WHEN("all hosts are replaced at once meanwhile")
    {
        servers.hosts.replace_all();
        for (size_t i = 0; i < rounds; ++i) {
            servers.send_fatal();
            served += servers.send_sound();
        }
        THEN("the part reaches few engines more, and sound requests are served")
        {
            CHECK(servers.terminated() - before <= max_late_arrivals);
            CHECK(served == rounds);
        }
    }
}
