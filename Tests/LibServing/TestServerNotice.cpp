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

AnswerHead asking_for(Duration back_off)
{
    AnswerHead head;
    head.back_off_for = back_off;
    return head;
}

/// What one host believes of backend servers that answer it.
class AskedHost {
public:
    AskedHost()
    {
        this->context.clock = [this] { return this->now; };
    }

    void list(std::string const& id, i64 start = 1'000) { this->servers.changed(entry_of(id, start)); }
    void lapse(std::string const& id) { this->servers.removed(EngineId(id)); }
    [[nodiscard]] BackendPointer server(std::string const& id) const
    {
        return this->context.backends.find(EngineId(id));
    }
    [[nodiscard]] std::vector<BackendPointer> const& all() const
    {
        return this->context.backends.of_service(ServiceName("models"));
    }
    void hear(std::string const& id, AnswerHead const& head)
    {
        apply_server_notice(this->context, *this->server(id), head);
    }
    void pass(Duration span)
    {
        this->now += span;
        this->servers.tick();
    }

    /// The servers that each sender of new work would choose among all.
    [[nodiscard]] bool anyone_is_sent_work()
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

// A host went on sending to a server that had asked it for a pause, once another request had ended well there.
SCENARIO("what a server has asked for holds until its time is over, and nothing else ends it")
{
    AskedHost host;
    host.list("a");
    GIVEN("a server that has asked for three seconds")
    {
        host.hear("a", asking_for(3s));
        host.pass(1s);
        auto holds_until_then = [&] {
            host.pass(1999ms);
            CHECK_FALSE(host.anyone_is_sent_work());
            host.pass(1ms);
            CHECK(host.anyone_is_sent_work());
        };
        THEN("it is sent nothing until then, and work again afterwards") { holds_until_then(); }
        WHEN("a request that was under way ends well there")
        {
            note_success(*host.server("a"));
            THEN("that changes nothing") { holds_until_then(); }
        }
        WHEN("a later answer asks for less")
        {
            host.hear("a", asking_for(200ms));
            THEN("that changes nothing") { holds_until_then(); }
        }
        WHEN("a later answer asks for nothing")
        {
            host.hear("a", {});
            THEN("that changes nothing") { holds_until_then(); }
        }
        WHEN("other hosts have been refused as well")
        {
            wire::HostUse message;
            auto& refusing = *message.add_refusing();
            refusing.set_backend("a");
            refusing.set_refusals(1);
            apply_refusals(host.context, message);
            THEN("that changes nothing") { holds_until_then(); }
        }
        WHEN("its entry lapses and comes back")
        {
            auto const before = host.server("a");
            host.lapse("a");
            host.list("a");
            REQUIRE(host.server("a") != before);
            THEN("that changes nothing") { holds_until_then(); }
        }
    }
    GIVEN("a server that has asked for longer than a host's settings allow")
    {
        host.settings.longest_back_off = 2s;
        host.hear("a", asking_for(10h));
        host.pass(2s);
        THEN("it is tried then") { CHECK(host.anyone_is_sent_work()); }
    }
    GIVEN("a new start of a server that had asked")
    {
        host.hear("a", asking_for(1h));
        host.list("a", 2'000);
        THEN("that one has asked for nothing") { CHECK(host.anyone_is_sent_work()); }
    }
    GIVEN("another process at its address that asks")
    {
        auto head = asking_for(1h);
        head.is_misdirected = true;
        host.hear("a", head);
        THEN("it is not its word") { CHECK(host.anyone_is_sent_work()); }
    }
}

// A server that had said that it leaves got work again when its entry lapsed and came back.
SCENARIO("a process that has said that it leaves is sent nothing new, and nothing takes that back")
{
    AskedHost host;
    host.list("a");
    AnswerHead leaving;
    leaving.is_leaving = true;
    GIVEN("an answer that says so")
    {
        host.hear("a", leaving);
        WHEN("its later answers do not")
        {
            host.hear("a", {});
            THEN("it is sent nothing") { CHECK_FALSE(host.anyone_is_sent_work()); }
        }
        WHEN("the list says that it serves")
        {
            host.list("a");
            THEN("it is sent nothing") { CHECK_FALSE(host.anyone_is_sent_work()); }
        }
        WHEN("its entry lapses and comes back")
        {
            host.lapse("a");
            host.pass(10s);
            host.list("a");
            THEN("it is sent nothing") { CHECK_FALSE(host.anyone_is_sent_work()); }
        }
    }
    GIVEN("an answer that comes while its entry has lapsed")
    {
        auto const before = host.server("a");
        host.lapse("a");
        apply_server_notice(host.context, *before, leaving);
        host.list("a");
        THEN("it is sent nothing") { CHECK_FALSE(host.anyone_is_sent_work()); }
    }
    GIVEN("an answer to a request from before its entry lapsed, which has come back since")
    {
        auto const before = host.server("a");
        host.lapse("a");
        host.list("a");
        REQUIRE(host.server("a") != before);
        WHEN("it says so")
        {
            apply_server_notice(host.context, *before, leaving);
            THEN("it is sent nothing") { CHECK_FALSE(host.anyone_is_sent_work()); }
        }
        WHEN("it asks for a pause")
        {
            apply_server_notice(host.context, *before, asking_for(3s));
            THEN("it is sent nothing") { CHECK_FALSE(host.anyone_is_sent_work()); }
        }
    }
    GIVEN("a later start under its id")
    {
        host.hear("a", leaving);
        host.list("a", 2'000);
        THEN("that one serves") { CHECK(host.anyone_is_sent_work()); }
    }
    GIVEN("another process at its address that says so")
    {
        leaving.is_misdirected = true;
        host.hear("a", leaving);
        THEN("it is not its word") { CHECK(host.anyone_is_sent_work()); }
    }
}

SCENARIO("where all servers have asked for a pause, who asks is refused with the first time at which one may take it")
{
    AskedHost host;
    for (auto const* id : { "a", "b", "c" })
        host.list(id);
    host.hear("a", asking_for(6s));
    host.hear("b", asking_for(2s));
    host.hear("c", asking_for(4s));
    auto const decision = host.admission();
    CHECK(decision.verdict == AdmissionVerdict::BackingOff);
    CHECK(decision.retry_after >= 2s);
    CHECK(decision.retry_after <= 2500ms);
    CHECK(shortest_back_off(host.all(), host.now) == Duration(2s));
    WHEN("the first of them is over")
    {
        host.pass(2s);
        THEN("that one is chosen") { CHECK(host.admission().engine->server.id == EngineId("b")); }
    }
}

SCENARIO("in any series of answers, successes and entries that come and go, the latest end that was asked for holds")
{
    rc::prop("of one server at one start", [](std::vector<std::pair<u8, u8>> const& words) {
        AskedHost host;
        host.list("a");
        Instant until {};
        for (auto const& [what, which] : words) {
            auto const span = std::chrono::milliseconds(which * 20);
            switch (what % 5) {
            case 0:
                if (host.server("a")) {
                    host.hear("a", asking_for(span));
                    until = std::max(until, host.now + span);
                }
                break;
            case 1:
                if (host.server("a"))
                    note_success(*host.server("a"));
                break;
            case 2:
                host.lapse("a");
                break;
            case 3:
                host.list("a");
                break;
            default:
                host.pass(span);
            }
            if (host.server("a"))
                RC_ASSERT(host.server("a")->takes_work_at(host.now) == (host.now >= until));
        }
    });
}

SCENARIO("servers that name limits, ask for back-off and leave, in any series, are sent what they want and no more")
{
    rc::prop("by one host, which is the only one", [](std::vector<std::tuple<u8, u8, u8>> const& words) {
        AskedHost host;
        host.context.reach.learn({}, host.now);
        host.pass(10s);
        std::vector<std::string> const ids { "a", "b", "c" };
        for (auto const& id : ids)
            host.list(id);
        std::map<std::string, Instant> until;
        std::set<std::string> leaving;
        std::map<std::string, std::vector<Instant>> sent;
        for (auto const& [what, who, amount] : words) {
            auto const& id = ids[who % ids.size()];
            auto const span = std::chrono::milliseconds(amount * 20);
            AnswerHead head;
            switch (what % 8) {
            case 0:
                host.hear(id, asking_for(span));
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
                host.hear(id, head);
                if (head.is_leaving)
                    leaving.insert(id);
                break;
            case 4:
                host.pass(span);
                break;
            default: {
                auto const inputs = host.context.choice_inputs(0);
                auto const chosen = choose_for_call(host.all(), {}, inputs, host.context.random);
                bool const one_would = std::ranges::any_of(ids, [&](std::string const& candidate) {
                    return host.now >= until[candidate] && !leaving.contains(candidate)
                        && host.context.server_limits.may_send(*host.server(candidate), host.now);
                });
                RC_ASSERT((chosen != nullptr) == one_would);
                if (!chosen)
                    break;
                auto const& chosen_id = chosen->server.id.value();
                RC_ASSERT(host.now >= until[chosen_id]);
                RC_ASSERT(!leaving.contains(chosen_id));
                // A limit that has not been heard of for so long may be tried.
                constexpr Duration limit_surely_holds = 20s;
                if (chosen->limit && host.now - *chosen->limit_heard_at < limit_surely_holds) {
                    auto const lately = std::ranges::count_if(
                        sent[chosen_id], [&](Instant at) { return host.now - at < ServerLimits::rate_limit_window; });
                    RC_ASSERT(static_cast<u32>(lately) < ServerLimits::requests_in_window(*chosen->limit));
                }
                ServerLimits::record_sent(*chosen, host.now);
                sent[chosen_id].push_back(host.now);
            }
            }
        }
        // Once no time that was asked for is left, and no limit holds any more, all that have not left serve again.
        host.pass(1h);
        for (auto const& id : ids)
            RC_ASSERT(host.server(id)->takes_work_at(host.now) == !leaving.contains(id));
    });
}
