/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/Snapshot/SnapshotFetch.h>
#include <algorithm>

namespace Serving {

void SnapshotFetch::tick(Instant now)
{
    if (this->holder && now - std::max(this->requested_at, this->responded_at) < response_timeout)
        return;
    bool const is_silent = this->holder && this->responded_at < this->requested_at;
    if (is_silent && ++this->silences >= max_silences)
        this->give_up_holder(now);
    if (!this->holder)
        this->choose_holder(now);
    if (this->holder)
        this->request(now);
}

void SnapshotFetch::give_up_holder(Instant now)
{
    this->failed_at[*this->holder] = now;
    this->holder.reset();
}

void SnapshotFetch::choose_holder(Instant now)
{
    std::erase_if(this->failed_at, [now](auto const& failed) { return now - failed.second >= failure_memory; });
    auto const candidates = this->callbacks.candidates();
    auto const next = std::ranges::find_if(
        candidates, [this](Address const& candidate) { return !this->failed_at.contains(candidate); });
    this->silences = 0;
    this->refusals = 0;
    if (next != candidates.end())
        this->holder = *next;
}

void SnapshotFetch::request(Instant now)
{
    this->requested_at = now;
    if (this->assembly.is_empty())
        return this->send_request(0, now);
    for (auto number : this->assembly.missing_chunks(this->next_chunk, window))
        this->send_request(number, now);
}

void SnapshotFetch::send_request(u32 number, Instant now)
{
    this->requested_at = now;
    wire::SnapshotRequest request;
    request.set_table(this->table);
    request.set_chunk(number);
    request.set_version(this->assembly.is_empty() ? 0 : this->assembly.version());
    this->callbacks.send(*this->holder, std::move(request));
}

void SnapshotFetch::handle_chunk(wire::SnapshotChunk const& chunk, Address const& sender, Instant now)
{
    if (chunk.table() != this->table || sender != this->holder)
        return;
    this->responded_at = now;
    this->silences = 0;
    if (chunk.count() == 0) {
        if (++this->refusals >= max_refusals)
            this->give_up_holder(now);
        return;
    }
    if (this->assembly.add(chunk) == SnapshotAssembly::Result::Ignored)
        return;
    this->advanced_at = now;
    this->next_chunk = chunk.number() + 1;
    if (!this->assembly.is_complete()) {
        // One further request for each chunk that arrives keeps the window full.
        auto const missing = this->assembly.missing_chunks(this->next_chunk, window);
        return this->send_request(missing.back(), now);
    }
    this->holder.reset();
    this->callbacks.fetched(this->assembly.take());
}

bool SnapshotFetch::is_progressing(Instant now) const
{
    constexpr Duration recently = 3 * response_timeout;
    return !this->assembly.is_empty() && now - this->advanced_at < recently;
}

}
