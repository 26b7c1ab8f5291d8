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

/// A table service that responds only when the test says so.
class ManualSource {
public:
    struct Call {
        u64 after { 0 };
        Duration wait { 0 };
        std::function<void(Result<ChangePage>)> respond;
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
    void respond_to_list(Result<RowPage> page)
    {
        REQUIRE_FALSE(this->listings.empty());
        auto on_page = std::move(this->listings.front());
        this->listings.pop_front();
        on_page(std::move(page));
    }
    void respond(Result<ChangePage> page)
    {
        REQUIRE_FALSE(this->calls.empty());
        auto call = std::move(this->calls.front());
        this->calls.pop_front();
        call.respond(std::move(page));
    }

    std::deque<std::function<void(Result<RowPage>)>> listings;
    std::vector<std::string> first_keys;
    std::deque<Call> calls;
};

static RowChange change(std::string const& key, u64 version) { return { { key, "value", version }, false }; }

SCENARIO("a table is followed")
{
    boost::asio::io_context loop;
    ManualSource source;
    std::vector<std::string> seen;
    std::vector<u64> fetched;
    int unavailable = 0;
    int available = 0;
    FollowerObserver observer;
    observer.listed
        = [&](std::vector<Row> const& rows, u64) { seen.push_back("listed " + std::to_string(rows.size())); };
    observer.changed = [&](std::vector<RowChange> const& changes, u64) {
        for (auto const& entry : changes)
            seen.push_back(entry.row.key);
    };
    std::vector<TableUpdate> updates;
    observer.fetched = [&](TableUpdate const& update) {
        fetched.push_back(update.previous_change);
        updates.push_back(update);
    };
    observer.unavailable = [&](Error const&) { ++unavailable; };
    observer.available = [&] { ++available; };
    bool may_retry = true;
    observer.may_retry = [&] { return may_retry; };
    FollowerTiming timing;
    timing.initial_retry_delay = timing.max_retry_delay = 1ms;
    ChangeFollower<ManualSource> follower(loop, source, "servers", observer, timing);
    follower.start();

    GIVEN("a table of two pages")
    {
        source.respond_to_list(RowPage { { { "a", "1", 3 } }, true, 10 });
        source.respond_to_list(RowPage { { { "b", "1", 7 } }, false, 12 });
        CHECK(source.first_keys == std::vector<std::string> { "", "a\x01" });
        CHECK(seen == std::vector<std::string> { "listed 2" });
        THEN("changes are requested since the first page, so that none between the pages is missed")
        {
            REQUIRE(source.calls.size() == 1);
            CHECK(source.calls.front().after == 10);
            // A removal after version 7 would have left no row.
            CHECK(follower.last_change() == 10);
        }
    }
    GIVEN("a table that was listed")
    {
        source.respond_to_list(RowPage { { { "a", "1", 3 } }, false, 10 });
        seen.clear();
        WHEN("a change arrives")
        {
            source.respond(ChangePage { { change("b", 12) }, 13 });
            CHECK(seen == std::vector<std::string> { "b" });
            THEN("it is reported as fetched, with the version up to which all changes were known")
            {
                CHECK(fetched == std::vector<u64> { 10 });
                CHECK(follower.last_change() == 12);
                CHECK(source.calls.front().after == 13);
            }
        }
        WHEN("history is lost")
        {
            source.respond(Error { ErrorKind::HistoryLost, "gone", {} });
            source.respond_to_list(RowPage { { { "c", "1", 20 } }, false, 21 });
            CHECK(seen == std::vector<std::string> { "listed 1" });
            THEN("the difference is reported as fetched, for the processes that know the former table")
            {
                REQUIRE(updates.size() == 1);
                auto const& update = updates.front();
                CHECK(update.is_difference);
                CHECK(update.previous_change == 10);
                CHECK(update.page.version == 21);
                REQUIRE(update.page.changes.size() == 2);
                CHECK(update.page.changes[0].row.key == "c");
                CHECK(update.page.changes[1].row.key == "a");
                CHECK(update.page.changes[1].removed);
                CHECK(follower.last_change() == 21);
            }
        }
        WHEN("history is lost, and the table has not changed")
        {
            source.respond(Error { ErrorKind::HistoryLost, "gone", {} });
            source.respond_to_list(RowPage { { { "a", "1", 3 } }, false, 21 });
            THEN("nothing is reported as fetched")
            {
                CHECK(updates.empty());
                CHECK(follower.last_change() == 10);
            }
        }
        WHEN("the platform fails and recovers")
        {
            CHECK(source.calls.front().wait == timing.wait);
            source.respond(platform_unavailable("busy"));
            CHECK(unavailable == 1);
            ::Test::run_until(loop, [&] { return !source.calls.empty(); });
            // Guards against a recovery that is noticed late: the platform holds a call without changes for `wait`.
            CHECK(source.calls.front().wait == 0s);
            source.respond(platform_unavailable("busy"));
            CHECK(unavailable == 1);
            ::Test::run_until(loop, [&] { return !source.calls.empty(); });
            CHECK(source.calls.front().wait == 0s);
            source.respond(ChangePage { {}, 15 });
            CHECK(available == 1);
            CHECK(source.calls.front().wait == timing.wait);
        }
        WHEN("the platform fails, and another follower detects its recovery")
        {
            may_retry = false;
            source.respond(platform_unavailable("busy"));
            bool time_has_passed = false;
            AK::Timer timer(loop, 20 * timing.max_retry_delay);
            timer.async_wait([&](boost::system::error_code) { time_has_passed = true; });
            ::Test::run_until(loop, [&] { return time_has_passed; });
            THEN("it makes no calls in the meantime")
            {
                CHECK(source.calls.empty());
                AND_THEN("it calls again after the recovery")
                {
                    may_retry = true;
                    ::Test::run_until(loop, [&] { return !source.calls.empty(); });
                    source.respond(ChangePage { {}, 15 });
                    CHECK(available == 1);
                }
            }
        }
        WHEN("a response is older than the version known at the time of the call")
        {
            source.respond(ChangePage { { change("old", 2) }, 5 });
            CHECK(seen.empty());
            CHECK(follower.version() == 10);
            AND_WHEN("the next response is older, too")
            {
                ::Test::run_until(loop, [&] { return !source.calls.empty(); });
                source.respond(ChangePage { {}, 6 });
                THEN("the platform counts as unavailable throughout, without a recovery at each response")
                {
                    CHECK(unavailable == 1);
                    CHECK(available == 0);
                    ::Test::run_until(loop, [&] { return !source.calls.empty(); });
                    source.respond(ChangePage { {}, 10 });
                    CHECK(available == 1);
                }
            }
        }
    }
    GIVEN("a platform that was empty when listed, and a follower that receives updates from other processes")
    {
        follower.set_following(Following::None);
        source.respond_to_list(RowPage { {}, false, 0 });
        seen.clear();
        THEN("updates are applied")
        {
            follower.receive_update({ 0, { { change("b", 1) }, 2 } });
            CHECK(seen == std::vector<std::string> { "b" });
        }
        THEN("changes that another host knows are fetched")
        {
            follower.catch_up(1);
            CHECK(source.calls.size() == 1);
        }
    }
    GIVEN("a follower that receives updates from other processes")
    {
        follower.set_following(Following::None);
        source.respond_to_list(RowPage { { { "a", "1", 3 } }, false, 10 });
        CHECK(source.calls.empty());
        seen.clear();
        WHEN("an update continues the known changes")
        {
            follower.receive_update({ 3, { { change("b", 14) }, 15 } });
            CHECK(seen == std::vector<std::string> { "b" });
            CHECK(fetched.empty());
            AND_WHEN("it arrives again from another reader")
            {
                follower.receive_update({ 3, { { change("b", 14) }, 14 } });
                CHECK(seen.size() == 1);
            }
            AND_WHEN("an update in between was missed")
            {
                follower.receive_update({ 18, { { change("d", 19) }, 19 } });
                REQUIRE(source.calls.size() == 1);
                CHECK(source.calls.front().after == 15);
                CHECK(source.calls.front().wait == 0s);
                source.respond(ChangePage { { change("c", 18), change("d", 19) }, 20 });
                CHECK(seen == std::vector<std::string> { "b", "c", "d" });
                THEN("no further call follows") { CHECK(source.calls.empty()); }
            }
        }
        WHEN("another host knows a later change")
        {
            follower.catch_up(12);
            REQUIRE(source.calls.size() == 1);
            AND_WHEN("an update arrives during a call to the platform")
            {
                follower.receive_update({ 3, { { change("b", 12) }, 16 } });
                source.respond(ChangePage { { change("b", 12) }, 14 });
                THEN("no change is applied twice, and the version does not decrease")
                {
                    CHECK(seen == std::vector<std::string> { "b" });
                    CHECK(follower.version() == 16);
                    CHECK(unavailable == 0);
                }
            }
        }
        WHEN("another process reports the difference to a later listing")
        {
            auto const removal = RowChange { { "a", "", 30 }, true };
            THEN("it is applied if that process knew the same table")
            {
                follower.receive_update({ 10, { { removal }, 30 }, true });
                CHECK(seen == std::vector<std::string> { "a" });
                CHECK(follower.last_change() == 30);
                CHECK(source.calls.empty());
            }
            THEN("the platform is asked if that process knew another table")
            {
                follower.receive_update({ 8, { { removal }, 30 }, true });
                CHECK(seen.empty());
                REQUIRE(source.calls.size() == 1);
                CHECK(source.calls.front().after == 10);
            }
        }
        WHEN("it is switched to prompt following")
        {
            follower.set_following(Following::Prompt);
            REQUIRE(source.calls.size() == 1);
            CHECK(source.calls.front().wait > 0s);
        }
    }
}

/// A follower that has listed its table, with its source.
struct ListedFollower {
    explicit ListedFollower(FollowerTiming timing, Following following)
        : follower(this->loop, this->source, "servers", this->make_observer(), timing)
    {
        this->follower.set_following(following);
        this->follower.start();
        this->source.respond_to_list(RowPage { { { "a", "1", 3 } }, false, 10 });
    }

    FollowerObserver make_observer()
    {
        FollowerObserver observer;
        observer.listed = [](std::vector<Row> const&, u64) {};
        observer.changed = [this](std::vector<RowChange> const& changes, u64) {
            for (auto const& entry : changes)
                this->seen.push_back(entry.row.key);
        };
        observer.missed = [this](u64 known_version) { this->missed.push_back(known_version); };
        observer.unavailable = [](Error const&) {};
        observer.available = [] {};
        return observer;
    }

    /// Runs the loop for `duration`, which must exceed the delays of the timing.
    void pass(Duration duration)
    {
        bool time_has_passed = false;
        AK::Timer timer(this->loop, duration);
        timer.async_wait([&](boost::system::error_code) { time_has_passed = true; });
        ::Test::run_until(this->loop, [&] { return time_has_passed; });
    }

    boost::asio::io_context loop;
    ManualSource source;
    std::vector<std::string> seen;
    std::vector<u64> missed;
    ChangeFollower<ManualSource> follower;
};

SCENARIO("a follower limits its calls to the platform")
{
    FollowerTiming timing;
    timing.delay_after_changes = 5ms;
    timing.standby_period = 5ms;
    GIVEN("a follower that follows promptly")
    {
        ListedFollower prompt(timing, Following::Prompt);
        REQUIRE(prompt.source.calls.size() == 1);
        CHECK(prompt.source.calls.front().wait == timing.wait);
        WHEN("a change arrives")
        {
            prompt.source.respond(ChangePage { { change("b", 12) }, 12 });
            THEN("the next call is delayed, to read further changes of the same group")
            {
                CHECK(prompt.source.calls.empty());
                ::Test::run_until(prompt.loop, [&] { return !prompt.source.calls.empty(); });
                CHECK(prompt.source.calls.front().after == 12);
                CHECK(prompt.source.calls.front().wait == timing.wait);
            }
            AND_WHEN("it no longer has to follow")
            {
                prompt.follower.set_following(Following::None);
                prompt.pass(10 * timing.delay_after_changes);
                CHECK(prompt.source.calls.empty());
            }
        }
        WHEN("nothing has changed")
        {
            prompt.source.respond(ChangePage { {}, 12 });
            THEN("the next call follows at once") { CHECK(prompt.source.calls.size() == 1); }
        }
    }
    GIVEN("a standby follower")
    {
        ListedFollower standby(timing, Following::Standby);
        CHECK(standby.source.calls.empty());
        ::Test::run_until(standby.loop, [&] { return !standby.source.calls.empty(); });
        THEN("it makes periodic calls, which the platform does not hold")
        {
            CHECK(standby.source.calls.front().wait == 0s);
            standby.source.respond(ChangePage { { change("b", 12) }, 12 });
            CHECK(standby.seen == std::vector<std::string> { "b" });
            CHECK(standby.source.calls.empty());
            ::Test::run_until(standby.loop, [&] { return !standby.source.calls.empty(); });
        }
        WHEN("the prompt follower has failed")
        {
            standby.source.respond(ChangePage { {}, 12 });
            standby.follower.set_following(Following::Prompt);
            THEN("it follows promptly at once") { CHECK(standby.source.calls.front().wait == timing.wait); }
        }
    }
}

SCENARIO("changes that others know are awaited from them for a while")
{
    FollowerTiming timing;
    timing.peer_update_timeout = 5ms;
    ListedFollower waiting(timing, Following::None);
    WHEN("an update arrives before its predecessor")
    {
        waiting.follower.receive_update({ 12, { { change("c", 14) }, 14 } });
        CHECK(waiting.seen.empty());
        AND_WHEN("the predecessor arrives")
        {
            waiting.follower.receive_update({ 3, { { change("b", 12) }, 12 } });
            THEN("both are applied in order, without a call to the platform")
            {
                CHECK(waiting.seen == std::vector<std::string> { "b", "c" });
                waiting.pass(10 * timing.peer_update_timeout);
                CHECK(waiting.source.calls.empty());
            }
        }
        AND_WHEN("the predecessor is lost")
        {
            ::Test::run_until(waiting.loop, [&] { return !waiting.source.calls.empty(); });
            THEN("one call fetches both from the platform")
            {
                CHECK(waiting.source.calls.front().after == 10);
                waiting.source.respond(ChangePage { { change("b", 12), change("c", 14) }, 14 });
                CHECK(waiting.seen == std::vector<std::string> { "b", "c" });
                waiting.pass(10 * timing.peer_update_timeout);
                CHECK(waiting.source.calls.empty());
            }
        }
    }
    // Guards against a host that ignores what others know while the platform is out of its own reach.
    WHEN("another host knows a later change while a call of this host has no answer")
    {
        waiting.follower.set_following(Following::Prompt);
        REQUIRE(waiting.source.calls.size() == 1);
        waiting.follower.catch_up(12);
        ::Test::run_until(waiting.loop, [&] { return !waiting.missed.empty(); });
        THEN("the change is requested from that host")
        {
            CHECK(waiting.missed == std::vector<u64> { 10 });
            waiting.follower.receive_update({ 3, { { change("b", 12) }, 12 } });
            CHECK(waiting.seen == std::vector<std::string> { "b" });
            CHECK(waiting.source.calls.size() == 1);
        }
    }
    WHEN("another host knows a later change")
    {
        waiting.follower.catch_up(12);
        CHECK(waiting.source.calls.empty());
        AND_WHEN("its update arrives")
        {
            waiting.follower.receive_update({ 3, { { change("b", 12) }, 12 } });
            waiting.pass(10 * timing.peer_update_timeout);
            CHECK(waiting.source.calls.empty());
        }
        AND_WHEN("no update arrives")
        {
            ::Test::run_until(waiting.loop, [&] { return !waiting.source.calls.empty(); });
            CHECK(waiting.source.calls.front().wait == 0s);
        }
    }
}
