/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibPlatform/ChangeFollower.h>
#include <LibServing/RequestTerminations.h>

namespace Serving {

/// Keeps requests that are held back in a table of the platform, for when no host is left that knows of them. One host
/// writes each row. It is read only where no other host has said that it knows them: after all have started anew.
template<typename Store>
class QuarantineTable {
public:
    static constexpr auto table = "lilactiller_quarantine";

    QuarantineTable(ServingContext& context, Store& store, Address const& own_address)
        : context(context)
        , store(store)
        , own_address(own_address)
    {
    }

    void start()
    {
        this->started_at = this->context.now();
        this->context.hold_changed
            = [this](RequestFingerprint const& request, bool is_held) { this->hold_changed(request, is_held); };
    }

    /// To be called several times a second.
    void tick()
    {
        forget_expired_terminations(this->context);
        // While the platform does not answer, others find out when it does again.
        bool const may_call = !this->is_calling && !this->context.reach.platform_lost_here();
        if (!may_call || this->context.now() < this->next_call_at)
            return;
        if (this->needs_read())
            return this->read_page({});
        if (!this->pending_writes.empty())
            this->write(this->pending_writes.begin()->first, this->pending_writes.begin()->second);
    }

private:
    static constexpr Duration response_timeout = 2s;
    static constexpr Duration retry_delay = 1s;
    /// By then a host that has just started has heard from those that were there before it.
    static constexpr Duration announcement_wait = 1s;
    /// The first reader of a domain reads; a host that has not been told by then reads itself.
    static constexpr Duration primary_reader_wait = 1s;

    [[nodiscard]] bool needs_read() const
    {
        if (this->context.knows_quarantine)
            return false;
        auto const now = this->context.now();
        auto const age = now - this->started_at;
        if (age < announcement_wait)
            return false;
        return age >= announcement_wait + primary_reader_wait
            || this->context.reach.is_first_reader(this->own_address, now);
    }

    void read_page(std::string const& first_key)
    {
        this->is_calling = true;
        this->store.list(table, first_key, response_timeout, [this](Result<Platform::RowPage> page) {
            this->is_calling = false;
            if (!page)
                return this->schedule_retry();
            for (auto const& row : page.value().rows)
                this->apply(row);
            if (page.value().more && !page.value().rows.empty())
                return this->read_page(Platform::key_after(page.value().rows.back()));
            this->context.knows_quarantine = true;
        });
    }

    static i64 unix_milliseconds()
    {
        auto const since_epoch = std::chrono::system_clock::now().time_since_epoch();
        return std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count();
    }

    void apply(Platform::Row const& row)
    {
        wire::QuarantineRow stored;
        // One that cannot be read is of a version to come.
        if (!stored.ParseFromString(row.value))
            return;
        auto const left = std::chrono::milliseconds(stored.held_until_unix_milliseconds() - unix_milliseconds());
        if (left <= 0s) {
            this->pending_writes[row.key] = {};
            return;
        }
        wire::HostUse message;
        auto& ending = *message.add_ending();
        ending.set_organisation(stored.organisation());
        ending.set_digest(stored.digest());
        ending.set_held_milliseconds(static_cast<u32>(left.count()));
        apply_request_terminations(this->context, message);
        // It is there already.
        this->pending_writes.erase(row.key);
    }

    /// Hosts that hear the same others agree on who writes.
    void hold_changed(RequestFingerprint const& request, bool is_held)
    {
        auto const key = to_text(request);
        auto const& own_domain = this->context.settings.failure_domain;
        if (!this->context.reach.looks_after(this->own_address, key, own_domain, this->context.now()))
            return;
        this->pending_writes[key] = {};
        if (!is_held)
            return;
        auto const left = this->context.quarantine.held_for(request, this->context.now()).value_or(0s);
        wire::QuarantineRow row;
        row.set_organisation(request.organisation.value());
        row.set_digest(request.digest);
        row.set_held_until_unix_milliseconds(unix_milliseconds() + AK::to_milliseconds(left));
        this->pending_writes[key] = row.SerializeAsString();
    }

    void write(std::string const& key, std::optional<std::string> const& value)
    {
        this->is_calling = true;
        auto on_done = [this, key, value](Result<void> done) {
            this->is_calling = false;
            if (!done)
                return this->schedule_retry();
            // It may have changed meanwhile.
            auto found = this->pending_writes.find(key);
            if (found != this->pending_writes.end() && found->second == value)
                this->pending_writes.erase(found);
        };
        if (value)
            this->store.put(table, key, *value, response_timeout, on_done);
        else
            this->store.remove(table, key, response_timeout, on_done);
    }

    void schedule_retry() { this->next_call_at = this->context.now() + retry_delay; }

    ServingContext& context;
    Store& store;
    Address const& own_address;
    Instant started_at {};
    Instant next_call_at {};
    bool is_calling { false };
    /// What the platform is to hold, by key; nothing for rows that are to go.
    std::map<std::string, std::optional<std::string>> pending_writes;
};

}
