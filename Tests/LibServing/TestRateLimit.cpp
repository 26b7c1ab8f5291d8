/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/BackendChooser.h>
#include <LibServing/RateLimit.h>
#include <catch2/catch.hpp>

using namespace Serving;

namespace {

/// A host that knows one server, and the words that it has for others.
class LimitedHost {
public:
    LimitedHost()
    {
        this->context.clock = [this] { return this->now; };
        this->context.limit_changed = [this](Backend const& changed) {
            wire::HostUse message;
            put_rate_limit(message, this->context, changed);
            this->words.push_back(message);
        };
        BackendServer server;
        server.id = EngineId("lane-1");
        server.start = ServerStart(7);
        server.service = ServiceName("lanes");
        server.address = Address("127.0.0.1:1000");
        this->backend = this->context.backends.update(server, this->now);
    }

    void hear(std::optional<double> per_second) { record_rate_limit(this->context, *this->backend, rate(per_second)); }
    void be_told(double per_second, u32 age_milliseconds, i64 start = 7)
    {
        wire::HostUse message;
        auto& said = *message.add_limits();
        said.set_backend("lane-1");
        said.set_start(start);
        said.set_requests_per_second(per_second);
        said.set_age_milliseconds(age_milliseconds);
        apply_rate_limits(this->context, message);
    }
    [[nodiscard]] bool believes(std::optional<double> per_second) const
    {
        return this->backend->limit == rate(per_second);
    }

    Instant now { 100s };
    std::vector<wire::HostUse> words;
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

SCENARIO("a server's last word of its limit holds, by whichever host it comes")
{
    LimitedHost host;
    GIVEN("a server that names a limit")
    {
        host.hear(2.8);
        CHECK(host.believes(2.8));
        CHECK(host.words.size() == 1);
        WHEN("it names the same again")
        {
            host.now += 1s;
            host.hear(2.8);
            THEN("there is nothing to tell") { CHECK(host.words.size() == 1); }
        }
        WHEN("an answer names none")
        {
            host.now += 1s;
            host.hear({});
            CHECK(host.believes({}));
            CHECK(host.words.back().limits(0).requests_per_second() < 0);
            THEN("a word of the time before is passed over")
            {
                host.be_told(2.8, 500);
                CHECK(host.believes({}));
            }
            THEN("a later one is not")
            {
                host.now += 1s;
                host.be_told(3.5, 500);
                CHECK(host.believes(3.5));
            }
        }
        WHEN("another host has heard later that it names none")
        {
            host.now += 1s;
            host.be_told(-1, 100);
            THEN("that holds here") { CHECK(host.believes({})); }
        }
        WHEN("it names another limit with each answer")
        {
            for (int i = 0; i < 100; ++i) {
                host.now += 10ms;
                host.hear(i);
            }
            THEN("the others are told now and then only") { CHECK(host.words.size() <= 5); }
        }
        THEN("no copy goes there")
        {
            ChoiceInputs inputs;
            inputs.now = host.now;
            CHECK(!is_candidate(*host.backend, {}, inputs));
        }
    }
    WHEN("a word is of a former start, or is no rate")
    {
        host.be_told(2.8, 0, 6);
        host.be_told(std::numeric_limits<double>::quiet_NaN(), 0);
        THEN("it is passed over") { CHECK(host.believes({})); }
    }
}
