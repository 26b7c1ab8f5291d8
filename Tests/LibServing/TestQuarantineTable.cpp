/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/QuarantineTable.h>
#include <Tests/Support/MovingClock.h>
#include <catch2/catch.hpp>

using namespace Serving;

namespace {

/// The platform's table of quarantined requests. It responds at once, or fails.
struct QuarantineStore {
    void list(std::string const&, std::string const& first_key, Duration,
        std::function<void(Result<Platform::RowPage>)> const& on_page)
    {
        ++this->reads;
        if (this->fails)
            return on_page(Platform::platform_unavailable("away"));
        Platform::RowPage page;
        for (auto row = this->rows.lower_bound(first_key); row != this->rows.end(); ++row)
            page.rows.push_back({ row->first, row->second, 1 });
        on_page(std::move(page));
    }
    void put(std::string const&, std::string const& key, std::string const& value, Duration,
        std::function<void(Result<void>)> const& on_done)
    {
        ++this->writes;
        if (this->fails)
            return on_done(Platform::platform_unavailable("away"));
        this->rows[key] = value;
        on_done(success());
    }
    void remove(std::string const&, std::string const& key, Duration, std::function<void(Result<void>)> const& on_done)
    {
        ++this->writes;
        if (this->fails)
            return on_done(Platform::platform_unavailable("away"));
        this->rows.erase(key);
        on_done(success());
    }

    std::map<std::string, std::string> rows;
    int reads { 0 };
    int writes { 0 };
    bool fails { false };
};

/// A host that can reach no other host, with its quarantine and the table of it.
class StoringHost {
public:
    explicit StoringHost(QuarantineStore& store)
        : table(this->context, store, this->address)
    {
        this->context.clock = [this] { return this->now += Test::clock_step; };
        this->table.start();
    }

    void advance(Duration span)
    {
        auto const end = this->now + span;
        for (; this->now < end; this->now += 50ms)
            this->table.tick();
    }
    void hold(RequestFingerprint const& request)
    {
        for (int i = 0; i < 3; ++i) {
            Backend server;
            server.server.id = EngineId("e" + std::to_string(i));
            record_termination_under(this->context, request, server, { this->now, this->now });
        }
    }

    Instant now { 100s };

private:
    Address const address { "10.0.0.1:7200" };
    Http::asio::io_context loop;
    HostSettings settings;
    Core::StructuredLog log { [](std::string_view text) { return text.size(); } };

public:
    ServingContext context { this->loop, this->settings, this->log };
    QuarantineTable<QuarantineStore> table;
};

}

SCENARIO("the quarantine survives a restart of all hosts")
{
    QuarantineStore store;
    RequestFingerprint const request { OrganisationId("plaza"), 77 };
    GIVEN("a host that has quarantined a request")
    {
        StoringHost before(store);
        before.advance(2s);
        before.hold(request);
        before.advance(200ms);
        CHECK(store.rows.size() == 1);
        WHEN("another host starts and reaches no other one")
        {
            StoringHost after(store);
            after.advance(2s);
            THEN("it quarantines the request as well after a single read")
            {
                CHECK(after.context.quarantine.held_for(request, after.now).value_or(0s) > 59min);
                CHECK(after.context.knows_quarantine);
                CHECK(store.reads == 2);
                after.advance(10s);
                CHECK(store.reads == 2);
            }
        }
        WHEN("the quarantine has expired")
        {
            before.now += 1h;
            before.advance(200ms);
            THEN("the row is removed") { CHECK(store.rows.empty()); }
        }
        WHEN("a run of it that had already started completes")
        {
            record_run_survived(before.context, request);
            before.advance(200ms);
            THEN("the row is removed") { CHECK(store.rows.empty()); }
        }
    }
    GIVEN("a host that has received the quarantine from others")
    {
        StoringHost host(store);
        wire::HostUse message;
        message.set_is_whole(true);
        message.set_knows_quarantine(true);
        apply_request_terminations(host.context, message);
        host.advance(10s);
        THEN("it does not read the table") { CHECK(store.reads == 0); }
    }
    GIVEN("a platform that fails")
    {
        store.fails = true;
        StoringHost host(store);
        host.advance(5s);
        THEN("requests to it are rate-limited") { CHECK(store.reads <= 5); }
        WHEN("it is known to be unavailable")
        {
            host.context.reachability.set_platform_unavailable();
            host.hold(request);
            auto const before = store.reads + store.writes;
            host.advance(10s);
            CHECK(store.reads + store.writes == before);
            THEN("the table is read and written once it is available again")
            {
                store.fails = false;
                host.context.reachability.set_platform_available();
                host.advance(2s);
                CHECK(host.context.knows_quarantine);
                CHECK(store.rows.size() == 1);
            }
        }
    }
    GIVEN("rows that have expired or cannot be parsed")
    {
        wire::QuarantineRow old;
        old.set_organisation("plaza");
        old.set_digest(request.digest);
        old.set_held_until_unix_milliseconds(1000);
        store.rows["old"] = old.SerializeAsString();
        store.rows["of another version"] = "\xff\xff";
        StoringHost host(store);
        host.advance(3s);
        THEN("they quarantine nothing; the expired row is removed, and the unknown one stays for newer versions")
        {
            CHECK(host.context.quarantine.all().empty());
            CHECK(!store.rows.contains("old"));
            CHECK(store.rows.contains("of another version"));
        }
    }
}
