/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibPolicyBench/Workload.h>
#include <LibScheduling/PoolScheduler.h>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <cmath>
#include <memory>
#include <unordered_map>

namespace PolicyBench {

/// The interface between the simulation and a policy. It has the shape of PoolScheduler.
class Dispatcher {
public:
    virtual ~Dispatcher() = default;
    virtual void put_engine(EngineId const&, double capacity, Instant now) = 0;
    virtual void set_draining(EngineId const&) = 0;
    virtual void submit(Scheduling::SubmitRequest const&, Instant now) = 0;
    virtual void first_token(GenerationId const&, Instant now) = 0;
    virtual void finished(GenerationId const&, AttemptNumber, Scheduling::EndReason, TokenCount output, Instant now)
        = 0;
    virtual void load_report(EngineId const&, Scheduling::LoadReport const&, Instant now) = 0;
    virtual void prefix_cached(EngineId const&, u64 prefix_hash, bool is_present) = 0;
    virtual std::vector<Scheduling::Action> tick(Instant now) = 0;
    virtual std::vector<Scheduling::Action> admit(Instant now) = 0;
};

/// The actual state of a generation, which only the clairvoyant policy may read.
struct TrueState {
    i64 output { 0 };
    i64 produced { 0 };
};
using TrueStates = std::unordered_map<GenerationId, TrueState>;

/// The limit that other policies are compared with: knows the length and the exact progress of each generation, and
/// admits those that will never exceed the memory.
class ClairvoyantAdmission {
public:
    explicit ClairvoyantAdmission(TrueStates const& states)
        : states(&states)
    {
    }

    double memory_utilisation(
        Scheduling::Tables& tables, Scheduling::EngineRow& engine, Scheduling::GenerationRow const& candidate)
    {
        struct Holding {
            double remaining;
            double size;
        };
        std::vector<Holding> holdings;
        auto add = [&](Scheduling::GenerationRow const& generation) {
            auto const& state = this->states->at(generation.id);
            holdings.push_back({ static_cast<double>(state.output - state.produced),
                generation.prompt + static_cast<double>(state.produced) });
        };
        add(candidate);
        for (auto index : engine.generations)
            add(tables.generations[index]);
        std::ranges::sort(holdings, {}, &Holding::remaining);
        double alive_size = 0;
        for (auto const& holding : holdings)
            alive_size += holding.size;
        double peak = 0;
        auto alive = static_cast<double>(holdings.size());
        for (auto const& holding : holdings) {
            peak = std::max(peak, alive_size + alive * holding.remaining);
            alive_size -= holding.size;
            alive -= 1;
        }
        // Partly filled blocks waste half a block per generation on average.
        constexpr double half_block = 8;
        return (peak + half_block * static_cast<double>(holdings.size())) / engine.capacity;
    }

private:
    TrueStates const* states;
};

/// The production scheduler, with its own or another admission policy.
template<Scheduling::AdmissionPolicy Admission>
class PoolDispatcher final : public Dispatcher {
public:
    /// `make_admission` receives the constants, which live as long as the dispatcher.
    template<typename MakeAdmission>
    PoolDispatcher(Scheduling::PolicyConstants constants, MakeAdmission make_admission)
        : constants(std::make_unique<Scheduling::PolicyConstants>(constants))
        , scheduler(make_admission(*this->constants), *this->constants)
    {
    }

    void put_engine(EngineId const& id, double capacity, Instant now) override
    {
        this->scheduler.put_engine(id, Address(id.value()), capacity, now);
        this->scheduler.load_report(id, {}, now);
    }
    void set_draining(EngineId const& id) override { this->scheduler.set_draining(id, true); }
    void submit(Scheduling::SubmitRequest const& request, Instant now) override
    {
        this->scheduler.submit(request, now);
    }
    void first_token(GenerationId const& id, Instant now) override { this->scheduler.first_token(id, now); }
    void finished(GenerationId const& id, AttemptNumber attempt, Scheduling::EndReason reason, TokenCount output,
        Instant now) override
    {
        this->scheduler.finished(id, attempt, reason, output, now);
    }
    void load_report(EngineId const& id, Scheduling::LoadReport const& report, Instant now) override
    {
        this->scheduler.load_report(id, report, now);
    }
    void prefix_cached(EngineId const& id, u64 hash, bool is_present) override
    {
        this->scheduler.prefix_cached(id, hash, is_present);
    }
    std::vector<Scheduling::Action> tick(Instant now) override { return this->scheduler.tick(now); }
    std::vector<Scheduling::Action> admit(Instant now) override { return this->scheduler.admit(now); }

private:
    std::unique_ptr<Scheduling::PolicyConstants> constants;
    Scheduling::PoolScheduler<Admission> scheduler;
};

/// Baseline: several routers that each choose an engine immediately from load reports alone. The engines queue.
class IndependentRouters final : public Dispatcher {
public:
    enum class Rule : u8 {
        LeastReported,
        /// The less loaded of two random engines, including the placements of this router since the last report.
        TwoChoices,
    };

    IndependentRouters(Rule rule, u32 router_count, u32 seed)
        : rule(rule)
        , random(seed)
        , placed_since_report(router_count)
    {
    }

    void put_engine(EngineId const& id, double, Instant) override
    {
        this->engines.push_back(id);
        this->reported[id] = 0;
    }
    void set_draining(EngineId const& id) override { std::erase(this->engines, id); }
    void submit(Scheduling::SubmitRequest const& request, Instant) override
    {
        auto& own = this->placed_since_report[this->next_router++ % this->placed_since_report.size()];
        auto const& engine = this->choose(own);
        own[engine] += static_cast<double>(request.prompt.value());
        this->actions.push_back(
            Scheduling::PlaceAction { request.generation, request.attempt, engine, Address(engine.value()), 0, "" });
    }
    void first_token(GenerationId const&, Instant) override { }
    void finished(GenerationId const&, AttemptNumber, Scheduling::EndReason, TokenCount, Instant) override { }
    void load_report(EngineId const& id, Scheduling::LoadReport const& report, Instant) override
    {
        // Counts each request that waits at the engine at a typical size.
        constexpr double typical_size = 500;
        this->reported[id] = report.used_tokens + report.waiting * typical_size;
        for (auto& own : this->placed_since_report)
            own[id] = 0;
    }
    void prefix_cached(EngineId const&, u64, bool) override { }
    std::vector<Scheduling::Action> tick(Instant now) override { return this->admit(now); }
    std::vector<Scheduling::Action> admit(Instant) override { return std::exchange(this->actions, {}); }

private:
    using Placed = std::unordered_map<EngineId, double>;

    EngineId const& choose(Placed& own)
    {
        if (this->rule == Rule::LeastReported)
            return *std::ranges::min_element(this->engines, {}, [&](EngineId const& id) { return this->reported[id]; });
        boost::random::uniform_int_distribution<size_t> draw(0, this->engines.size() - 1);
        auto const& first = this->engines[draw(this->random)];
        auto const& second = this->engines[draw(this->random)];
        return this->reported[first] + own[first] <= this->reported[second] + own[second] ? first : second;
    }

    Rule rule;
    boost::random::mt19937 random;
    std::vector<Placed> placed_since_report;
    std::vector<EngineId> engines;
    std::unordered_map<EngineId, double> reported;
    size_t next_router { 0 };
    std::vector<Scheduling::Action> actions;
};

/// Several schedulers that each act as the owner of the pool, as in a split brain after a disagreement about
/// membership. Each receives only its own requests and the load reports.
class SplitBrainOwners final : public Dispatcher {
public:
    explicit SplitBrainOwners(std::vector<std::unique_ptr<Dispatcher>> owners)
        : owners(std::move(owners))
    {
    }

    void put_engine(EngineId const& id, double capacity, Instant now) override
    {
        for (auto& owner : this->owners)
            owner->put_engine(id, capacity, now);
    }
    void set_draining(EngineId const& id) override
    {
        for (auto& owner : this->owners)
            owner->set_draining(id);
    }
    void submit(Scheduling::SubmitRequest const& request, Instant now) override
    {
        auto number = this->next++ % this->owners.size();
        this->owner_of[request.generation] = number;
        this->owners[number]->submit(request, now);
    }
    void first_token(GenerationId const& id, Instant now) override { this->owner(id).first_token(id, now); }
    void finished(GenerationId const& id, AttemptNumber attempt, Scheduling::EndReason reason, TokenCount output,
        Instant now) override
    {
        this->owner(id).finished(id, attempt, reason, output, now);
    }
    void load_report(EngineId const& id, Scheduling::LoadReport const& report, Instant now) override
    {
        for (auto& owner : this->owners)
            owner->load_report(id, report, now);
    }
    void prefix_cached(EngineId const& id, u64 hash, bool is_present) override
    {
        for (auto& owner : this->owners)
            owner->prefix_cached(id, hash, is_present);
    }
    std::vector<Scheduling::Action> tick(Instant now) override
    {
        return this->gather([now](Dispatcher& owner) { return owner.tick(now); });
    }
    std::vector<Scheduling::Action> admit(Instant now) override
    {
        return this->gather([now](Dispatcher& owner) { return owner.admit(now); });
    }

private:
    Dispatcher& owner(GenerationId const& id) { return *this->owners[this->owner_of.at(id)]; }

    template<typename GetActions>
    std::vector<Scheduling::Action> gather(GetActions get_actions)
    {
        std::vector<Scheduling::Action> all;
        for (auto& owner : this->owners) {
            auto actions = get_actions(*owner);
            all.insert(all.end(), actions.begin(), actions.end());
        }
        return all;
    }

    std::vector<std::unique_ptr<Dispatcher>> owners;
    std::unordered_map<GenerationId, size_t> owner_of;
    size_t next { 0 };
};

}
