/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/Admission.h>
#include <LibServing/BackendList.h>
#include <LibServing/RateLimit.h>
#include <LibServing/Refusal.h>
#include <LibServing/ServerNotice.h>
#include <Tests/Support/MovingClock.h>
#include <rapidcheck/catch.h>

using namespace Serving;

namespace {

BackendServer entry_of(std::string const& id, i64 start)
{
    BackendServer entry;
    entry.id = EngineId(id);
    entry.start = ServerStart(start);
    entry.service = ServiceName("models");
    entry.address = Address("127.0.0.1:1000");
    entry.failure_domain = FailureDomainId("hall-a");
    entry.slots = 8;
    return entry;
}

BackendResponseHead requesting_back_off(Duration back_off)
{
    BackendResponseHead head;
    head.back_off_for = back_off;
    return head;
}

/// A host and the backend servers that respond to it.
class NotifiedHost {
public:
    NotifiedHost()
    {
        this->context.clock = [this] { return this->now += Test::clock_step; };
    }

    void list(std::string const& id, i64 start = 1'000) { this->servers.apply_entry(entry_of(id, start)); }
    void remove(std::string const& id) { this->servers.handle_removal(EngineId(id)); }
    [[nodiscard]] BackendPointer server(std::string const& id) const
    {
        return this->context.backends.find(EngineId(id));
    }
    [[nodiscard]] std::vector<BackendPointer> const& all() const
    {
        return this->context.backends.of_service(ServiceName("models"));
    }
    void receive(std::string const& id, BackendResponseHead const& head)
    {
        apply_server_notice(this->context, *this->server(id), head);
    }
    void advance(Duration span)
    {
        this->now += span;
        this->servers.tick();
    }

    /// Whether new work would be sent to any server, which must be the same for calls, generations and copies.
    [[nodiscard]] bool any_server_gets_work()
    {
        auto const inputs = this->context.choice_inputs(0);
        GenerationNeed const need { TokenCount(1000), TokenCount(100) };
        auto const admission = admit(this->all(), {}, { need, 1s }, TokenCount(30'000), inputs, this->context.random);
        bool const for_calls = choose_for_call(this->all(), {}, inputs, this->context.random) != nullptr;
        auto copies = inputs;
        copies.server_limits = nullptr;
        bool const for_copies
            = choose_for_generation(this->all(), {}, need, TokenCount(30'000), copies, this->context.random) != nullptr;
        bool const for_generations = admission.engine != nullptr;
        REQUIRE(for_calls == for_generations);
        REQUIRE(for_calls == for_copies);
        return for_calls;
    }
    [[nodiscard]] Admission admission()
    {
        AdmissionDemand const demand { { TokenCount(1000), TokenCount(100) }, 1s };
        return admit(this->all(), {}, demand, TokenCount(30'000), this->context.choice_inputs(0), this->context.random);
    }

    Instant now { Instant {} + 1h };

    Http::asio::io_context loop;
    HostSettings settings;
    Core::StructuredLog log { [](std::string_view text) { return text.size(); } };
    ServingContext context { loop, settings, log };
    BackendList servers { context, { [](auto const&) {}, [](auto const&) {} } };
};

}

// Regression: a host continued to send to a server during a requested back-off, because another request had succeeded
// there.
SCENARIO("what a server has asked for holds until its time is over, and nothing else ends it")
{
    NotifiedHost host;
    host.list("a");
    GIVEN("a server that has requested a back-off of three seconds")
    {
        host.receive("a", requesting_back_off(3s));
        host.advance(1s);
        auto back_off_holds = [&] {
            host.advance(1999ms);
            CHECK_FALSE(host.any_server_gets_work());
            host.advance(1ms);
            CHECK(host.any_server_gets_work());
        };
        THEN("it gets no work for that time, and gets work again afterwards") { back_off_holds(); }
        WHEN("an earlier request succeeds there")
        {
            record_success(*host.server("a"));
            THEN("the back-off still applies") { back_off_holds(); }
        }
        WHEN("a later response requests a shorter back-off")
        {
            host.receive("a", requesting_back_off(200ms));
            THEN("the back-off still applies") { back_off_holds(); }
        }
        WHEN("a later response requests no back-off")
        {
            host.receive("a", {});
            THEN("the back-off still applies") { back_off_holds(); }
        }
        WHEN("the server has refused requests of other hosts as well")
        {
            wire::HostUse message;
            auto& refusing = *message.add_refusing();
            refusing.set_backend("a");
            refusing.set_refusals(1);
            apply_refusals(host.context, message);
            THEN("the back-off still applies") { back_off_holds(); }
        }
        WHEN("its entry is removed and added again")
        {
            auto const before = host.server("a");
            host.remove("a");
            host.list("a");
            REQUIRE(host.server("a") != before);
            THEN("the back-off still applies") { back_off_holds(); }
        }
    }
    GIVEN("a server that has requested a longer back-off than the settings of the host allow")
    {
        host.settings.max_back_off = 2s;
        host.receive("a", requesting_back_off(10h));
        host.advance(2s);
        THEN("it gets work after the longest allowed back-off") { CHECK(host.any_server_gets_work()); }
    }
    GIVEN("a new start of a server that had requested a back-off")
    {
        host.receive("a", requesting_back_off(1h));
        host.list("a", 2'000);
        THEN("the back-off does not apply to the new start") { CHECK(host.any_server_gets_work()); }
    }
    GIVEN("another process at its address that requests a back-off")
    {
        auto head = requesting_back_off(1h);
        head.is_misdirected = true;
        host.receive("a", head);
        THEN("the notice does not apply to the server") { CHECK(host.any_server_gets_work()); }
    }
}

// Regression: a server that had reported that it was leaving received work again after its entry had been removed and
// added again.
SCENARIO("a process that has said that it leaves is sent nothing new, and nothing takes that back")
{
    NotifiedHost host;
    host.list("a");
    BackendResponseHead leaving;
    leaving.is_leaving = true;
    GIVEN("a response with the notice")
    {
        host.receive("a", leaving);
        WHEN("later responses do not contain it")
        {
            host.receive("a", {});
            THEN("it gets no work") { CHECK_FALSE(host.any_server_gets_work()); }
        }
        WHEN("the list reports it as in service")
        {
            host.list("a");
            THEN("it gets no work") { CHECK_FALSE(host.any_server_gets_work()); }
        }
        WHEN("its entry is removed and added again")
        {
            host.remove("a");
            host.advance(10s);
            host.list("a");
            THEN("it gets no work") { CHECK_FALSE(host.any_server_gets_work()); }
        }
    }
    GIVEN("a response that arrives while its entry is removed")
    {
        auto const before = host.server("a");
        host.remove("a");
        apply_server_notice(host.context, *before, leaving);
        host.list("a");
        THEN("it gets no work") { CHECK_FALSE(host.any_server_gets_work()); }
    }
    GIVEN("a response to a request sent before its entry was removed and added again")
    {
        auto const before = host.server("a");
        host.remove("a");
        host.list("a");
        REQUIRE(host.server("a") != before);
        WHEN("it contains the notice")
        {
            apply_server_notice(host.context, *before, leaving);
            THEN("it gets no work") { CHECK_FALSE(host.any_server_gets_work()); }
        }
        WHEN("it requests a back-off")
        {
            apply_server_notice(host.context, *before, requesting_back_off(3s));
            THEN("it gets no work") { CHECK_FALSE(host.any_server_gets_work()); }
        }
    }
    GIVEN("a later start under its id")
    {
        host.receive("a", leaving);
        host.list("a", 2'000);
        THEN("the new start gets work") { CHECK(host.any_server_gets_work()); }
    }
    GIVEN("another process at its address that sends the notice")
    {
        leaving.is_misdirected = true;
        host.receive("a", leaving);
        THEN("the notice does not apply to the server") { CHECK(host.any_server_gets_work()); }
    }
}

SCENARIO("where all servers have asked for a pause, who asks is refused with the first time at which one may take it")
{
    NotifiedHost host;
    for (auto const* id : { "a", "b", "c" })
        host.list(id);
    host.receive("a", requesting_back_off(6s));
    auto const before = host.now;
    host.receive("b", requesting_back_off(2s));
    auto const after = host.now;
    host.receive("c", requesting_back_off(4s));
    auto const decision = host.admission();
    CHECK(decision.verdict == AdmissionVerdict::BackingOff);
    CHECK(decision.retry_after >= 2s);
    CHECK(decision.retry_after <= 2500ms);
    CHECK(min_back_off(host.all(), before) > Duration(2s));
    CHECK(min_back_off(host.all(), after) <= Duration(2s));
    WHEN("the first back-off has ended")
    {
        host.advance(2s);
        THEN("that server is chosen") { CHECK(host.admission().engine->server.id == EngineId("b")); }
    }
}

SCENARIO("in any series of answers, successes and entries that come and go, the latest end that was asked for holds")
{
    rc::prop("for one start of a server", [](std::vector<std::pair<u8, u8>> const& steps) {
        NotifiedHost host;
        host.list("a");
        Instant until {};
        for (auto const& [what, which] : steps) {
            auto const span = std::chrono::milliseconds(which * 20);
            switch (what % 5) {
            case 0:
                if (host.server("a")) {
                    host.receive("a", requesting_back_off(span));
                    until = std::max(until, host.now + span);
                }
                break;
            case 1:
                if (host.server("a"))
                    record_success(*host.server("a"));
                break;
            case 2:
                host.remove("a");
                break;
            case 3:
                host.list("a");
                break;
            default:
                host.advance(span);
            }
            if (host.server("a"))
                RC_ASSERT(host.server("a")->takes_work_at(host.now) == (host.now >= until));
        }
    });
}

SCENARIO("servers that name limits, ask for back-off and leave, in any series, are sent what they want and no more")
{
    rc::prop("with a single host", [](std::vector<std::tuple<u8, u8, u8>> const& steps) {
        NotifiedHost host;
        host.context.reachability.update_known_hosts({}, host.now);
        host.advance(10s);
        std::vector<std::string> const ids { "a", "b", "c" };
        for (auto const& id : ids)
            host.list(id);
        std::map<std::string, Instant> until;
        std::set<std::string> leaving;
        std::map<std::string, std::vector<Instant>> sent;
        for (auto const& [what, who, amount] : steps) {
            auto const& id = ids[who % ids.size()];
            auto const span = std::chrono::milliseconds(amount * 20);
            BackendResponseHead head;
            switch (what % 8) {
            case 0:
                host.receive(id, requesting_back_off(span));
                until[id] = std::max(until[id], host.now + span);
                break;
            case 1:
                record_rate_limit(host.context, *host.server(id), RequestRate(1 + amount % 8));
                break;
            case 2:
                record_rate_limit(host.context, *host.server(id), {});
                break;
            case 3:
                head.is_leaving = amount % 16 == 0;
                host.receive(id, head);
                if (head.is_leaving)
                    leaving.insert(id);
                break;
            case 4:
                host.advance(span);
                break;
            default: {
                auto const inputs = host.context.choice_inputs(0);
                auto const chosen = choose_for_call(host.all(), {}, inputs, host.context.random);
                bool const any_would_accept = std::ranges::any_of(ids, [&](std::string const& candidate) {
                    return host.now >= until[candidate] && !leaving.contains(candidate)
                        && host.context.server_limits.may_send(*host.server(candidate), host.now);
                });
                RC_ASSERT((chosen != nullptr) == any_would_accept);
                if (!chosen)
                    break;
                auto const& chosen_id = chosen->server.id.value();
                RC_ASSERT(host.now >= until[chosen_id]);
                RC_ASSERT(!leaving.contains(chosen_id));
                // A limit may expire if it is not renewed for this long.
                constexpr Duration limit_surely_holds = 20s;
                if (chosen->limit && host.now - *chosen->limit_reported_at < limit_surely_holds) {
                    auto const lately = std::ranges::count_if(
                        sent[chosen_id], [&](Instant at) { return host.now - at < ServerLimits::rate_limit_window; });
                    RC_ASSERT(static_cast<u32>(lately) < ServerLimits::requests_in_window(*chosen->limit));
                }
                ServerLimits::record_sent(*chosen, host.now);
                sent[chosen_id].push_back(host.now);
            }
            }
        }
        // Once all back-offs and limits have expired, every server that is not leaving accepts work again.
        host.advance(1h);
        for (auto const& id : ids)
            RC_ASSERT(host.server(id)->takes_work_at(host.now) == !leaving.contains(id));
    });
}
