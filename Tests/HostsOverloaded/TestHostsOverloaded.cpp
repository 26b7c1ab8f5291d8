/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <Tests/HostsOverloaded/OverloadedHost.h>
#include <catch2/catch.hpp>

using namespace Test;

// Guards against a host that admits more streams than its link can carry when all callers of a failure domain come to
// it: everything on the link is late then, and requests that were read are not served.
SCENARIO("a host to which all callers come serves three quarters of the requests that it reads")
{
    OverloadedHost host;
    host.narrow_link();
    GIVEN("a stream and a call, as on an ordinary day")
    {
        std::vector<std::shared_ptr<Call>> const before { host.send_generation(), host.send_lookup() };
        host.run_until_over(before);
        REQUIRE(std::ranges::all_of(before, OverloadedHost::is_served));
        auto const read_before = host.read_count();

        WHEN("callers open many new connections, and send more long streams than fit the link")
        {
            constexpr int rounds = 24;
            std::vector<std::shared_ptr<Call>> calls;
            for (int round = 0; round < rounds; ++round) {
                calls.push_back(host.send_generation());
                for (int i = 0; i < 4; ++i) {
                    calls.push_back(host.send_lookup());
                    host.run_for(50ms);
                }
            }
            host.run_until_over(calls);
            auto const read = host.read_count() - read_before;
            auto const served = static_cast<size_t>(std::ranges::count_if(calls, OverloadedHost::is_served));
            INFO(served << " served of " << read << " read and " << calls.size() << " sent");

            THEN("what it reads is served")
            {
                CHECK(read > 0);
                CHECK(4 * served >= 3 * read);
            }
            THEN("most calls are served although streams fill the link") { CHECK(2 * served >= calls.size()); }
        }
    }
}

// Guards against a host that goes on to read requests of new callers while its event loop is so late that they will not
// be served in time.
SCENARIO("a host whose processor is overloaded leaves the requests of new callers unread")
{
    OverloadedHost host;
    auto const run_late_for = [&host](Duration span) {
        constexpr Duration stall = 200ms;
        for (auto const end = AK::BootClock::now() + span; AK::BootClock::now() < end;) {
            stall_for(stall);
            host.run_for(10ms);
        }
    };
    auto const first = host.send_lookup();
    host.run_until_over({ first });
    REQUIRE(OverloadedHost::is_served(first));

    GIVEN("an event loop that has been late for a second")
    {
        run_late_for(1s);
        auto const read_before = host.read_count();

        WHEN("new callers come")
        {
            constexpr size_t rounds = 10;
            std::vector<std::shared_ptr<Call>> calls;
            for (size_t round = 0; round < rounds; ++round) {
                calls.push_back(host.send_lookup());
                calls.push_back(host.send_lookup());
                run_late_for(200ms);
            }
            host.run_until_over(calls);

            THEN("few are read, and the other connections are closed")
            {
                CHECK(host.read_count() - read_before <= rounds);
                auto const unread = std::ranges::count_if(calls, [](auto const& call) { return !call->has_begun(); });
                CHECK(static_cast<size_t>(unread) >= rounds);
            }
            THEN("all are read again as soon as the event loop is punctual")
            {
                host.run_for(500ms);
                std::vector<std::shared_ptr<Call>> const after { host.send_lookup(), host.send_lookup() };
                host.run_until_over(after);
                CHECK(std::ranges::all_of(after, OverloadedHost::is_served));
            }
        }
    }
}
