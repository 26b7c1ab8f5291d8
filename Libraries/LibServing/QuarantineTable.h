/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibPlatform/ChangeFollower.h>
#include <LibServing/RequestTerminations.h>

namespace Serving {

/// Stores the quarantined requests in a table of the platform, so that they survive a restart of all hosts. A single
/// host writes each row. A host reads the table only if no other host has reported that it knows the quarantine, which
/// is the case after all hosts have restarted.
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

    /// Must be called several times per second.
    void tick()
    {
        forget_expired_terminations(this->context);
        // While the platform is unavailable, other components detect when it responds again.
        bool const may_call = !this->is_calling && !this->context.reachability.is_platform_unavailable();
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
    /// A host that has just started has received the state of the running hosts by then.
    static constexpr Duration announcement_wait = 1s;
    /// The primary reader of the domain reads the table. A host that has not received the state by then reads it
    /// itself.
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
            || this->context.reachability.is_primary_reader(this->own_address, now);
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
        // A row that cannot be parsed was written by a newer version.
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
        ending.set_prompt_part(stored.prompt_part());
        ending.set_held_milliseconds(static_cast<u32>(left.count()));
        apply_request_terminations(this->context, message);
        // The row is stored already.
        this->pending_writes.erase(row.key);
    }

    /// Hosts that can reach the same other hosts agree on which of them writes.
    void hold_changed(RequestFingerprint const& request, bool is_held)
    {
        auto const key = to_text(request);
        auto const& own_domain = this->context.settings.failure_domain;
        if (!this->context.reachability.is_responsible_for(this->own_address, key, own_domain, this->context.now()))
            return;
        this->pending_writes[key] = {};
        if (!is_held)
            return;
        auto const left = this->context.quarantine.held_for(request, this->context.now()).value_or(0s);
        wire::QuarantineRow row;
        row.set_organisation(request.organisation.value());
        row.set_digest(request.digest);
        row.set_prompt_part(request.prompt_part);
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
            // The value may have changed in the meantime.
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
    /// Values to be written to the platform, by key; empty for rows to be removed.
    std::map<std::string, std::optional<std::string>> pending_writes;
};

}
