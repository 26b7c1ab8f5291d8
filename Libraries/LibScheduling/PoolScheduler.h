/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibScheduling/EngineChooser.h>
#include <LibScheduling/PoolState.h>
#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace Scheduling {

/// Decides for one pool which generation is placed on which engine, when, and which requests are refused. Time is an
/// argument and decisions are returned as actions, so that the daemon and the bench run the same code.
template<AdmissionPolicy Admission>
class PoolScheduler final : public PoolState {
public:
    PoolScheduler(Admission admission, PolicyConstants const& constants)
        : PoolState(constants)
        , chooser(std::move(admission), constants, this->tables)
    {
    }

    /// Runs all systems and returns the resulting actions.
    std::vector<Action> tick(Instant now);
    /// Places the requests that fit now without refreshing the forecasts. For arrivals and completions between two
    /// ticks.
    std::vector<Action> admit(Instant now);

private:
    void run_admission(Instant now);
    /// Places the first request that fits an engine, of the first few in the queue of an organisation.
    bool place_one_of(OrganisationIndex, Instant now);

    EngineChooser<Admission> chooser;
};

template<AdmissionPolicy Admission>
bool PoolScheduler<Admission>::place_one_of(OrganisationIndex organisation, Instant now)
{
    auto const& queue = this->tables.organisations[organisation].queue;
    auto depth = std::min(queue.size(), this->constants.bypass_depth);
    for (size_t i = 0; i < depth; ++i) {
        auto index = queue[i];
        std::string reason;
        auto engine = this->chooser.choose(this->tables.generations[index], reason);
        if (engine) {
            this->place(index, *engine, std::move(reason), now);
            return true;
        }
        // Others may bypass a request that does not fit. After a while, one engine is reserved for it.
        auto const& generation = this->tables.generations[index];
        if (this->has_waited_long(generation, now)) {
            if (!this->constants.reserves_engine)
                return false;
            this->chooser.reserve_for(generation);
        }
    }
    return false;
}

template<AdmissionPolicy Admission>
void PoolScheduler<Admission>::run_admission(Instant now)
{
    std::vector<bool> skipped(this->tables.organisations.size(), false);
    this->chooser.drop_reservations();
    while (this->tables.queued_count > 0) {
        auto organisation = this->next_organisation(skipped);
        if (!organisation)
            return;
        if (this->place_one_of(*organisation, now))
            continue;
        this->tables.last_memory_shortage = now;
        auto const& head = this->tables.generations[this->tables.organisations[*organisation].queue.front()];
        if (this->has_waited_long(head, now) && !this->constants.reserves_engine)
            return;
        skipped[*organisation] = true;
    }
}

template<AdmissionPolicy Admission>
std::vector<Action> PoolScheduler<Admission>::admit(Instant now)
{
    this->run_admission(now);
    return std::exchange(this->tables.actions, {});
}

template<AdmissionPolicy Admission>
std::vector<Action> PoolScheduler<Admission>::tick(Instant now)
{
    constexpr size_t max_usage_samples = 128;
    advance_progress(this->tables, now);
    expire_engines(this->tables, this->constants, now);
    for (auto& engine : this->tables.engines) {
        double usage = 0;
        for (auto index : engine.generations)
            usage += this->tables.generations[index].prompt + this->tables.generations[index].produced;
        engine.usage_history.emplace_back(now, usage);
        if (engine.usage_history.size() > max_usage_samples)
            engine.usage_history.pop_front();
    }
    auto& last_large = this->tables.last_large_request;
    if (last_large && now - *last_large > this->constants.large_request_window)
        last_large.reset();
    expire_queue(this->tables, now);
    return this->admit(now);
}

}
