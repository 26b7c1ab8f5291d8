/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/Overload/ShortageMessages.h>
#include <Tests/Support/MovingClock.h>
#include <catch2/catch.hpp>
#include <cmath>
#include <limits>

using namespace Serving;
using Overload::Shortage;
using Overload::SignScope;

namespace {

/// One host with a clock of its own, and what it tells others.
class ReportingHost {
public:
    ReportingHost()
        : context(this->loop, this->settings, this->log)
    {
        this->context.clock = [this] { return this->now += Test::clock_step; };
    }

    /// The message as its receiver decodes it.
    wire::HostUse message(SignScope scope)
    {
        wire::HostUse made;
        put_shortages(made, this->context, scope);
        put_organisation_use(made, this->context, scope);
        wire::HostUse received;
        REQUIRE(received.ParseFromString(made.SerializeAsString()));
        return received;
    }
    void apply(std::string const& reporter, SignScope scope, wire::HostUse const& received)
    {
        apply_shortages(this->context, MemberId(reporter), scope, received);
    }
    [[nodiscard]] bool has_shortage() { return this->context.demands.of(this->models).shortage.is_present(this->now); }
    double use_of(std::string const& organisation)
    {
        auto const told = this->message(SignScope::Domain);
        for (auto const& entry : told.organisations()) {
            if (entry.organisation() == organisation)
                return static_cast<double>(entry.tokens());
        }
        return 0;
    }

    ServiceName models { "models" };
    Http::asio::io_context loop;
    HostSettings settings;
    Core::StructuredLog log { [](std::string_view text) { return text.size(); } };
    Instant now { 100s };
    ServingContext context;
};

wire::HostUse shortage_message(u32 age, u32 began_ago, u32 priority = 0, u32 waiting = 0)
{
    wire::HostUse message;
    auto& entry = *message.add_shortages();
    entry.set_service("models");
    entry.set_age_milliseconds(age);
    entry.set_began_milliseconds_ago(began_ago);
    entry.set_priority(priority);
    entry.set_waiting(waiting);
    return message;
}

void add_use(wire::HostUse& message, std::string const& organisation, u64 tokens, u32 age = 0)
{
    auto& entry = *message.add_organisations();
    entry.set_service("models");
    entry.set_organisation(organisation);
    entry.set_tokens(tokens);
    entry.set_age_milliseconds(age);
}

constexpr u32 largest = std::numeric_limits<u32>::max();

}

SCENARIO("a host learns of the shortage that another host of its domain has observed")
{
    ReportingHost sender;
    ReportingHost receiver;
    int announced = 0;
    sender.context.shortage_began = [&](ServiceName const&) { ++announced; };
    CHECK(sender.message(SignScope::Host).shortages().empty());
    record_shortage_sign(sender.context, sender.models, 2);
    record_shortage_sign(sender.context, sender.models, 2);
    CHECK(announced == 1);
    sender.context.demands.of(sender.models)
        .shares.record_placed(OrganisationId("plaza"), TokenCount(5000), sender.now);
    sender.now += 500ms;
    auto const message = sender.message(SignScope::Host);
    REQUIRE(message.shortages_size() == 1);
    CHECK(message.shortages(0).age_milliseconds() == 500);
    REQUIRE(message.organisations_size() == 1);

    // The clocks of hosts differ.
    receiver.now = Instant(7000s);
    receiver.apply("sender", SignScope::Host, message);
    CHECK(receiver.has_shortage());
    auto const tokens = receiver.use_of("plaza");
    CHECK(tokens > 4000);

    WHEN("the message arrives again")
    {
        receiver.apply("sender", SignScope::Host, message);
        THEN("nothing is counted twice") { CHECK(receiver.use_of("plaza") == tokens); }
        THEN("the shortage ends by the age of its last sign")
        {
            receiver.now += Shortage::quiet_time - 500ms;
            CHECK(receiver.has_shortage());
            receiver.now += 1ms;
            CHECK_FALSE(receiver.has_shortage());
            update_shortages(receiver.context);
            AND_WHEN("a message that has an older sign arrives late")
            {
                receiver.apply("sender", SignScope::Host, shortage_message(2001, 5000));
                THEN("it does not begin anew") { CHECK_FALSE(receiver.has_shortage()); }
            }
        }
    }
    WHEN("it comes from a host of the same domain")
    {
        THEN("this host tells only other domains, and not hosts of its own domain, of it")
        {
            CHECK(receiver.message(SignScope::Host).shortages().empty());
            CHECK(receiver.message(SignScope::Host).organisations().empty());
            CHECK(receiver.message(SignScope::Domain).shortages_size() == 1);
        }
    }
}

SCENARIO("a domain does not pass on what it has learnt from another domain")
{
    ReportingHost host;
    auto message = shortage_message(0, 0);
    add_use(message, "plaza", 5000);
    host.apply("hall-b", SignScope::Domain, message);
    CHECK(host.has_shortage());
    for (auto const scope : { SignScope::Host, SignScope::Domain }) {
        CHECK(host.message(scope).shortages().empty());
        CHECK(host.message(scope).organisations().empty());
    }

    WHEN("a host of its own domain reports a sign as well")
    {
        host.apply("neighbour", SignScope::Host, shortage_message(300, 300));
        THEN("it passes on that sign, and still not the use of the other domain")
        {
            auto const passed_on = host.message(SignScope::Domain);
            REQUIRE(passed_on.shortages_size() == 1);
            CHECK(passed_on.shortages(0).age_milliseconds() == 300);
            CHECK(passed_on.organisations().empty());
        }
    }
}

SCENARIO("a faulty host reports shortages with absurd values")
{
    ReportingHost host;
    WHEN("a sign is as old as a message can state")
    {
        host.apply("faulty", SignScope::Host, shortage_message(largest, largest, largest, largest));
        THEN("there is no shortage") { CHECK_FALSE(host.has_shortage()); }
    }
    WHEN("a new sign states the largest values otherwise")
    {
        host.apply("faulty", SignScope::Host, shortage_message(0, largest, largest, largest));
        THEN("its host counts as one with waiting generations, and the shortage ends as any other")
        {
            auto& shortage = host.context.demands.of(host.models).shortage;
            CHECK(shortage.hosts_with_waiting(host.now) == 1);
            host.now += Shortage::quiet_time + 1ms;
            update_shortages(host.context);
            CHECK_FALSE(host.has_shortage());
            CHECK(shortage.hosts_with_waiting(host.now) == 0);
        }
    }
    WHEN("the use of organisations is absurd, or nothing")
    {
        auto message = shortage_message(0, 0);
        add_use(message, "west", std::numeric_limits<u64>::max());
        add_use(message, "plaza", std::numeric_limits<u64>::max(), largest);
        add_use(message, "north", 0);
        host.apply("faulty", SignScope::Host, message);
        THEN("shares stay finite, and old use counts as nothing")
        {
            auto& shares = host.context.demands.of(host.models).shares;
            CHECK(std::isfinite(shares.use_of_share(OrganisationId("plaza"), host.now)));
            CHECK(std::isfinite(shares.use_of_share(OrganisationId("south"), host.now)));
            CHECK(host.use_of("plaza") == 0);
            CHECK(host.use_of("north") == 0);
            CHECK(host.use_of("west") > 0);
            CHECK_FALSE(shares.must_yield(OrganisationId("south"), host.now));
        }
    }
    WHEN("a message names a service that this host does not know")
    {
        wire::HostUse message;
        message.add_shortages()->set_service("unknown");
        message.add_organisations()->set_service("other");
        host.apply("faulty", SignScope::Host, message);
        THEN("the known services are not affected") { CHECK_FALSE(host.has_shortage()); }
    }
    WHEN("it names ever new services and organisations")
    {
        for (int i = 0; i < 2000; ++i) {
            wire::HostUse message;
            message.add_shortages()->set_service("service-" + std::to_string(i));
            host.apply("faulty", SignScope::Host, message);
        }
        auto message = shortage_message(0, 0);
        for (int i = 0; i < 5000; ++i)
            add_use(message, "organisation-" + std::to_string(i), 5000);
        host.apply("faulty", SignScope::Host, message);
        THEN("memory and messages stay bounded")
        {
            CHECK(host.context.demands.size() <= 256);
            auto const told = host.message(SignScope::Domain);
            CHECK(told.shortages_size() <= 256);
            CHECK(told.organisations_size() <= static_cast<int>(Overload::OrganisationShares::max_reported));
        }
    }
}
