/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/QuarantineTable.h>
#include <catch2/catch.hpp>

using namespace Serving;

namespace {

/// The platform's table of requests that are held back, which answers at once, or fails.
struct KeptRequests {
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

/// A host that hears no other, as far as it keeps requests that are held back.
class KeepingHost {
public:
    explicit KeepingHost(KeptRequests& store)
        : table(this->context, store, this->address)
    {
        this->context.clock = [this] { return this->now; };
        this->table.start();
    }

    void pass(Duration span)
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
            record_termination_under(this->context, request, server);
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
    QuarantineTable<KeptRequests> table;
};

}

SCENARIO("requests that are held back outlive all hosts")
{
    KeptRequests store;
    RequestFingerprint const request { OrganisationId("plaza"), 77 };
    GIVEN("a host that holds one back")
    {
        KeepingHost before(store);
        before.pass(2s);
        before.hold(request);
        before.pass(200ms);
        CHECK(store.rows.size() == 1);
        WHEN("another one starts, which hears nobody")
        {
            KeepingHost after(store);
            after.pass(2s);
            THEN("it holds it back as well, and has read once")
            {
                CHECK(after.context.quarantine.held_for(request, after.now).value_or(0s) > 59min);
                CHECK(after.context.knows_quarantine);
                CHECK(store.reads == 2);
                after.pass(10s);
                CHECK(store.reads == 2);
            }
        }
        WHEN("its hour is over")
        {
            before.now += 1h;
            before.pass(200ms);
            THEN("the row goes") { CHECK(store.rows.empty()); }
        }
        WHEN("a run of it that was under way ends well")
        {
            record_run_survived(before.context, request);
            before.pass(200ms);
            THEN("the row goes") { CHECK(store.rows.empty()); }
        }
    }
    GIVEN("a host that has been told what others know")
    {
        KeepingHost host(store);
        wire::HostUse message;
        message.set_is_whole(true);
        message.set_knows_quarantine(true);
        apply_request_terminations(host.context, message);
        host.pass(10s);
        THEN("it asks the platform for nothing") { CHECK(store.reads == 0); }
    }
    GIVEN("a platform that fails")
    {
        store.fails = true;
        KeepingHost host(store);
        host.pass(5s);
        THEN("it is asked now and then") { CHECK(store.reads <= 5); }
        WHEN("it is known not to answer")
        {
            host.context.reach.platform_is_lost();
            host.hold(request);
            auto const before = store.reads + store.writes;
            host.pass(10s);
            CHECK(store.reads + store.writes == before);
            THEN("it is read and written once it is back")
            {
                store.fails = false;
                host.context.reach.platform_answers();
                host.pass(2s);
                CHECK(host.context.knows_quarantine);
                CHECK(store.rows.size() == 1);
            }
        }
    }
    GIVEN("rows that are over, or cannot be read")
    {
        wire::QuarantineRow old;
        old.set_organisation("plaza");
        old.set_digest(request.digest);
        old.set_held_until_unix_milliseconds(1000);
        store.rows["old"] = old.SerializeAsString();
        store.rows["of another version"] = "\xff\xff";
        KeepingHost host(store);
        host.pass(3s);
        THEN("they hold nothing back; the old one goes, and the other one stays for who can read it")
        {
            CHECK(host.context.quarantine.all().empty());
            CHECK(!store.rows.contains("old"));
            CHECK(store.rows.contains("of another version"));
        }
    }
}
