/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/BackendChooser.h>
#include <LibServing/RateLimit.h>
#include <Tests/Support/MovingClock.h>
#include <catch2/catch.hpp>

using namespace Serving;

namespace {

/// A host that knows one server, and the messages that it sends to other hosts.
class LimitedHost {
public:
    LimitedHost()
    {
        this->context.clock = [this] { return this->now += Test::clock_step; };
        this->context.limit_changed = [this](Backend const& changed) {
            wire::HostUse message;
            put_rate_limit(message, this->context, changed);
            this->sent_messages.push_back(message);
        };
        BackendServer server;
        server.id = EngineId("lane-1");
        server.start = ServerStart(7);
        server.service = ServiceName("lanes");
        server.address = Address("127.0.0.1:1000");
        this->backend = this->context.backends.update(server, this->now);
    }

    void receive_response(std::optional<double> per_second)
    {
        record_rate_limit(this->context, *this->backend, rate(per_second));
    }
    void receive_announcement(double per_second, u32 age_milliseconds, i64 start = 7)
    {
        wire::HostUse message;
        auto& entry = *message.add_limits();
        entry.set_backend("lane-1");
        entry.set_start(start);
        entry.set_requests_per_second(per_second);
        entry.set_age_milliseconds(age_milliseconds);
        apply_rate_limits(this->context, message);
    }
    [[nodiscard]] bool has_limit(std::optional<double> per_second) const
    {
        return this->backend->limit == rate(per_second);
    }

    Instant now { 100s };
    std::vector<wire::HostUse> sent_messages;
    BackendPointer backend;

private:
    static std::optional<RequestRate> rate(std::optional<double> per_second)
    {
        if (!per_second)
            return {};
        return RequestRate(*per_second);
    }

    Http::asio::io_context loop;
    HostSettings settings;
    Core::StructuredLog log { [](std::string_view text) { return text.size(); } };

public:
    ServingContext context { this->loop, this->settings, this->log };
};

}

SCENARIO("the last rate limit that a server advertised applies, whichever host received it")
{
    LimitedHost host;
    GIVEN("a server that advertises a limit")
    {
        host.receive_response(2.8);
        CHECK(host.has_limit(2.8));
        CHECK(host.sent_messages.size() == 1);
        WHEN("it advertises the same limit again")
        {
            host.now += 1s;
            host.receive_response(2.8);
            THEN("nothing is announced") { CHECK(host.sent_messages.size() == 1); }
        }
        WHEN("a response advertises none")
        {
            host.now += 1s;
            host.receive_response({});
            CHECK(host.has_limit({}));
            CHECK(host.sent_messages.back().limits(0).requests_per_second() < 0);
            THEN("an older announcement is ignored")
            {
                host.receive_announcement(2.8, 500);
                CHECK(host.has_limit({}));
            }
            THEN("a later announcement applies")
            {
                host.now += 1s;
                host.receive_announcement(3.5, 500);
                CHECK(host.has_limit(3.5));
            }
        }
        WHEN("another host announces later that it advertises none")
        {
            host.now += 1s;
            host.receive_announcement(-1, 100);
            THEN("that applies here") { CHECK(host.has_limit({})); }
        }
        WHEN("it advertises another limit with each response")
        {
            for (int i = 0; i < 100; ++i) {
                host.now += 10ms;
                host.receive_response(i);
            }
            THEN("announcements to other hosts are rate-limited") { CHECK(host.sent_messages.size() <= 5); }
        }
        THEN("it receives no copies")
        {
            ChoiceInputs inputs;
            inputs.now = host.now;
            CHECK(!is_candidate(*host.backend, {}, inputs));
        }
    }
    WHEN("an announcement refers to an earlier start, or is not a number")
    {
        host.receive_announcement(2.8, 0, 6);
        host.receive_announcement(std::numeric_limits<double>::quiet_NaN(), 0);
        THEN("it is ignored") { CHECK(host.has_limit({})); }
    }
}
