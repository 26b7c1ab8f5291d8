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
    /// Changes with each write, so that a holder can recognise a write of its own whose answer was lost.
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

/// One process's claim to a lease in the platform's table. Nobody's wall clock matters: a holder counts its term
/// from before it sent the write, and a rival takes over only after it has watched the row stay the same for a whole
/// term and the margin. A paused holder that wakes finds, by its own clock, that it may no longer act.
class Lease {
public:
    /// `margin` covers clock drift and the time an order is on its way. `instance` must differ between processes and
    /// between starts of one process.
    Lease(std::string key, std::string holder, Duration term, Duration margin, u64 instance)
        : key(std::move(key))
        , holder(std::move(holder))
        , term(term)
        , margin(margin)
        , next_nonce(instance)
    {
    }

    /// Whether this process may act as holder at `now`. Ask immediately before acting.
    [[nodiscard]] bool may_act(Instant now) const { return this->held_until && now < *this->held_until - this->margin; }
    /// Until when this process may act, for a check on another thread. Nothing when it does not hold the lease.
    [[nodiscard]] std::optional<Instant> may_act_until() const
    {
        return this->held_until ? std::optional(*this->held_until - this->margin) : std::nullopt;
    }
    [[nodiscard]] Epoch epoch() const { return this->held_epoch; }

    /// The write to try now: to renew, or to take a lease that nobody renews. Nothing when another holder is alive as
    /// far as known, or when the row has yet to be watched. `row` must have been read after `now` was taken.
    std::optional<Transaction> propose(Row const& row, Instant now)
    {
        this->watch(row, now);
        auto current = parse_lease(row.value);
        auto is_own = row.exists() && this->is_own_write(current);
        auto is_free = !row.exists() || now - this->watched_since >= this->term + this->margin;
        if (!is_own && !is_free)
            return std::nullopt;
        // A renewal keeps the epoch only while the term still runs; otherwise someone may have acted meanwhile.
        auto keeps_epoch = is_own && this->may_act(now);
        auto epoch = keeps_epoch ? current.epoch : Epoch(current.epoch.value() + 1);
        this->proposed = { this->holder, epoch, ++this->next_nonce };
        this->proposed_at = now;
        return Transaction { { { this->key, row.version } }, { { this->key, format_lease(*this->proposed) } } };
    }

    /// The proposed write was committed.
    void committed()
    {
        if (!this->proposed)
            return;
        this->held_epoch = this->proposed->epoch;
        this->held_until = this->proposed_at + this->term;
        this->held_nonce = this->proposed->nonce;
        this->proposed.reset();
    }

    /// The proposed write failed its condition: someone else wrote.
    void lost_race() { this->proposed.reset(); }

    /// The answer to the proposed write was lost; `row` was read afterwards.
    void settle(Row const& row)
    {
        if (!this->proposed)
            return;
        auto value = parse_lease(row.value);
        if (row.exists() && value.holder == this->proposed->holder && value.nonce == this->proposed->nonce)
            this->committed();
        else
            // It may still arrive, but then its term, counted from when it was sent, binds only others.
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

/// One round of keeping a lease: reads the row, proposes, commits, and settles a lost answer. Blocks. `clock` is asked
/// again before each step, since any of them may take long.
template<TableStore Store, typename Now>
void keep_lease(Lease& lease, Store& store, Now now)
{
    auto asked_at = now();
    auto row = store.read(lease.row_key());
    if (!row)
        return;
    auto transaction = lease.propose(row.value(), asked_at);
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
