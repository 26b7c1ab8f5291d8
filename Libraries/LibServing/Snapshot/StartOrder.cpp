/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/Snapshot/StartOrder.h>
#include <algorithm>
#include <iterator>
#include <tuple>
#include <xxhash.h>

namespace Serving {

static u64 hash_of(Address const& address) { return XXH3_64bits(address.value().data(), address.value().size()); }

StartOrder::StartOrder(SnapshotPeer const& own, std::vector<SnapshotPeer> others)
    : ordered(std::move(others))
{
    this->ordered.push_back(own);
    auto const precedence = [](SnapshotPeer const& peer) {
        return std::tuple(-static_cast<i64>(peer.strength), hash_of(peer.address), peer.address);
    };
    std::ranges::sort(this->ordered, {}, precedence);
    auto const found = std::ranges::find(this->ordered, own.address, &SnapshotPeer::address);
    this->rank = static_cast<size_t>(found - this->ordered.begin());
}

std::vector<Address> StartOrder::sources(std::vector<Address> const& holders) const
{
    auto sources = this->preferred_sources();
    auto others = sources;
    sources.resize(std::min<size_t>(sources.size(), 1));
    auto const seed = hash_of(this->ordered[this->rank].address);
    auto spread = holders;
    std::ranges::sort(spread, {}, [seed](Address const& holder) {
        auto const hash = hash_of(holder);
        return XXH3_64bits_withSeed(&hash, sizeof hash, seed);
    });
    std::ranges::copy(spread, std::back_inserter(sources));
    std::ranges::copy(others, std::back_inserter(sources));
    return sources;
}

std::vector<Address> StartOrder::preferred_sources() const
{
    std::vector<Address> sources;
    auto const& own = this->ordered[this->rank];
    auto const strongest = this->ordered.front().strength;
    if (own.strength < strongest) {
        auto const count = static_cast<size_t>(std::ranges::count(this->ordered, strongest, &SnapshotPeer::strength));
        auto const first = hash_of(own.address) % count;
        for (size_t i = 0; i < std::min(count, fan_out); ++i)
            sources.push_back(this->ordered[(first + i) % count].address);
        return sources;
    }
    for (auto number = this->rank; number > 0;) {
        number = (number - 1) / fan_out;
        sources.push_back(this->ordered[number].address);
    }
    // The first host of all has no parent, and asks those that would be its children.
    for (size_t number = 0; number < std::min(this->ordered.size(), fan_out); ++number) {
        auto const& address = this->ordered[number].address;
        if (number != this->rank && std::ranges::find(sources, address) == sources.end())
            sources.push_back(address);
    }
    return sources;
}

TableSource StartOrder::source_in(Situation const& situation) const
{
    if (!situation.knows_hosts_for)
        return situation.age < max_directory_wait ? TableSource::None : TableSource::Platform;
    auto const waited = *situation.knows_hosts_for;
    if (waited < response_wait)
        return TableSource::None;
    if (situation.fetch_is_progressing)
        return TableSource::Peers;
    bool const is_first_reader = this->rank < first_readers;
    if (is_first_reader && !situation.holder_is_known)
        return TableSource::Platform;
    auto const step = static_cast<i64>(this->rank / readers_per_step);
    return waited < reader_wait + step * reader_step ? TableSource::Peers : TableSource::Platform;
}

}
