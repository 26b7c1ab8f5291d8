/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <AK/Timer.h>
#include <LibPlatform/ChangeFollower.h>
#include <Tests/Support/LoopWait.h>
#include <deque>

using namespace Platform;

/// A table service whose answers a test gives by hand.
class HandSource {
public:
    struct Call {
        u64 after { 0 };
        Duration wait { 0 };
        std::function<void(Result<ChangePage>)> answer;
    };

    void list(std::string const&, std::string const& first_key, Duration, std::function<void(Result<RowPage>)> on_page)
    {
        this->first_keys.push_back(first_key);
        this->listings.push_back(std::move(on_page));
    }
    void changes(
        std::string const&, u64 after, Duration wait, Duration, std::function<void(Result<ChangePage>)> on_changes)
    {
        this->calls.push_back({ after, wait, std::move(on_changes) });
    }
    void answer_list(Result<RowPage> page)
    {
        REQUIRE_FALSE(this->listings.empty());
        auto on_page = std::move(this->listings.front());
        this->listings.pop_front();
        on_page(std::move(page));
    }
    void answer(Result<ChangePage> page)
    {
        REQUIRE_FALSE(this->calls.empty());
        auto call = std::move(this->calls.front());
        this->calls.pop_front();
        call.answer(std::move(page));
    }

    std::deque<std::function<void(Result<RowPage>)>> listings;
    std::vector<std::string> first_keys;
    std::deque<Call> calls;
};

static RowChange change(std::string const& key, u64 version) { return { { key, "value", version }, false }; }

SCENARIO("a table is followed")
{
    boost::asio::io_context loop;
    HandSource source;
    std::vector<std::string> seen;
    std::vector<u64> fetched;
    int unavailable = 0;
    int available = 0;
    FollowerObserver observer;
    observer.listed
        = [&](std::vector<Row> const& rows, u64) { seen.push_back("listed " + std::to_string(rows.size())); };
    observer.changed = [&](std::vector<RowChange> const& changes, u64) {
        for (auto const& one : changes)
            seen.push_back(one.row.key);
    };
    observer.fetched = [&](TableUpdate const& news) { fetched.push_back(news.previous_change); };
    observer.unavailable = [&](Error const&) { ++unavailable; };
    observer.available = [&] { ++available; };
    bool may_retry = true;
    observer.may_retry = [&] { return may_retry; };
    FollowerTiming timing;
    timing.initial_retry_delay = timing.max_retry_delay = 1ms;
    ChangeFollower<HandSource> follower(loop, source, "servers", observer, timing);
    follower.start();

    GIVEN("a table of two pages")
    {
        source.answer_list(RowPage { { { "a", "1", 3 } }, true, 10 });
        source.answer_list(RowPage { { { "b", "1", 7 } }, false, 12 });
        CHECK(source.first_keys == std::vector<std::string> { "", "a\x01" });
        CHECK(seen == std::vector<std::string> { "listed 2" });
        THEN("changes are asked for since the first page, so that none between the pages is missed")
        {
            REQUIRE(source.calls.size() == 1);
            CHECK(source.calls.front().after == 10);
            CHECK(follower.last_change() == 7);
        }
    }
    GIVEN("a table that was read")
    {
        source.answer_list(RowPage { { { "a", "1", 3 } }, false, 10 });
        seen.clear();
        WHEN("a change comes")
        {
            source.answer(ChangePage { { change("b", 12) }, 13 });
            CHECK(seen == std::vector<std::string> { "b" });
            THEN("it is told on, with the change that came before it")
            {
                CHECK(fetched == std::vector<u64> { 3 });
                CHECK(follower.last_change() == 12);
                CHECK(source.calls.front().after == 13);
            }
        }
        WHEN("history is lost")
        {
            source.answer(Error { ErrorKind::HistoryLost, "gone", {} });
            source.answer_list(RowPage { { { "c", "1", 20 } }, false, 21 });
            CHECK(seen == std::vector<std::string> { "listed 1" });
        }
        WHEN("the platform fails and comes back")
        {
            source.answer(platform_unavailable("busy"));
            CHECK(unavailable == 1);
            ::Test::run_until(loop, [&] { return !source.calls.empty(); });
            source.answer(platform_unavailable("busy"));
            CHECK(unavailable == 1);
            ::Test::run_until(loop, [&] { return !source.calls.empty(); });
            source.answer(ChangePage { {}, 15 });
            CHECK(available == 1);
        }
        WHEN("the platform fails, and another follower finds out when it is back")
        {
            may_retry = false;
            source.answer(platform_unavailable("busy"));
            bool time_has_passed = false;
            AK::Timer timer(loop, 20 * timing.max_retry_delay);
            timer.async_wait([&](boost::system::error_code) { time_has_passed = true; });
            ::Test::run_until(loop, [&] { return time_has_passed; });
            THEN("it asks nothing meanwhile")
            {
                CHECK(source.calls.empty());
                AND_THEN("it asks again once the platform is back")
                {
                    may_retry = true;
                    ::Test::run_until(loop, [&] { return !source.calls.empty(); });
                    source.answer(ChangePage { {}, 15 });
                    CHECK(available == 1);
                }
            }
        }
        WHEN("an answer is older than what was known when it was asked for")
        {
            source.answer(ChangePage { { change("old", 2) }, 5 });
            CHECK(seen.empty());
            CHECK(follower.version() == 10);
            AND_WHEN("the next one is so too")
            {
                ::Test::run_until(loop, [&] { return !source.calls.empty(); });
                source.answer(ChangePage { {}, 6 });
                THEN("the platform is lost for as long, and not found again each time")
                {
                    CHECK(unavailable == 1);
                    CHECK(available == 0);
                    ::Test::run_until(loop, [&] { return !source.calls.empty(); });
                    source.answer(ChangePage { {}, 10 });
                    CHECK(available == 1);
                }
            }
        }
    }
    GIVEN("a platform that was empty when it was read, and a follower that hears changes from elsewhere")
    {
        follower.set_following(Following::None);
        source.answer_list(RowPage { {}, false, 0 });
        seen.clear();
        THEN("news are taken")
        {
            follower.receive_update({ 0, { { change("b", 1) }, 2 } });
            CHECK(seen == std::vector<std::string> { "b" });
        }
        THEN("what another host knows is asked for")
        {
            follower.catch_up(1);
            CHECK(source.calls.size() == 1);
        }
    }
    GIVEN("a follower that hears changes from elsewhere")
    {
        follower.set_following(Following::None);
        source.answer_list(RowPage { { { "a", "1", 3 } }, false, 10 });
        CHECK(source.calls.empty());
        seen.clear();
        WHEN("news follow what is known")
        {
            follower.receive_update({ 3, { { change("b", 14) }, 15 } });
            CHECK(seen == std::vector<std::string> { "b" });
            CHECK(fetched.empty());
            AND_WHEN("they come again from another reader")
            {
                follower.receive_update({ 3, { { change("b", 14) }, 14 } });
                CHECK(seen.size() == 1);
            }
            AND_WHEN("news between were missed")
            {
                follower.receive_update({ 18, { { change("d", 19) }, 19 } });
                REQUIRE(source.calls.size() == 1);
                CHECK(source.calls.front().after == 15);
                CHECK(source.calls.front().wait == 0s);
                source.answer(ChangePage { { change("c", 18), change("d", 19) }, 20 });
                CHECK(seen == std::vector<std::string> { "b", "c", "d" });
                THEN("the platform is left alone again") { CHECK(source.calls.empty()); }
            }
        }
        WHEN("another host knows a later change")
        {
            follower.catch_up(12);
            REQUIRE(source.calls.size() == 1);
            AND_WHEN("news come while the platform is asked")
            {
                follower.receive_update({ 3, { { change("b", 12) }, 16 } });
                source.answer(ChangePage { { change("b", 12) }, 14 });
                THEN("nothing is taken twice, and nothing goes back")
                {
                    CHECK(seen == std::vector<std::string> { "b" });
                    CHECK(follower.version() == 16);
                    CHECK(unavailable == 0);
                }
            }
        }
        WHEN("it is to follow by itself")
        {
            follower.set_following(Following::Prompt);
            REQUIRE(source.calls.size() == 1);
            CHECK(source.calls.front().wait > 0s);
        }
    }
}

/// A follower that has read its table, with its source.
struct ReadFollower {
    explicit ReadFollower(FollowerTiming timing, Following following)
        : follower(this->loop, this->source, "servers", this->make_observer(), timing)
    {
        this->follower.set_following(following);
        this->follower.start();
        this->source.answer_list(RowPage { { { "a", "1", 3 } }, false, 10 });
    }

    FollowerObserver make_observer()
    {
        FollowerObserver observer;
        observer.listed = [](std::vector<Row> const&, u64) {};
        observer.changed = [this](std::vector<RowChange> const& changes, u64) {
            for (auto const& one : changes)
                this->seen.push_back(one.row.key);
        };
        observer.unavailable = [](Error const&) {};
        observer.available = [] {};
        return observer;
    }

    /// Lets the loop run for this long, which is long after all of the timing's spans.
    void pass(Duration duration)
    {
        bool time_has_passed = false;
        AK::Timer timer(this->loop, duration);
        timer.async_wait([&](boost::system::error_code) { time_has_passed = true; });
        ::Test::run_until(this->loop, [&] { return time_has_passed; });
    }

    boost::asio::io_context loop;
    HandSource source;
    std::vector<std::string> seen;
    ChangeFollower<HandSource> follower;
};

SCENARIO("each call to the platform has its price, so few ask it")
{
    FollowerTiming timing;
    timing.delay_after_changes = 5ms;
    timing.standby_period = 5ms;
    GIVEN("a follower that follows promptly")
    {
        ReadFollower prompt(timing, Following::Prompt);
        REQUIRE(prompt.source.calls.size() == 1);
        CHECK(prompt.source.calls.front().wait == timing.wait);
        WHEN("a change comes")
        {
            prompt.source.answer(ChangePage { { change("b", 12) }, 12 });
            THEN("those that come with it are waited for before the next call")
            {
                CHECK(prompt.source.calls.empty());
                ::Test::run_until(prompt.loop, [&] { return !prompt.source.calls.empty(); });
                CHECK(prompt.source.calls.front().after == 12);
                CHECK(prompt.source.calls.front().wait == timing.wait);
            }
            AND_WHEN("it need not follow any more")
            {
                prompt.follower.set_following(Following::None);
                prompt.pass(10 * timing.delay_after_changes);
                CHECK(prompt.source.calls.empty());
            }
        }
        WHEN("nothing has changed")
        {
            prompt.source.answer(ChangePage { {}, 12 });
            THEN("it asks on at once") { CHECK(prompt.source.calls.size() == 1); }
        }
    }
    GIVEN("a follower that stands by")
    {
        ReadFollower standby(timing, Following::Standby);
        CHECK(standby.source.calls.empty());
        ::Test::run_until(standby.loop, [&] { return !standby.source.calls.empty(); });
        THEN("its calls are not held, and come now and then")
        {
            CHECK(standby.source.calls.front().wait == 0s);
            standby.source.answer(ChangePage { { change("b", 12) }, 12 });
            CHECK(standby.seen == std::vector<std::string> { "b" });
            CHECK(standby.source.calls.empty());
            ::Test::run_until(standby.loop, [&] { return !standby.source.calls.empty(); });
        }
        WHEN("who followed promptly has failed")
        {
            standby.source.answer(ChangePage { {}, 12 });
            standby.follower.set_following(Following::Prompt);
            THEN("it follows at once") { CHECK(standby.source.calls.front().wait == timing.wait); }
        }
    }
}

SCENARIO("changes that others know are awaited from them for a while")
{
    FollowerTiming timing;
    timing.peer_update_timeout = 5ms;
    ReadFollower patient(timing, Following::None);
    WHEN("news overtake those before them")
    {
        patient.follower.receive_update({ 12, { { change("c", 14) }, 14 } });
        CHECK(patient.seen.empty());
        AND_WHEN("those come")
        {
            patient.follower.receive_update({ 3, { { change("b", 12) }, 12 } });
            THEN("both are taken in their order, and the platform is left alone")
            {
                CHECK(patient.seen == std::vector<std::string> { "b", "c" });
                patient.pass(10 * timing.peer_update_timeout);
                CHECK(patient.source.calls.empty());
            }
        }
        AND_WHEN("those are lost")
        {
            ::Test::run_until(patient.loop, [&] { return !patient.source.calls.empty(); });
            THEN("the platform is asked for all of them, once")
            {
                CHECK(patient.source.calls.front().after == 10);
                patient.source.answer(ChangePage { { change("b", 12), change("c", 14) }, 14 });
                CHECK(patient.seen == std::vector<std::string> { "b", "c" });
                patient.pass(10 * timing.peer_update_timeout);
                CHECK(patient.source.calls.empty());
            }
        }
    }
    WHEN("another host knows a later change")
    {
        patient.follower.catch_up(12);
        CHECK(patient.source.calls.empty());
        AND_WHEN("news of it come")
        {
            patient.follower.receive_update({ 3, { { change("b", 12) }, 12 } });
            patient.pass(10 * timing.peer_update_timeout);
            CHECK(patient.source.calls.empty());
        }
        AND_WHEN("none come")
        {
            ::Test::run_until(patient.loop, [&] { return !patient.source.calls.empty(); });
            CHECK(patient.source.calls.front().wait == 0s);
        }
    }
}
