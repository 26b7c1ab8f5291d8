/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <AK/Timer.h>
#include <LibPlatform/ChangeFollower.h>
#include <Tests/Support/LoopWait.h>
#include <boost/asio/post.hpp>
#include <deque>
#include <random>

using namespace Platform;

namespace {

/// The platform's table service. Each call is answered in a later turn of the event loop.
class ModelStore {
public:
    explicit ModelStore(boost::asio::io_context& loop)
        : loop(loop)
    {
    }

    void put(std::string const& key) { this->add({ { key, "value", ++this->version }, false }); }
    void remove(std::string const& key)
    {
        if (this->rows.contains(key))
            this->add({ { key, "", ++this->version }, true });
    }
    /// Other tables change as well, and share the counter.
    void change_another_table() { ++this->version; }
    void discard_history()
    {
        this->history.clear();
        this->oldest_followed = this->version;
    }
    void respond_to_calls(bool enabled) { this->responds = enabled; }

    void list(std::string const&, std::string const&, Duration, std::function<void(Result<RowPage>)> on_page)
    {
        this->respond([this, on_page] {
            if (!this->responds)
                return on_page(platform_unavailable("silent"));
            RowPage page;
            for (auto const& [key, row] : this->rows)
                page.rows.push_back(row);
            page.version = this->version;
            on_page(page);
        });
    }
    void changes(std::string const&, u64 after, Duration, Duration, std::function<void(Result<ChangePage>)> on_changes)
    {
        this->respond([this, after, on_changes] {
            if (!this->responds)
                return on_changes(platform_unavailable("silent"));
            if (after < this->oldest_followed)
                return on_changes(Error { ErrorKind::HistoryLost, "gone", {} });
            ChangePage page;
            for (auto const& change : this->history) {
                if (change.row.version > after)
                    page.changes.push_back(change);
            }
            page.version = this->version;
            on_changes(page);
        });
    }

    std::map<std::string, Row> rows;

private:
    void add(RowChange const& change)
    {
        if (change.removed)
            this->rows.erase(change.row.key);
        else
            this->rows[change.row.key] = change.row;
        this->history.push_back(change);
    }

    void respond(std::function<void()> response)
    {
        auto timer = std::make_shared<AK::Timer>(this->loop, 200us);
        timer->async_wait([timer, response = std::move(response)](boost::system::error_code) { response(); });
    }

    boost::asio::io_context& loop;
    std::deque<RowChange> history;
    u64 version { 1 };
    u64 oldest_followed { 0 };
    bool responds { true };
};

/// Processes that follow one table. The first one reads it and forwards what it reads; updates may be lost, doubled or
/// delayed. Each process reports its last change to the others from time to time.
class Processes {
public:
    Processes(ModelStore& store, boost::asio::io_context& loop, u64 seed)
        : store(store)
        , loop(loop)
        , random(seed)
    {
        for (auto& process : this->processes)
            this->replace(process);
    }

    /// Terminates a process and starts another one, which loads the table from a running one or lists it.
    void replace(size_t number) { this->replace(this->processes.at(number)); }

    /// The reader ends, and another process reads the table from now on.
    void replace_reader_by(size_t number)
    {
        this->replace(0);
        this->processes.at(0)->set_following(Following::None);
        this->processes.at(number)->set_following(Following::Standby);
    }

    void deliver_some()
    {
        std::shuffle(this->in_transit.begin(), this->in_transit.end(), this->random);
        for (auto const& [receiver, update] : std::exchange(this->in_transit, {})) {
            auto const fate = this->random() % 8;
            if (fate == 0 && this->loses_updates)
                continue;
            if (fate == 1)
                this->in_transit.emplace_back(receiver, update);
            if (this->processes.at(receiver))
                this->processes.at(receiver)->receive_update(update);
        }
    }

    void report_progress()
    {
        for (auto const& from : this->processes) {
            for (auto const& to : this->processes) {
                if (from->last_change() > to->version())
                    to->catch_up(from->last_change());
            }
        }
    }

    void run_for(Duration duration)
    {
        bool is_over = false;
        AK::Timer timer(this->loop, duration);
        timer.async_wait([&](boost::system::error_code) { is_over = true; });
        ::Test::run_until(this->loop, [&] { return is_over; });
    }

    void come_to_rest()
    {
        this->loses_updates = false;
        for (int round = 0; round < 12; ++round) {
            this->deliver_some();
            this->report_progress();
            this->run_for(2ms);
        }
    }

    [[nodiscard]] bool all_know_the_table() const
    {
        return std::ranges::all_of(this->processes, [this](auto const& process) {
            auto const snapshot = process->snapshot();
            return snapshot && versions_of(snapshot->rows) == versions_of(this->store_rows());
        });
    }

    static constexpr size_t count = 4;

private:
    using Follower = ChangeFollower<ModelStore>;

    static std::map<std::string, u64> versions_of(std::vector<Row> const& rows)
    {
        std::map<std::string, u64> versions;
        for (auto const& row : rows)
            versions[row.key] = row.version;
        return versions;
    }
    [[nodiscard]] std::vector<Row> store_rows() const
    {
        std::vector<Row> rows;
        for (auto const& [key, row] : this->store.rows)
            rows.push_back(row);
        return rows;
    }

    void replace(std::unique_ptr<Follower>& process)
    {
        auto const number = static_cast<size_t>(&process - this->processes.data());
        FollowerObserver observer;
        observer.listed = [](std::vector<Row> const&, u64) {};
        observer.changed = [](std::vector<RowChange> const&, u64) {};
        observer.fetched = [this, number](TableUpdate const& update) {
            for (size_t receiver = 0; receiver < count; ++receiver) {
                if (receiver != number)
                    this->in_transit.emplace_back(receiver, update);
            }
        };
        observer.unavailable = [](Error const&) {};
        observer.available = [] {};
        FollowerTiming timing;
        timing.initial_retry_delay = timing.max_retry_delay = 500us;
        timing.delay_after_changes = 500us;
        timing.standby_period = 1ms;
        timing.peer_update_timeout = 1ms;
        if (process) {
            // A call that is in progress ends before its process is destroyed.
            process->set_following(Following::None);
            this->former.push_back(std::move(process));
        }
        process = std::make_unique<Follower>(this->loop, this->store, "servers", observer, timing);
        process->set_following(number == 0 ? Following::Standby : Following::None);
        auto const& other = this->processes.at((number + 1) % count);
        auto snapshot = other ? other->snapshot() : std::nullopt;
        if (snapshot && this->random() % 2 == 0)
            process->load(std::move(*snapshot));
        else
            process->start();
    }

    ModelStore& store;
    boost::asio::io_context& loop;
    std::mt19937_64 random;
    std::array<std::unique_ptr<Follower>, count> processes;
    std::vector<std::unique_ptr<Follower>> former;
    std::vector<std::pair<size_t, TableUpdate>> in_transit;
    bool loses_updates { true };
};

}

// Guards against removals that some processes never learn of. Cause: a process derived the version up to which it knew
// all changes from the rows that were there, and a removal leaves no row.
SCENARIO("processes that forward changes to each other all know the platform's table in the end")
{
    u64 const seed = GENERATE(range(1, 61));
    INFO("seed " << seed);
    boost::asio::io_context loop;
    ModelStore store(loop);
    for (char key = 'a'; key <= 'f'; ++key)
        store.put({ key });
    Processes processes(store, loop, seed);
    processes.come_to_rest();
    REQUIRE(processes.all_know_the_table());

    std::mt19937_64 random(seed);
    for (int step = 0; step < 30; ++step) {
        std::string const key(1, static_cast<char>('a' + random() % 8));
        switch (random() % 12) {
        case 0:
        case 1:
        case 2:
            store.put(key);
            break;
        case 3:
        case 4:
        case 5:
            store.remove(key);
            break;
        case 6:
            store.discard_history();
            break;
        case 7:
            processes.replace(random() % Processes::count);
            break;
        case 8:
            store.change_another_table();
            break;
        case 9:
            processes.report_progress();
            break;
        case 10:
            store.respond_to_calls(random() % 2 == 0);
            break;
        default:
            processes.deliver_some();
            processes.run_for(1ms);
        }
    }
    store.respond_to_calls(true);
    processes.come_to_rest();
    CHECK(processes.all_know_the_table());
}

// The list of servers has not changed for longer than the platform keeps its history. Its reader is killed, and a
// server leaves before another process reads the list.
SCENARIO("a removal between the end of a reader and the listing of the next one is told to all processes")
{
    auto const seed = GENERATE(range(1, 9));
    boost::asio::io_context loop;
    ModelStore store(loop);
    store.put("a");
    store.put("b");
    Processes processes(store, loop, static_cast<u64>(seed));
    processes.come_to_rest();
    for (int i = 0; i < 10; ++i)
        store.change_another_table();
    store.discard_history();
    store.remove("a");
    store.discard_history();
    WHEN("another process takes over")
    {
        processes.replace_reader_by(1);
        processes.come_to_rest();
        CHECK(processes.all_know_the_table());
    }
    WHEN("the reader is started again")
    {
        processes.replace(0);
        processes.come_to_rest();
        CHECK(processes.all_know_the_table());
    }
}
