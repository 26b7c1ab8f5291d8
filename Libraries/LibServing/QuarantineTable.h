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
        if (this->is_to_be_read())
            return this->read_from({});
        if (!this->unwritten.empty())
            this->write(this->unwritten.begin()->first, this->unwritten.begin()->second);
    }

private:
    static constexpr Duration answer_patience = 2s;
    static constexpr Duration retry_delay = 1s;
    /// By then a host that has just started has heard from those that were there before it.
    static constexpr Duration time_to_be_told = 1s;
    /// The first reader of a domain reads; a host that has not been told by then reads itself.
    static constexpr Duration time_of_first_reader = 1s;

    [[nodiscard]] bool is_to_be_read() const
    {
        if (this->context.knows_quarantine)
            return false;
        auto const now = this->context.now();
        auto const age = now - this->started_at;
        if (age < time_to_be_told)
            return false;
        return age >= time_to_be_told + time_of_first_reader
            || this->context.reach.is_first_reader(this->own_address, now);
    }

    void read_from(std::string const& first_key)
    {
        this->is_calling = true;
        this->store.list(table, first_key, answer_patience, [this](Result<Platform::RowPage> page) {
            this->is_calling = false;
            if (!page)
                return this->again_later();
            for (auto const& row : page.value().rows)
                this->take(row);
            if (page.value().more && !page.value().rows.empty())
                return this->read_from(Platform::key_after(page.value().rows.back()));
            this->context.knows_quarantine = true;
        });
    }

    static i64 unix_milliseconds()
    {
        auto const since_epoch = std::chrono::system_clock::now().time_since_epoch();
        return std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count();
    }

    void take(Platform::Row const& row)
    {
        wire::QuarantineRow said;
        // One that cannot be read is of a version to come.
        if (!said.ParseFromString(row.value))
            return;
        auto const left = std::chrono::milliseconds(said.held_until_unix_milliseconds() - unix_milliseconds());
        if (left <= 0s) {
            this->unwritten[row.key] = {};
            return;
        }
        wire::HostUse message;
        auto& ending = *message.add_ending();
        ending.set_organisation(said.organisation());
        ending.set_digest(said.digest());
        ending.set_held_milliseconds(static_cast<u32>(left.count()));
        apply_request_terminations(this->context, message);
        // It is there already.
        this->unwritten.erase(row.key);
    }

    /// Hosts that hear the same others agree on who writes.
    void hold_changed(RequestFingerprint const& request, bool is_held)
    {
        auto const key = to_text(request);
        auto const& own_domain = this->context.settings.failure_domain;
        if (!this->context.reach.looks_after(this->own_address, key, own_domain, this->context.now()))
            return;
        this->unwritten[key] = {};
        if (!is_held)
            return;
        auto const left = this->context.quarantine.held_for(request, this->context.now()).value_or(0s);
        wire::QuarantineRow row;
        row.set_organisation(request.organisation.value());
        row.set_digest(request.digest);
        row.set_held_until_unix_milliseconds(unix_milliseconds() + AK::to_milliseconds(left));
        this->unwritten[key] = row.SerializeAsString();
    }

    void write(std::string const& key, std::optional<std::string> const& value)
    {
        this->is_calling = true;
        auto on_done = [this, key, value](Result<void> done) {
            this->is_calling = false;
            if (!done)
                return this->again_later();
            // It may have changed meanwhile.
            auto found = this->unwritten.find(key);
            if (found != this->unwritten.end() && found->second == value)
                this->unwritten.erase(found);
        };
        if (value)
            this->store.put(table, key, *value, answer_patience, on_done);
        else
            this->store.remove(table, key, answer_patience, on_done);
    }

    void again_later() { this->next_call_at = this->context.now() + retry_delay; }

    ServingContext& context;
    Store& store;
    Address const& own_address;
    Instant started_at {};
    Instant next_call_at {};
    bool is_calling { false };
    /// What the platform is to hold, by key; nothing for rows that are to go.
    std::map<std::string, std::optional<std::string>> unwritten;
};

}
