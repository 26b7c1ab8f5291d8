/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Error.h>
#include <LibPlatform/TableStore.h>
#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
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
};

struct FollowerTiming {
    /// How long the platform may hold a call that waits for changes. It bounds how long a lost answer goes unnoticed.
    Duration wait { 2s };
    /// How long beyond that an answer may take; a slow store takes some hundred milliseconds.
    Duration answer_patience { 1s };
    /// Pause before a call that failed is made again; it doubles up to the limit.
    Duration first_retry { 50ms };
    Duration longest_retry { 400ms };
};

/// What a follower tells. All on the loop.
struct FollowerObserver {
    /// The table as a whole, at the start and whenever changes may have been missed.
    std::function<void(std::vector<Row>, u64 version)> listed;
    std::function<void(std::vector<RowChange>, u64 version)> changed;
    /// The first failed call after a good one, and the first good one after a failure.
    std::function<void(Error const&)> lost;
    std::function<void()> regained;
};

/// Keeps up with one table: reads it as a whole, then follows its changes, and reads it again when history was lost.
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
        , retry_delay(timing.first_retry)
    {
    }

    void start() { this->list_from({}); }
    [[nodiscard]] u64 version() const { return this->known_version; }
    [[nodiscard]] bool is_reachable() const { return this->reachable; }

private:
    void list_from(std::string const& first_key)
    {
        if (first_key.empty())
            this->listing.clear();
        this->source.list(this->table, first_key, this->timing.answer_patience,
            [this](Result<RowPage> page) { this->page_arrived(std::move(page)); });
    }

    void page_arrived(Result<RowPage> page)
    {
        if (!page)
            return this->retry(page.error(), [this] { this->list_from({}); });
        this->note_success();
        auto& value = page.value();
        if (this->listing.empty())
            this->listing_version = value.version;
        std::ranges::move(value.rows, std::back_inserter(this->listing));
        // The next page begins just behind the last key.
        if (value.more && !this->listing.empty())
            return this->list_from(this->listing.back().key + '\x01');
        if (this->listing_version < this->known_version)
            return this->retry(stale_answer(), [this] { this->list_from({}); });
        this->known_version = this->listing_version;
        this->observer.listed(std::exchange(this->listing, {}), this->known_version);
        this->follow();
    }

    void follow()
    {
        this->source.changes(this->table, this->known_version, this->timing.wait,
            this->timing.wait + this->timing.answer_patience,
            [this](Result<ChangePage> page) { this->changes_arrived(std::move(page)); });
    }

    void changes_arrived(Result<ChangePage> page)
    {
        if (!page && page.error().kind == ErrorKind::HistoryLost) {
            this->note_success();
            return this->list_from({});
        }
        if (!page)
            return this->retry(page.error(), [this] { this->follow(); });
        this->note_success();
        auto& value = page.value();
        if (value.version < this->known_version)
            return this->retry(stale_answer(), [this] { this->follow(); });
        this->known_version = value.version;
        if (!value.changes.empty())
            this->observer.changed(std::move(value.changes), this->known_version);
        this->follow();
    }

    static Error stale_answer()
    {
        return platform_unavailable("it answered with an older state than it had shown before");
    }

    void note_success()
    {
        this->retry_delay = this->timing.first_retry;
        if (!std::exchange(this->reachable, true))
            this->observer.regained();
    }

    template<typename Again>
    void retry(Error const& error, Again again)
    {
        if (std::exchange(this->reachable, false))
            this->observer.lost(error);
        this->retry_timer.expires_after(this->retry_delay);
        this->retry_delay = std::min(this->retry_delay * 2, this->timing.longest_retry);
        this->retry_timer.async_wait([again](boost::system::error_code timer_error) {
            if (!timer_error)
                again();
        });
    }

    Source& source;
    std::string table;
    FollowerObserver observer;
    FollowerTiming timing;
    boost::asio::steady_timer retry_timer;
    Duration retry_delay;
    std::vector<Row> listing;
    u64 listing_version { 0 };
    u64 known_version { 0 };
    bool reachable { true };
};

}
