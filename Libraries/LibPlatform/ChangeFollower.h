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
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Platform {

/// One page of a consistent listing, ordered by key. The version is the table service's at the time of the read.
struct RowPage {
    std::vector<Row> rows;
    bool more { false };
    u64 version { 0 };
};

/// A whole table, as one process hands it to another.
struct TableSnapshot {
    std::vector<Row> rows;
    u64 version { 0 };
    /// Version up to which all changes are known, removals included.
    u64 last_change { 0 };
};

/// Returns the first key of the page that follows this row.
inline std::string key_after(Row const& row) { return row.key + '\x01'; }

struct RowChange {
    Row row;
    bool removed { false };
};

struct ChangePage {
    std::vector<RowChange> changes;
    u64 version { 0 };
};

/// Asynchronous reads of a table service that reports changes. Each call invokes its callback exactly once, within the
/// last duration given (the timeout). The first duration of changes() is how long the service may hold the call.
/// Errors: PlatformUnavailable; HistoryLost if the changes after the version are no longer stored.
template<typename T>
concept ChangeSource = requires(T& source, std::string const& table, u64 version, Duration duration,
    std::function<void(Result<RowPage>)> on_page, std::function<void(Result<ChangePage>)> on_changes)
{
    source.list(table, table, duration, on_page);
    source.changes(table, version, duration, duration, on_changes);
};

/// Asynchronous writes of single rows. Each call invokes its callback exactly once, within `timeout`.
template<typename T>
concept RowWriter
    = requires(T& store, std::string const& text, Duration timeout, std::function<void(Result<void>)> on_done)
{
    store.put(text, text, text, timeout, on_done);
    store.remove(text, text, timeout, on_done);
};

struct FollowerTiming {
    /// How long the platform may hold a call that waits for changes. Limits the time until a lost response is detected.
    Duration wait { 2s };
    /// Time that a response may take in addition to `wait`. A slow store takes a few hundred milliseconds.
    Duration response_timeout { 1s };
    /// Delay before a failed call is retried; it doubles up to the maximum. Failed calls load the platform as well, and
    /// other processes forward changes in the meantime.
    Duration initial_retry_delay { 50ms };
    Duration max_retry_delay { 1s };
    /// Delay between a response with changes and the next call, so that one call reads a group of changes.
    Duration delay_after_changes { 0ms };
    /// Interval between the calls of a standby follower.
    Duration standby_period { 1s };
    /// How long to wait for changes that other processes know before the platform is queried. After a quarter of this
    /// time, the missed changes are requested from the other processes.
    Duration peer_update_timeout { 0ms };
};

/// How a follower queries the platform.
enum class Following : u8 {
    /// Only for changes that it missed; other processes forward the changes to it.
    None,
    /// Periodically, as a fallback for the failure of the process that follows promptly.
    Standby,
    /// Continuously, with calls that the platform holds until a change occurs.
    Prompt,
};

/// Changes of a table, in the form in which one process forwards them to others.
struct TableUpdate {
    /// Version of the last change before the ones in `page`.
    u64 previous_change { 0 };
    ChangePage page;
    /// `page` is the difference between two states of the table, that of `previous_change` and a later listing. It may
    /// lack rows that were both added and removed in between, so it applies to a process whose last change is exactly
    /// `previous_change`.
    bool is_difference { false };
};

/// Callbacks of a follower. All run on the event loop.
struct FollowerObserver {
    /// Passes the full table, after the start and whenever changes may have been missed.
    std::function<void(std::vector<Row>, u64 version)> listed;
    std::function<void(std::vector<RowChange>, u64 version)> changed;
    /// Passes changes that the platform itself returned, to be forwarded to other processes. Called after `changed`.
    std::function<void(TableUpdate const&)> fetched { [](TableUpdate const&) {} };
    /// Other processes know changes after this version that have not arrived here, so they may be requested from them.
    std::function<void(u64 known_version)> missed { [](u64) {} };
    /// Called for each answer of the platform, and for each call that it did not answer.
    std::function<void()> answered { [] {} };
    std::function<void()> failed { [] {} };
    /// Called at the first failed call after a success, and at the first success after a failure.
    std::function<void(Error const&)> unavailable;
    std::function<void()> available;
    /// Returns whether a failed call may be retried. If several followers use one platform, it is enough that one of
    /// them detects its recovery.
    std::function<bool()> may_retry { [] { return true; } };
};

/// Tracks one table: lists it in full, then follows its changes, and lists it again when the history is lost.
/// With Following::None, it applies the updates that other processes forward, and queries the platform only for updates
/// that it missed.
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
        , delay_timer(loop)
        , peer_timer(loop)
        , retry_delay(timing.initial_retry_delay)
    {
    }

    /// Lists the table. Has no effect if it has been listed or loaded, or is being listed.
    void start()
    {
        if (this->is_listed || std::exchange(this->is_calling, true))
            return;
        this->list_from({});
    }

    /// Applies the whole table from another process instead of listing it. Has no effect once the table is known.
    void load(TableSnapshot snapshot)
    {
        if (this->is_listed)
            return;
        // The result of a listing that is in progress is no longer needed.
        this->is_superseded = this->is_calling;
        this->apply_listing(std::move(snapshot.rows), snapshot.version);
        this->newest_change = snapshot.last_change;
        this->apply_early_updates();
        if (!this->is_calling)
            this->schedule_next_call();
        this->catch_up(this->wanted_version);
    }

    /// The whole table as this process knows it; nothing before it has been listed or loaded.
    [[nodiscard]] std::optional<TableSnapshot> snapshot() const
    {
        if (!this->is_listed)
            return {};
        TableSnapshot snapshot { {}, this->known_version, this->newest_change };
        snapshot.rows.reserve(this->rows.size());
        for (auto const& [key, row] : this->rows)
            snapshot.rows.push_back(row);
        return snapshot;
    }
    [[nodiscard]] bool is_known() const { return this->is_listed; }

    void set_following(Following now_following)
    {
        auto const before = std::exchange(this->following, now_following);
        if (before == now_following)
            return;
        // The delay was computed for the former mode.
        if (std::exchange(this->is_delayed, false))
            this->delay_timer.cancel();
        if (!this->is_calling)
            this->schedule_next_call();
    }

    /// Applies an update from another process. An update that arrives before its predecessor is buffered.
    void receive_update(TableUpdate update)
    {
        if (!this->is_listed || update.page.version <= this->known_version)
            return;
        if (!this->continues_known_changes(update))
            return this->buffer_early_update(std::move(update));
        this->apply_update(std::move(update));
        this->apply_early_updates();
    }

    /// Records that a change of this version exists, and fetches it if it does not arrive.
    void catch_up(u64 version)
    {
        this->wanted_version = std::max(this->wanted_version, version);
        if (!this->is_listed || this->wanted_version <= this->known_version || this->is_waiting_for_peers)
            return;
        if (this->timing.peer_update_timeout <= 0s)
            return this->call_unless_calling();
        // A call in progress is no reason to wait: the platform may be out of this process's reach.
        this->wait_for_peers(this->timing.peer_update_timeout / 4, [this] {
            this->observer.missed(this->known_version);
            this->wait_for_peers(this->timing.peer_update_timeout * 3 / 4, [this] { this->call_unless_calling(); });
        });
    }

    /// Version up to which this process knows all changes, removals included; 0 before the table has been listed. Two
    /// processes with the same last change know the same table.
    [[nodiscard]] u64 last_change() const { return this->newest_change; }
    [[nodiscard]] u64 version() const { return this->known_version; }
    [[nodiscard]] bool is_reachable() const { return this->reachable; }

private:
    /// Maximum number of buffered updates. Further ones are dropped, and fetched from the platform later.
    static constexpr size_t max_early_updates = 64;

    void list_from(std::string const& first_key)
    {
        if (first_key.empty())
            this->listing.clear();
        this->source.list(this->table, first_key, this->timing.response_timeout,
            [this](Result<RowPage> page) { this->handle_page(std::move(page)); });
    }

    void handle_page(Result<RowPage> page)
    {
        if (std::exchange(this->is_superseded, false)) {
            this->listing.clear();
            return this->schedule_next_call();
        }
        if (!page)
            return this->retry(page.error(), [this] { this->list_from({}); });
        auto& value = page.value();
        if (this->listing.empty())
            this->listing_version = value.version;
        std::ranges::move(value.rows, std::back_inserter(this->listing));
        if (value.more && !this->listing.empty())
            return this->list_from(key_after(this->listing.back()));
        if (this->listing_version < this->known_version)
            return this->retry(stale_response(), [this] { this->list_from({}); });
        this->record_success();
        auto const update = this->difference_to_listing();
        this->apply_listing(std::exchange(this->listing, {}), this->listing_version);
        this->newest_change = update.page.version;
        if (!update.page.changes.empty())
            this->observer.fetched(update);
        this->apply_early_updates();
        this->schedule_next_call();
    }

    /// What the listing changes in the table as it is known. Without changes, the version is that of the last change.
    [[nodiscard]] TableUpdate difference_to_listing() const
    {
        // Changes before the first listing, of which a removal leaves no trace, are not known.
        if (!this->is_listed)
            return { 0, { {}, this->listing_version }, true };
        TableUpdate update { this->newest_change, { {}, this->newest_change }, true };
        auto removed = this->rows;
        for (auto const& row : this->listing) {
            auto const known = this->rows.find(row.key);
            if (known == this->rows.end() || known->second.version != row.version)
                update.page.changes.push_back({ row, false });
            removed.erase(row.key);
        }
        for (auto const& [key, row] : removed)
            update.page.changes.push_back({ { key, {}, this->listing_version }, true });
        if (!update.page.changes.empty())
            update.page.version = this->listing_version;
        return update;
    }

    void apply_listing(std::vector<Row> listed, u64 version)
    {
        this->known_version = version;
        this->is_listed = true;
        this->rows.clear();
        for (auto const& row : listed)
            this->rows[row.key] = row;
        this->observer.listed(std::move(listed), this->known_version);
    }

    /// Applies changes that are newer than all known ones.
    void apply_changes(std::vector<RowChange> changes)
    {
        for (auto const& change : changes) {
            if (change.removed)
                this->rows.erase(change.row.key);
            else
                this->rows[change.row.key] = change.row;
        }
        this->observer.changed(std::move(changes), this->known_version);
    }

    /// Calls `then` after `timeout`, unless the missing changes have arrived by then.
    template<typename Then>
    void wait_for_peers(Duration timeout, Then then)
    {
        this->is_waiting_for_peers = true;
        this->peer_timer.expires_after(timeout);
        this->peer_timer.async_wait([this, then](boost::system::error_code error) {
            this->is_waiting_for_peers = false;
            if (!error && this->wanted_version > this->known_version)
                then();
        });
    }

    void call_unless_calling()
    {
        if (!this->is_calling)
            this->follow(0s);
    }

    /// Whether this process knows all changes after an update once it has applied it.
    [[nodiscard]] bool continues_known_changes(TableUpdate const& update) const
    {
        if (update.is_difference)
            return update.previous_change == this->newest_change;
        return update.previous_change <= this->known_version;
    }

    void apply_update(TableUpdate update)
    {
        std::erase_if(
            update.page.changes, [this](RowChange const& change) { return change.row.version <= this->known_version; });
        this->known_version = update.page.version;
        if (update.is_difference)
            this->newest_change = update.page.version;
        else
            this->record_last_change(update.page);
        if (!update.page.changes.empty())
            this->apply_changes(std::move(update.page.changes));
    }

    /// Updates from different senders may arrive out of order. An early one is buffered until its predecessor arrives.
    void buffer_early_update(TableUpdate update)
    {
        auto const version = update.page.version;
        if (this->early_updates.size() < max_early_updates)
            this->early_updates.push_back(std::move(update));
        this->catch_up(version);
    }

    void apply_early_updates()
    {
        while (true) {
            std::erase_if(this->early_updates,
                [this](TableUpdate const& update) { return update.page.version <= this->known_version; });
            auto next = std::ranges::find_if(this->early_updates,
                [this](TableUpdate const& update) { return this->continues_known_changes(update); });
            if (next == this->early_updates.end())
                return;
            auto update = std::move(*next);
            this->early_updates.erase(next);
            this->apply_update(std::move(update));
        }
    }

    void follow(Duration wait)
    {
        this->is_calling = true;
        this->version_of_call = this->known_version;
        this->source.changes(this->table, this->known_version, wait, wait + this->timing.response_timeout,
            [this](Result<ChangePage> page) { this->handle_changes(std::move(page)); });
    }

    /// Starts or schedules the next call after a successful one, if the mode or a missed change requires it.
    void schedule_next_call(bool has_changes = false)
    {
        this->is_calling = false;
        if (!this->is_listed)
            return;
        if (this->following == Following::Prompt && has_changes && this->timing.delay_after_changes > 0s)
            return this->call_after(this->timing.delay_after_changes);
        if (this->following == Following::Prompt)
            return this->follow(this->timing.wait);
        if (this->wanted_version > this->known_version)
            return this->follow(0s);
        if (this->following == Following::Standby)
            this->call_after(this->timing.standby_period);
    }

    void call_after(Duration delay)
    {
        this->is_delayed = true;
        this->delay_timer.expires_after(delay);
        this->delay_timer.async_wait([this](boost::system::error_code error) {
            if (error || !std::exchange(this->is_delayed, false) || this->is_calling)
                return;
            if (this->following != Following::None)
                this->follow(this->wait_of_call());
        });
    }

    [[nodiscard]] Duration wait_of_call() const
    {
        return this->following == Following::Prompt ? this->timing.wait : Duration(0);
    }

    void handle_changes(Result<ChangePage> page)
    {
        if (!page && page.error().kind == ErrorKind::HistoryLost) {
            this->record_success();
            return this->list_from({});
        }
        if (!page)
            return this->retry(page.error(), [this] { this->follow(0s); });
        auto& value = page.value();
        if (value.version < this->version_of_call)
            return this->retry(stale_response(), [this] { this->follow(0s); });
        this->record_success();
        // Other processes may have forwarded some of the changes during the call.
        std::erase_if(
            value.changes, [this](RowChange const& change) { return change.row.version <= this->known_version; });
        this->known_version = std::max(this->known_version, value.version);
        bool const has_changes = !value.changes.empty();
        if (has_changes)
            this->publish(std::move(value));
        this->apply_early_updates();
        this->schedule_next_call(has_changes);
    }

    void publish(ChangePage page)
    {
        TableUpdate const update { this->newest_change, page, false };
        this->record_last_change(page);
        this->apply_changes(std::move(page.changes));
        this->observer.fetched(update);
    }

    void record_last_change(ChangePage const& page)
    {
        for (auto const& change : page.changes)
            this->newest_change = std::max(this->newest_change, change.row.version);
    }

    static Error stale_response()
    {
        return platform_unavailable("the response has an older state than an earlier one");
    }

    void record_success()
    {
        this->retry_delay = this->timing.initial_retry_delay;
        this->observer.answered();
        if (!std::exchange(this->reachable, true))
            this->observer.available();
    }

    /// `again` makes a call that the platform answers at once, since the first answer shows that it is back.
    template<typename Again>
    void retry(Error const& error, Again again)
    {
        this->observer.failed();
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
            if (std::exchange(this->is_superseded, false))
                return this->schedule_next_call();
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
    AK::Timer delay_timer;
    AK::Timer peer_timer;
    Duration retry_delay;
    /// The table as of `known_version`, by key.
    std::map<std::string, Row> rows;
    std::vector<Row> listing;
    u64 listing_version { 0 };
    u64 known_version { 0 };
    u64 version_of_call { 0 };
    /// Up to this version all changes are known, removals included. It is at most `known_version`, after which there
    /// may be none. A listing shows the rows that are there, and so not the version of the last removal.
    u64 newest_change { 0 };
    u64 wanted_version { 0 };
    /// Needed besides `known_version`, since a platform that was empty when listed is at version 0, too.
    bool is_listed { false };
    /// Another process has handed over the table while it was being listed.
    bool is_superseded { false };
    Following following { Following::Prompt };
    bool is_calling { false };
    /// True while the next call waits for `delay_timer`.
    bool is_delayed { false };
    /// True while changes are expected from other processes.
    bool is_waiting_for_peers { false };
    std::vector<TableUpdate> early_updates;
    bool reachable { true };
};

}
