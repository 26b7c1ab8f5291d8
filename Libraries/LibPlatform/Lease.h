/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Identifiers.h>
#include <LibPlatform/TableStore.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <optional>
#include <sstream>
#include <string>

namespace Platform {

/// The value of a lease's row.
struct LeaseValue {
    std::string holder;
    Epoch epoch;
    /// Differs in each write, so that a holder recognises its own write after the response to it was lost.
    u64 nonce { 0 };
};

inline std::string format_lease(LeaseValue const& value)
{
    Poco::JSON::Object object;
    object.set("holder", value.holder);
    object.set("epoch", static_cast<Poco::UInt64>(value.epoch.value()));
    object.set("nonce", static_cast<Poco::UInt64>(value.nonce));
    std::ostringstream out;
    object.stringify(out);
    return out.str();
}

inline LeaseValue parse_lease(std::string const& text)
{
    try {
        Poco::JSON::Parser parser;
        auto object = parser.parse(text).extract<Poco::JSON::Object::Ptr>();
        return { object->getValue<std::string>("holder"), Epoch(object->getValue<Poco::UInt64>("epoch")),
            object->getValue<Poco::UInt64>("nonce") };
    } catch (Poco::Exception const&) {
        return {};
    }
}

/// One process's state of a lease in the platform's table. Does not depend on wall clocks: a holder counts its term
/// from before it sent the write, and a contender takes over only after it has seen the row unchanged for the term plus
/// the margin. A holder that was paused finds by its own clock that it may no longer act.
class Lease {
public:
    /// `margin` covers clock drift and the transit time of an order. `instance` must differ between processes and
    /// between starts of one process.
    Lease(std::string key, std::string holder, Duration term, Duration margin, u64 instance)
        : key(std::move(key))
        , holder(std::move(holder))
        , term(term)
        , margin(margin)
        , next_nonce(instance)
    {
    }

    /// Returns whether this process may act as the holder at `now`. To be checked immediately before each action.
    [[nodiscard]] bool may_act(Instant now) const { return this->held_until && now < *this->held_until - this->margin; }
    /// Returns the time until which this process may act, for a check on another thread; nothing without the lease.
    [[nodiscard]] std::optional<Instant> may_act_until() const
    {
        return this->held_until ? std::optional(*this->held_until - this->margin) : std::nullopt;
    }
    [[nodiscard]] Epoch epoch() const { return this->held_epoch; }

    /// Returns the write that renews the lease, or acquires one that nobody renews. Returns nothing while another
    /// holder may be alive, or before the row has been watched for long enough. `row` must have been read after `now`.
    std::optional<Transaction> propose(Row const& row, Instant now)
    {
        this->watch(row, now);
        auto current = parse_lease(row.value);
        auto is_own = row.exists() && this->is_own_write(current);
        auto is_free = !row.exists() || now - this->watched_since >= this->term + this->margin;
        if (!is_own && !is_free)
            return std::nullopt;
        // A renewal keeps the epoch only while this process may still act. Later, another process may have acted.
        auto keeps_epoch = is_own && this->may_act(now);
        auto epoch = keeps_epoch ? current.epoch : Epoch(current.epoch.value() + 1);
        this->proposed = { this->holder, epoch, ++this->next_nonce };
        this->proposed_at = now;
        return Transaction { { { this->key, row.version } }, { { this->key, format_lease(*this->proposed) } } };
    }

    /// To be called when the proposed write was committed.
    void committed()
    {
        if (!this->proposed)
            return;
        this->held_epoch = this->proposed->epoch;
        this->held_until = this->proposed_at + this->term;
        this->held_nonce = this->proposed->nonce;
        this->proposed.reset();
    }

    /// To be called when the proposed write failed its condition, because another process wrote the row.
    void lost_race() { this->proposed.reset(); }

    /// To be called when the response to the proposed write was lost, with the row as read afterwards.
    void settle(Row const& row)
    {
        if (!this->proposed)
            return;
        auto value = parse_lease(row.value);
        if (row.exists() && value.holder == this->proposed->holder && value.nonce == this->proposed->nonce)
            this->committed();
        else
            // The write may still arrive. Its term then binds only other processes, since this one does not act on it.
            this->proposed.reset();
    }

    [[nodiscard]] std::string const& row_key() const { return this->key; }

private:
    [[nodiscard]] bool is_own_write(LeaseValue const& value) const
    {
        return value.holder == this->holder && value.nonce == this->held_nonce;
    }

    void watch(Row const& row, Instant now)
    {
        if (this->watched_version == row.version)
            return;
        this->watched_version = row.version;
        this->watched_since = now;
    }

    std::string key;
    std::string holder;
    Duration term;
    Duration margin;
    u64 next_nonce;
    std::optional<LeaseValue> proposed;
    Instant proposed_at;
    u64 held_nonce { 0 };
    Epoch held_epoch;
    std::optional<Instant> held_until;
    std::optional<u64> watched_version;
    Instant watched_since;
};

/// Renews or acquires the lease once: reads the row, commits the proposed write, and resolves a lost response by
/// reading again. Blocks. The clock is read once, before the first read of the row, and the term counts from then.
template<TableStore Store, typename Now>
void keep_lease(Lease& lease, Store& store, Now now)
{
    auto started_at = now();
    auto row = store.read(lease.row_key());
    if (!row)
        return;
    auto transaction = lease.propose(row.value(), started_at);
    if (!transaction)
        return;
    auto result = store.commit(*transaction);
    if (result) {
        if (result.value() == CommitResult::Committed)
            lease.committed();
        else
            lease.lost_race();
        return;
    }
    if (result.error().kind != ErrorKind::PlatformAnswerLost) {
        lease.lost_race();
        return;
    }
    auto read_back = store.read(lease.row_key());
    if (read_back)
        lease.settle(read_back.value());
    else
        lease.lost_race();
}

}
