/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Types.h>
#include <algorithm>
#include <memory>
#include <utility>

namespace Overload {

/// Bounds the memory for callers' requests: those that are being received, and those that have been received and have
/// no complete response yet. A small request always gets its memory as long as any is left. Larger ones get no more
/// than a part of the whole, so that they can't keep out the small ones of other callers.
class RequestBudget {
public:
    /// Requests of at most this size are small.
    static constexpr size_t max_small_request = 64 << 10;
    /// Below this, requests could not be served at all.
    static constexpr size_t min_total = 1 << 20;

    explicit RequestBudget(size_t total) { this->set_total(total); }

    /// For a host whose memory is not known.
    static constexpr size_t default_total = 64 << 20;

    /// The part of a host's memory for requests. The rest is for responses, tables and the process itself.
    static size_t total_for(u64 host_memory_bytes) { return static_cast<size_t>(host_memory_bytes / 4); }

    void set_total(size_t bytes) { this->total = std::max(min_total, bytes); }
    [[nodiscard]] size_t used() const { return this->used_bytes; }
    /// Sets what the largest request that callers may send holds. One such request is received while nothing else is
    /// held, however small the total is.
    void set_largest_request(size_t bytes) { this->largest_request = bytes; }
    /// What requests may hold together while large ones are received.
    [[nodiscard]] size_t limit_for_large() const { return std::max(this->total / 4 * 3, this->largest_request); }
    /// What requests may hold together.
    [[nodiscard]] size_t limit() const { return this->limit_for_large() + this->total / 4; }
    /// Whether an unfinished request that holds this much has to be given up.
    [[nodiscard]] bool must_shed(size_t held) const
    {
        return this->used_bytes > (held > max_small_request ? this->limit_for_large() : this->limit());
    }

private:
    friend class RequestCharge;

    size_t total { 0 };
    size_t largest_request { 0 };
    size_t used_bytes { 0 };
};

/// The part of a RequestBudget that one request holds. Without a budget, nothing is counted.
class RequestCharge {
public:
    RequestCharge() = default;
    explicit RequestCharge(std::shared_ptr<RequestBudget> budget)
        : budget(std::move(budget))
    {
    }
    ~RequestCharge() { this->set(0); }
    RequestCharge(RequestCharge&& other) noexcept
        : budget(std::exchange(other.budget, nullptr))
        , held_bytes(std::exchange(other.held_bytes, 0))
    {
    }
    RequestCharge& operator=(RequestCharge&& other) noexcept
    {
        std::swap(this->budget, other.budget);
        std::swap(this->held_bytes, other.held_bytes);
        return *this;
    }

    void set(size_t bytes)
    {
        if (this->budget)
            this->budget->used_bytes += bytes - this->held_bytes;
        this->held_bytes = bytes;
    }
    [[nodiscard]] size_t held() const { return this->held_bytes; }
    [[nodiscard]] bool must_shed() const { return this->budget && this->budget->must_shed(this->held_bytes); }

private:
    std::shared_ptr<RequestBudget> budget;
    size_t held_bytes { 0 };
};

}
