/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Error.h>
#include <AK/Timer.h>
#include <LibPlatform/TableStore.h>
#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>
#include <vector>

namespace Platform {

/// Rows of one moment, in the order of their keys; the version is the table service's at that moment.
struct RowPage {
    std::vector<Row> rows;
    bool more { false };
    u64 version { 0 };
};

/// Where the page behind this row begins.
inline std::string key_after(Row const& row) { return row.key + '\x01'; }

struct RowChange {
    Row row;
    bool removed { false };
};

struct ChangePage {
    std::vector<RowChange> changes;
    u64 version { 0 };
};

/// Asynchronous reads of a table service that tells of changes. Each call answers exactly once, within `patience`.
/// Errors: PlatformUnavailable; HistoryLost when changes since the version are not kept any more.
template<typename T>
concept ChangeSource = requires(T& source, std::string const& table, u64 version, Duration duration,
    std::function<void(Result<RowPage>)> on_page, std::function<void(Result<ChangePage>)> on_changes)
{
    source.list(table, table, duration, on_page);
    source.changes(table, version, duration, duration, on_changes);
};

/// Asynchronous writes of single rows. Answers once, within `patience`.
template<typename T>
concept RowWriter
    = requires(T& store, std::string const& text, Duration patience, std::function<void(Result<void>)> on_done)
{
    store.put(text, text, text, patience, on_done);
    store.remove(text, text, patience, on_done);
};

struct FollowerTiming {
    /// How long the platform may hold a call that waits for changes. It bounds how long a lost answer goes unnoticed.
    Duration wait { 2s };
    /// How long beyond that an answer may take; a slow store takes some hundred milliseconds.
    Duration response_timeout { 1s };
    /// Pause before a call that failed is made again; it doubles up to the limit. Refused calls cost the platform too,
    /// and meanwhile changes are heard from other processes.
    Duration initial_retry_delay { 50ms };
    Duration max_retry_delay { 1s };
    /// Between an answer with changes and the next call: changes that come together are then read with one call.
    Duration delay_after_changes { 0ms };
    /// Between the calls of a follower that is there for when another one fails.
    Duration standby_period { 1s };
    /// How long changes that others know are awaited from them before the platform is asked. After a quarter of it
    /// others are asked for what they know.
    Duration peer_update_timeout { 0ms };
};

/// What a follower asks the platform for.
enum class Following : u8 {
    /// Nothing but what it has missed: it hears changes from elsewhere.
    None,
    /// Changes since its last call, now and then: for when who follows promptly fails.
    Standby,
    /// Each change at once.
    Prompt,
};

/// Changes of a table, as one process tells them to others that do not read it themselves.
struct TableUpdate {
    /// Version of the newest change before these.
    u64 previous_change { 0 };
    ChangePage page;
};

/// What a follower tells. All on the loop.
struct FollowerObserver {
    /// The table as a whole, at the start and whenever changes may have been missed.
    std::function<void(std::vector<Row>, u64 version)> listed;
    std::function<void(std::vector<RowChange>, u64 version)> changed;
    /// Changes that the platform itself has told, for others. After `changed`.
    std::function<void(TableUpdate const&)> fetched { [](TableUpdate const&) {} };
    /// Changes after this version, which others know, have not come: they may be asked for them.
    std::function<void(u64 known_version)> missed { [](u64) {} };
    /// The first failed call after a good one, and the first good one after a failure.
    std::function<void(Error const&)> unavailable;
    std::function<void()> available;
    /// Asked before a failed call is made again. Of several followers of one platform one is enough to find out that it
    /// answers again.
    std::function<bool()> may_retry { [] { return true; } };
};

/// Keeps up with one table: reads it as a whole, then follows its changes, and reads it again when history was lost.
/// A follower that does not follow takes changes from elsewhere, and asks the platform only for what it has missed.
template<ChangeSource Source>
class ChangeFollower {
public:
    ChangeFollower(boost::asio::io_context& loop, Source& source, std::string table, FollowerObserver observer,
        FollowerTiming timing = {})
        : source(source)
        , table(std::move(table))
        , observer(std::move(observer))
        , timing(timing)
        , retry_timer(loop)
        , pace_timer(loop)
        , patience_timer(loop)
        , retry_delay(timing.initial_retry_delay)
    {
    }

    void start()
    {
        this->is_calling = true;
        this->list_from({});
    }

    void set_following(Following now_following)
    {
        auto const before = std::exchange(this->following, now_following);
        if (before == now_following)
            return;
        // A pause that was meant for the former pace is over.
        if (std::exchange(this->is_pausing, false))
            this->pace_timer.cancel();
        if (!this->is_calling)
            this->call_again();
    }

    /// Changes from elsewhere.
    void receive_update(TableUpdate news)
    {
        if (!this->is_listed || news.page.version <= this->known_version)
            return;
        if (news.previous_change > this->known_version)
            return this->keep_early(std::move(news));
        this->take_news(std::move(news));
        this->take_early();
    }

    /// A change of this version is known to exist.
    void catch_up(u64 version)
    {
        this->wanted_version = std::max(this->wanted_version, version);
        if (!this->is_listed || this->wanted_version <= this->known_version || this->is_calling)
            return;
        if (this->timing.peer_update_timeout <= 0s)
            return this->follow(0s);
        if (this->is_patient)
            return;
        this->wait_for_others(this->timing.peer_update_timeout / 4, [this] {
            this->observer.missed(this->known_version);
            this->wait_for_others(this->timing.peer_update_timeout * 3 / 4, [this] { this->follow(0s); });
        });
    }

    /// Version of the newest change that is known; 0 before the table has been read.
    [[nodiscard]] u64 last_change() const { return this->newest_change; }
    [[nodiscard]] u64 version() const { return this->known_version; }
    [[nodiscard]] bool is_reachable() const { return this->reachable; }

private:
    /// News that wait for those before them; more are read from the platform.
    static constexpr size_t most_early_news = 64;

    void list_from(std::string const& first_key)
    {
        if (first_key.empty())
            this->listing.clear();
        this->source.list(this->table, first_key, this->timing.response_timeout,
            [this](Result<RowPage> page) { this->page_arrived(std::move(page)); });
    }

    void page_arrived(Result<RowPage> page)
    {
        if (!page)
            return this->retry(page.error(), [this] { this->list_from({}); });
        auto& value = page.value();
        if (this->listing.empty())
            this->listing_version = value.version;
        std::ranges::move(value.rows, std::back_inserter(this->listing));
        if (value.more && !this->listing.empty())
            return this->list_from(key_after(this->listing.back()));
        if (this->listing_version < this->known_version)
            return this->retry(stale_answer(), [this] { this->list_from({}); });
        this->note_success();
        this->known_version = this->listing_version;
        this->is_listed = true;
        this->newest_change = 0;
        for (auto const& row : this->listing)
            this->newest_change = std::max(this->newest_change, row.version);
        this->observer.listed(std::exchange(this->listing, {}), this->known_version);
        this->call_again();
    }

    /// Does `then` after `patience` if what others know has not come by then.
    template<typename Then>
    void wait_for_others(Duration patience, Then then)
    {
        this->is_patient = true;
        this->patience_timer.expires_after(patience);
        this->patience_timer.async_wait([this, then](boost::system::error_code error) {
            this->is_patient = false;
            if (!error && this->wanted_version > this->known_version && !this->is_calling)
                then();
        });
    }

    void take_news(TableUpdate news)
    {
        std::erase_if(
            news.page.changes, [this](RowChange const& change) { return change.row.version <= this->known_version; });
        this->known_version = news.page.version;
        this->note_last_change(news.page);
        if (!news.page.changes.empty())
            this->observer.changed(std::move(news.page.changes), this->known_version);
    }

    /// News that come by different ways may overtake each other. Those that came too early wait for what they follow.
    void keep_early(TableUpdate news)
    {
        auto const version = news.page.version;
        if (this->early_news.size() < most_early_news)
            this->early_news.push_back(std::move(news));
        this->catch_up(version);
    }

    void take_early()
    {
        while (true) {
            std::erase_if(
                this->early_news, [this](TableUpdate const& news) { return news.page.version <= this->known_version; });
            auto next = std::ranges::find_if(this->early_news,
                [this](TableUpdate const& news) { return news.previous_change <= this->known_version; });
            if (next == this->early_news.end())
                return;
            auto news = std::move(*next);
            this->early_news.erase(next);
            this->take_news(std::move(news));
        }
    }

    void follow(Duration wait)
    {
        this->is_calling = true;
        this->version_of_call = this->known_version;
        this->source.changes(this->table, this->known_version, wait, wait + this->timing.response_timeout,
            [this](Result<ChangePage> page) { this->changes_arrived(std::move(page)); });
    }

    /// After a call that went well: the next one, if there is a reason for it.
    void call_again(bool changes_came = false)
    {
        this->is_calling = false;
        if (!this->is_listed)
            return;
        if (this->following == Following::Prompt && changes_came && this->timing.delay_after_changes > 0s)
            return this->call_after(this->timing.delay_after_changes);
        if (this->following == Following::Prompt)
            return this->follow(this->timing.wait);
        if (this->wanted_version > this->known_version)
            return this->follow(0s);
        if (this->following == Following::Standby)
            this->call_after(this->timing.standby_period);
    }

    void call_after(Duration pause)
    {
        this->is_pausing = true;
        this->pace_timer.expires_after(pause);
        this->pace_timer.async_wait([this](boost::system::error_code error) {
            if (error || !std::exchange(this->is_pausing, false) || this->is_calling)
                return;
            if (this->following != Following::None)
                this->follow(this->wait_of_call());
        });
    }

    [[nodiscard]] Duration wait_of_call() const
    {
        return this->following == Following::Prompt ? this->timing.wait : Duration(0);
    }

    void changes_arrived(Result<ChangePage> page)
    {
        if (!page && page.error().kind == ErrorKind::HistoryLost) {
            this->note_success();
            return this->list_from({});
        }
        if (!page)
            return this->retry(page.error(), [this] { this->follow(this->wait_of_call()); });
        auto& value = page.value();
        if (value.version < this->version_of_call)
            return this->retry(stale_answer(), [this] { this->follow(this->wait_of_call()); });
        this->note_success();
        // Some of it may have been heard from elsewhere while the call was under way.
        std::erase_if(
            value.changes, [this](RowChange const& change) { return change.row.version <= this->known_version; });
        this->known_version = std::max(this->known_version, value.version);
        bool const changes_came = !value.changes.empty();
        if (changes_came)
            this->take(std::move(value));
        this->take_early();
        this->call_again(changes_came);
    }

    void take(ChangePage page)
    {
        TableUpdate const news { this->newest_change, page };
        this->note_last_change(page);
        this->observer.changed(std::move(page.changes), this->known_version);
        this->observer.fetched(news);
    }

    void note_last_change(ChangePage const& page)
    {
        for (auto const& change : page.changes)
            this->newest_change = std::max(this->newest_change, change.row.version);
    }

    static Error stale_answer()
    {
        return platform_unavailable("it answered with an older state than it had shown before");
    }

    void note_success()
    {
        this->retry_delay = this->timing.initial_retry_delay;
        if (!std::exchange(this->reachable, true))
            this->observer.available();
    }

    template<typename Again>
    void retry(Error const& error, Again again)
    {
        if (std::exchange(this->reachable, false))
            this->observer.unavailable(error);
        auto delay = this->retry_delay;
        this->retry_delay = std::min(this->retry_delay * 2, this->timing.max_retry_delay);
        this->call_later(delay, again);
    }

    template<typename Again>
    void call_later(Duration delay, Again again)
    {
        this->retry_timer.expires_after(delay);
        this->retry_timer.async_wait([this, again](boost::system::error_code error) {
            if (error)
                return;
            if (!this->observer.may_retry())
                return this->call_later(this->timing.initial_retry_delay, again);
            again();
        });
    }

    Source& source;
    std::string table;
    FollowerObserver observer;
    FollowerTiming timing;
    AK::Timer retry_timer;
    AK::Timer pace_timer;
    AK::Timer patience_timer;
    Duration retry_delay;
    std::vector<Row> listing;
    u64 listing_version { 0 };
    u64 known_version { 0 };
    u64 version_of_call { 0 };
    u64 newest_change { 0 };
    u64 wanted_version { 0 };
    /// A platform that was empty when it was read is at version 0, too.
    bool is_listed { false };
    Following following { Following::Prompt };
    bool is_calling { false };
    /// Until the next call of a follower that does not call at once.
    bool is_pausing { false };
    /// Changes that others know are awaited from them.
    bool is_patient { false };
    std::vector<TableUpdate> early_news;
    bool reachable { true };
};

}
