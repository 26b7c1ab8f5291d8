/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <Tests/Platform/HostFixture.h>
#include <csignal>

using StandIns::PlatformRunner;
using Test::HostFixture;

namespace {

/// A generation waits for an eighth of the goal of its route.
constexpr Duration patient_goal = 40s;
constexpr Duration brief_goal = 2400ms;

/// One engine, all slots of which are taken by generations of two routes with different priorities.
class FullEngine : public HostFixture {
public:
    FullEngine()
        : engine(this->add_runner("engine-1", "models"))
    {
        this->put_configuration(7,
            ',' + route("urgent", 0, patient_goal) + ',' + route("patient", 5, patient_goal) + ','
                + route("brief", 5, brief_goal));
        this->start_host();
        this->until([this] { return this->is_ready(); });
        this->running.push_back(this->call(generation_of("urgent", "fill-0")));
        for (u32 i = 1; i < PlatformRunner::slots; ++i)
            this->running.push_back(this->call(generation_of("patient", "fill-" + std::to_string(i))));
        this->until([this] { return this->engine.running_count() == PlatformRunner::slots; });
    }

    /// Small enough that only the slots of the engine are scarce.
    static Http::Request generation_of(std::string const& route, std::string const& attempt)
    {
        auto made = generation(attempt);
        made.target('/' + route + "/2");
        made.set("Lilactiller-Deadline-Ms", "60000");
        made.set("Lilactiller-Token-Usage", "20,8");
        made.set("Lilactiller-Prompt-Prefix", "5c1e07a2:10,e4402b7d:10");
        return made;
    }

    std::shared_ptr<Test::Call> waiting_call(std::string const& route, std::string const& attempt)
    {
        auto call = this->call(generation_of(route, attempt));
        this->until([&] { return this->log_has("generation_waits subject=" + attempt + ' '); });
        CHECK_FALSE(call->has_begun());
        return call;
    }
    /// Frees one slot of the engine.
    void free_slot()
    {
        auto const expected = this->engine.dropped_count() + 1;
        this->running.back()->connection->cancel();
        this->running.pop_back();
        this->until([&] { return this->engine.dropped_count() == expected; });
    }
    [[nodiscard]] bool was_sent(std::string const& attempt) const
    {
        return std::ranges::any_of(
            this->engine.received(), [&](auto const& received) { return received.attempt == attempt; });
    }
    /// The milliseconds in the only event of this kind about the attempt.
    i64 logged_milliseconds(std::string const& event, std::string const& attempt, std::string const& field)
    {
        this->log->flush();
        auto const begin = this->log_text.find(event + " subject=" + attempt + ' ');
        REQUIRE(begin != std::string::npos);
        auto const line = this->log_text.substr(begin, this->log_text.find('\n', begin) - begin);
        auto const value = line.find(' ' + field + '=');
        REQUIRE(value != std::string::npos);
        return std::stoll(line.substr(value + field.size() + 2));
    }
    static bool is_refused(Test::Call const& call)
    {
        return call.is_over() && call.status == 503 && call.headers.contains("Retry-After");
    }

    PlatformRunner& engine;
    std::vector<std::shared_ptr<Test::Call>> running;

private:
    static std::string route(std::string const& name, int priority, Duration goal)
    {
        return R"({"name":")" + name + R"(","host":"tolls.example","path_prefix":"/)" + name
            + R"(/","kind":"streaming","timeout_ms":60000,"goal_ms":)" + std::to_string(AK::to_milliseconds(goal))
            + R"(,"priority":)" + std::to_string(priority) + R"(,"service":"models","max_attempts":1,"public":false})";
    }
};

}

SCENARIO("a generation that finds the engine full waits until the engine has capacity")
{
    FullEngine fixture;
    auto call = fixture.waiting_call("patient", "p1");
    CHECK_FALSE(fixture.was_sent("p1"));

    WHEN("all generations of the engine end")
    {
        fixture.engine.finish_all();
        fixture.until([&] { return fixture.engine.is_running("p1"); });
        THEN("it is placed, runs once, and its caller gets its events")
        {
            CHECK(fixture.log_has("generation_waited subject=p1 how=placed"));
            fixture.engine.make_events();
            fixture.engine.finish_all();
            fixture.until([&] { return call->is_over(); });
            CHECK(call->status == 200);
            CHECK(call->end == Http::ExchangeEnd::Complete);
            CHECK(call->event_count() == 1);
            CHECK(fixture.engine.runs().at("p1") == 1);
        }
    }
    WHEN("a more urgent generation comes later, and one slot becomes free")
    {
        auto urgent = fixture.waiting_call("urgent", "u1");
        fixture.free_slot();
        fixture.until([&] { return fixture.engine.is_running("u1"); });
        THEN("the more urgent one gets it, and the other one still waits")
        {
            CHECK_FALSE(fixture.was_sent("p1"));
            CHECK_FALSE(call->has_begun());
            AND_WHEN("the engine has capacity for it as well")
            {
                fixture.engine.finish_all();
                THEN("it is placed")
                {
                    fixture.until([&] { return fixture.engine.is_running("p1"); });
                }
            }
        }
    }
    WHEN("its caller disconnects")
    {
        call->connection->cancel();
        fixture.until([&] { return fixture.log_has("generation_waited subject=p1 how=over"); });
        THEN("it has left the list and is never dispatched")
        {
            auto next = fixture.waiting_call("patient", "p2");
            CHECK(fixture.logged_milliseconds("generation_waits", "p2", "waiting") == 1);
            fixture.engine.finish_all();
            fixture.until([&] { return fixture.engine.is_running("p2"); });
            CHECK_FALSE(fixture.was_sent("p1"));
        }
    }
    WHEN("all engines of the service disappear")
    {
        fixture.remove_from_list(fixture.engine);
        fixture.until([&] { return call->is_over(); });
        THEN("it is refused at once, not at the end of its wait")
        {
            CHECK(FullEngine::is_refused(*call));
            CHECK(fixture.log_has("generation_refused subject=p1 ground=no_engine"));
            CHECK(fixture.logged_milliseconds("generation_waited", "p1", "waited_ms")
                < fixture.logged_milliseconds("generation_waits", "p1", "longest_ms"));
            CHECK_FALSE(fixture.was_sent("p1"));
        }
    }
}

SCENARIO("a generation for which no engine has capacity in time is refused, and was not run")
{
    FullEngine fixture;
    auto call = fixture.waiting_call("brief", "b1");
    fixture.until([&] { return call->is_over(); });
    CHECK(FullEngine::is_refused(*call));
    CHECK(fixture.log_has("generation_waited subject=b1 how=refused"));
    auto const longest = fixture.logged_milliseconds("generation_waits", "b1", "longest_ms");
    CHECK(longest <= AK::to_milliseconds(brief_goal) / 8);
    auto const waited = fixture.logged_milliseconds("generation_waited", "b1", "waited_ms");
    CHECK(waited >= longest);
    CHECK(waited < AK::to_milliseconds(brief_goal));
    CHECK_FALSE(fixture.was_sent("b1"));

    THEN("it is not dispatched either when the engine has capacity later")
    {
        fixture.engine.finish_all();
        auto next = fixture.call(FullEngine::generation_of("patient", "p2"));
        fixture.until([&] { return fixture.engine.is_running("p2"); });
        CHECK_FALSE(fixture.was_sent("b1"));
    }
}

SCENARIO("a host is stopped while a generation waits")
{
    FullEngine fixture;

    WHEN("no engine gets capacity")
    {
        auto call = fixture.waiting_call("brief", "b1");
        ::raise(SIGTERM);
        fixture.until([&] { return fixture.log_has("E1003 process_leaving"); });
        fixture.until([&] { return call->is_over(); });
        THEN("its caller gets an answer before the process ends")
        {
            CHECK(FullEngine::is_refused(*call));
            CHECK_FALSE(fixture.log_has("E1004 process_stopped"));
            CHECK_FALSE(fixture.was_sent("b1"));
        }
    }
    WHEN("the engine has capacity in time")
    {
        auto call = fixture.waiting_call("patient", "p1");
        ::raise(SIGTERM);
        fixture.until([&] { return fixture.log_has("E1003 process_leaving"); });
        fixture.engine.finish_all();
        THEN("its caller gets an answer before the process ends")
        {
            fixture.until([&] { return call->is_over() || fixture.engine.is_running("p1"); });
            fixture.engine.make_events();
            fixture.engine.finish_all();
            fixture.until([&] { return call->is_over(); });
            bool const is_complete = call->status == 200 && call->end == Http::ExchangeEnd::Complete;
            CHECK((is_complete || FullEngine::is_refused(*call)));
            CHECK_FALSE(fixture.log_has("E1004 process_stopped"));
        }
    }
}
