/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/BackendList.h>
#include <LibServing/PeerUse.h>
#include <LibServing/Suspicion.h>
#include <Tests/Support/MovingClock.h>
#include <rapidcheck/catch.h>

using namespace Serving;

static EngineId const id("engine-1");

static BackendServer row(i64 start, bool is_leaving = false, int port = 1000)
{
    BackendServer made;
    made.id = id;
    made.start = ServerStart(start);
    made.service = ServiceName("models");
    made.address = Address("127.0.0.1:" + std::to_string(port));
    made.failure_domain = FailureDomainId("hall-a");
    made.slots = 8;
    made.is_leaving = is_leaving;
    return made;
}

/// A host's view of one backend server, with every source that can change it.
struct HostView {
    HostView()
    {
        this->context.clock = [this] { return this->now += Test::clock_step; };
    }

    [[nodiscard]] BackendPointer backend() const { return this->context.backends.find(id); }
    [[nodiscard]] bool takes_work() const { return this->backend() && this->backend()->takes_work(); }

    void peer_has(i64 start, i64 tokens)
    {
        wire::HostUse message;
        message.set_is_whole(true);
        auto& engine = *message.add_engines();
        engine.set_engine(id.value());
        engine.set_start(start);
        engine.set_tokens(tokens);
        this->use.apply(MemberId("host-2"), message, this->context.backends, this->now);
    }
    void peer_cannot_connect(i64 start, std::string const& peer)
    {
        wire::HostUse message;
        auto& unreachable = *message.add_unreachable();
        unreachable.set_backend(id.value());
        unreachable.set_start(start);
        unreachable.set_avoided_milliseconds(2000);
        apply_suspicions(this->context, MemberId(peer), message);
    }

    Http::asio::io_context loop;
    HostSettings settings;
    Core::StructuredLog log { [](std::string_view text) { return text.size(); } };
    ServingContext context { loop, settings, log };
    Instant now { 100s };
    PeerUse use;
    std::vector<i64> left;
    BackendList list { context,
        { [this](BackendPointer const& backend) { this->use.apply_to(*backend); },
            [this](BackendPointer const& backend) { this->left.push_back(backend->server.start.value()); } } };
};

SCENARIO("a backend server that starts again under its id is another server")
{
    HostView host;
    host.list.apply_entry(row(1'000));
    auto const former = host.backend();
    former->engine.own_generations = 3;
    former->engine.own_tokens = 9000;
    host.peer_has(1'000, 5000);
    CHECK(former->engine.tokens() == 14'000);
    int terminations = 0;
    auto token = former->observe_termination([&] { ++terminations; });

    WHEN("its new start is listed")
    {
        record_failure(*former, host.now, true);
        host.list.apply_entry(row(1'000, true));
        host.list.apply_entry(row(2'000));
        THEN("it inherits no state of the former start")
        {
            REQUIRE(host.backend());
            CHECK(host.backend() != former);
            CHECK(host.takes_work());
            CHECK(host.backend()->engine.tokens() == 0);
            CHECK_FALSE(host.backend()->is_avoided(host.now));
            CHECK(host.context.backends.of_service(ServiceName("models")).size() == 1);
        }
        THEN("requests that were running at the former start have ended") { CHECK(terminations == 1); }
        AND_WHEN("an outdated list still has the former start, which was leaving")
        {
            host.list.apply_entry(row(1'000, true));
            CHECK(host.backend()->server.start == ServerStart(2'000));
            CHECK(host.takes_work());
        }
        AND_WHEN("other hosts still send messages about the former start")
        {
            host.peer_has(1'000, 7000);
            host.peer_cannot_connect(1'000, "host-2");
            host.peer_cannot_connect(1'000, "host-3");
            host.list.handle_leaving(id, ServerStart(1'000), {});
            host.list.handle_termination(id, ServerStart(1'000), Address("127.0.0.1:1000"));
            CHECK(host.takes_work());
            CHECK(host.backend()->engine.tokens() == 0);
            CHECK_FALSE(host.backend()->is_avoided(host.now));
        }
        AND_WHEN("other hosts send messages about the new start")
        {
            host.peer_has(2'000, 7000);
            CHECK(host.backend()->engine.tokens() == 7000);
            host.list.handle_leaving(id, ServerStart(2'000), {});
            CHECK_FALSE(host.takes_work());
        }
        AND_WHEN("its entry is removed, and an entry of the former start is added")
        {
            host.list.handle_removal(id);
            host.list.apply_entry(row(1'000));
            CHECK_FALSE(host.backend());
        }
    }
    WHEN("other hosts send messages about the new start before this host has its entry")
    {
        host.peer_has(2'000, 7000);
        THEN("their work is not added to the known start") { CHECK(former->engine.tokens() == 9000); }
        AND_WHEN("the entry arrives")
        {
            host.list.apply_entry(row(2'000));
            CHECK(host.backend()->engine.tokens() == 7000);
        }
    }
}

SCENARIO("an entry without a start refers to the known server")
{
    HostView host;
    host.list.apply_entry(row(1'000));
    host.list.mark_unusable(id);
    host.list.apply_entry(row(0));
    CHECK(host.takes_work());
    auto const known = host.backend();
    host.list.apply_entry(row(0, true));
    CHECK(host.backend() == known);
    CHECK_FALSE(host.takes_work());
    CHECK(host.left == std::vector<i64> { 1'000 });
    host.list.apply_entry(row(2'000));
    CHECK(host.takes_work());
}

SCENARIO("a backend server gets no new work once another process responds at its address")
{
    HostView host;
    host.list.apply_entry(row(1'000));
    auto const former = host.backend();
    int terminations = 0;
    auto token = former->observe_termination([&] { ++terminations; });
    host.list.handle_termination(id, ServerStart(1'000), Address("127.0.0.1:1000"));
    CHECK_FALSE(host.takes_work());
    THEN("running requests continue") { CHECK(terminations == 0); }
    WHEN("the list still contains it")
    {
        host.list.apply_list({ row(1'000) });
        host.list.apply_entry(row(1'000, true));
        CHECK_FALSE(host.takes_work());
    }
    WHEN("it is listed at another address")
    {
        host.list.apply_entry(row(1'000, false, 1001));
        CHECK(host.takes_work());
        AND_WHEN("a message about its former address arrives late")
        {
            host.list.handle_termination(id, ServerStart(1'000), Address("127.0.0.1:1000"));
            CHECK(host.takes_work());
        }
    }
    WHEN("it is listed with another start")
    {
        host.list.apply_entry(row(2'000));
        CHECK(host.takes_work());
        CHECK(terminations == 1);
    }
}

SCENARIO("an entry that cannot be used names no server to give work to")
{
    HostView host;
    host.list.apply_list({ row(1'000) }, { EngineId("never known") });
    CHECK(host.context.backends.all().size() == 1);
    host.list.mark_unusable(id);
    CHECK_FALSE(host.takes_work());
    THEN("running requests continue") { CHECK(host.left.empty()); }
    WHEN("a valid entry arrives")
    {
        host.list.apply_entry(row(1'000));
        CHECK(host.takes_work());
    }
    WHEN("a valid entry says that the server is leaving")
    {
        host.list.apply_entry(row(1'000, true));
        CHECK_FALSE(host.takes_work());
        CHECK(host.left == std::vector<i64> { 1'000 });
    }
    WHEN("the list is read again and the entry is still invalid")
    {
        host.list.apply_list({}, { id });
        CHECK_FALSE(host.takes_work());
        CHECK(host.backend());
    }
    WHEN("the entry is removed")
    {
        host.list.apply_list({}, {});
        CHECK_FALSE(host.backend());
    }
}

/// The expected state of one id after messages in any order: each start is a server of its own, and the latest one
/// counts.
struct Model {
    i64 start { 0 };
    bool is_listed { false };
    bool is_leaving { false };
    bool is_unusable { false };
    bool has_terminated { false };
    /// Starts that have announced themselves that they are leaving.
    std::set<i64> announced_leaving;

    void listed(i64 listed_start, bool leaves)
    {
        if (listed_start < this->start)
            return;
        bool const is_new = listed_start > this->start || !this->is_listed;
        this->start = listed_start;
        this->is_leaving = leaves || this->announced_leaving.contains(listed_start) || (!is_new && this->is_leaving);
        this->has_terminated = !is_new && this->has_terminated;
        this->is_unusable = false;
        this->is_listed = true;
    }
    [[nodiscard]] bool takes_work() const
    {
        return this->is_listed && !this->is_leaving && !this->is_unusable && !this->has_terminated;
    }
};

SCENARIO("words of any start in any order leave what the latest start is")
{
    rc::prop("of list, hosts and servers", [](std::vector<std::pair<u8, u8>> const& messages) {
        HostView host;
        Model model;
        i64 last_peer_start = 0;
        i64 last_peer_tokens = 0;
        for (auto const& [what, which] : messages) {
            i64 const start = 1'000 + which % 4;
            bool const is_this = model.is_listed && start == model.start;
            switch (what % 7) {
            case 0:
            case 1: {
                bool const leaves = what % 7 == 1;
                host.list.apply_entry(row(start, leaves));
                model.listed(start, leaves);
                break;
            }
            case 2:
                host.list.handle_leaving(id, ServerStart(start), {});
                model.is_leaving = model.is_leaving || is_this;
                if (is_this)
                    model.announced_leaving.insert(start);
                break;
            case 3:
                host.list.handle_termination(id, ServerStart(start), Address("127.0.0.1:1000"));
                model.has_terminated = model.has_terminated || is_this;
                break;
            case 4:
                host.list.mark_unusable(id);
                model.is_unusable = model.is_listed;
                break;
            case 5:
                host.list.handle_removal(id);
                model.is_listed = false;
                break;
            default:
                last_peer_start = start;
                last_peer_tokens = 10 + which;
                host.peer_has(start, last_peer_tokens);
            }
            RC_ASSERT(host.takes_work() == model.takes_work());
            RC_ASSERT((host.backend() != nullptr) == model.is_listed);
            if (!model.is_listed)
                continue;
            RC_ASSERT(host.backend()->server.start == ServerStart(model.start));
            auto const expected = last_peer_start == model.start ? last_peer_tokens : 0;
            RC_ASSERT(host.backend()->engine.peer_tokens == expected);
        }
    });
}
