/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibServing/Admission.h>
#include <array>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>

namespace OverloadModel {

/// Simulates in virtual time the admission of the hosts of a fleet and the engines of one service. An engine starts
/// generations in order of arrival as soon as their prompts fit into its memory, prefills one prompt at a time and
/// decodes all running generations. It does not know their output lengths. When its memory is full, it preempts the
/// newest generation, which then waits before all others and is prefilled again. All hosts of a failure domain share
/// one view of the load. It includes their own placements after a few milliseconds, and those of other domains after
/// the delay that updates have in a fleet of that size. A refused caller retries once, after the time that it was
/// given.
class ModelPool {
public:
    enum class Policy : u8 {
        /// Places each generation on the cheapest engine, however full that is.
        TakeAll,
        /// Refuses generations as the admission of LibServing decides.
        Admission,
    };
    struct Shape {
        Policy policy { Policy::Admission };
        u32 hosts { 62 };
        /// Delay of updates from other domains, in addition to the delay in a fleet of that size.
        Duration extra_update_delay { 0 };
        u32 seed { 1 };
    };
    struct Outcome {
        u32 requests { 0 };
        u32 in_time { 0 };
        /// The first event came too late, or a pause followed it: a generation that has to be prefilled again always
        /// pauses for longer than a stream may. A generation without an event is neither late nor in time.
        u32 late { 0 };
        u32 refused { 0 };
        Outcome& operator+=(Outcome const& other)
        {
            this->requests += other.requests;
            this->in_time += other.in_time;
            this->late += other.late;
            this->refused += other.refused;
            return *this;
        }
        [[nodiscard]] double share_in_time() const { return this->in_time / std::max(1.0, double(this->requests)); }
    };

    /// Time after which all requests are settled: the longest goal, the longest wait before a retry, and a reserve.
    static constexpr Duration max_settling_time = 3s;
    static constexpr u32 engine_count = 60;
    static constexpr u32 domain_count = 3;
    /// Memory of one engine, in tokens.
    static constexpr i64 memory = 21'878;

    explicit ModelPool(Shape shape)
        : shape(shape)
        , random(shape.seed)
        , choice_random(shape.seed)
        , engines(engine_count)
    {
        for (u32 i = 0; i < engine_count; ++i) {
            Serving::BackendServer server;
            server.id = EngineId("e" + std::to_string(i));
            server.service = ServiceName("models");
            server.address = Address("127.0.0.1:1000");
            server.failure_domain = domain_name(i % domain_count);
            server.slots = 24;
            for (auto& table : this->backend_tables)
                table.update(server, this->now);
        }
    }

    /// Runs for `span` with a demand of `load` times the capacity of the engines, in tokens held over time. Returns the
    /// outcome of the requests that first arrived in this span. It is complete once the simulation has run for another
    /// max_settling_time.
    std::shared_ptr<Outcome const> run(double load, Duration span)
    {
        auto outcome = std::make_shared<Outcome>();
        auto const end = this->now + span;
        this->requests_per_second = load * requests_per_second_at_capacity();
        std::exponential_distribution<double> gap(this->requests_per_second);
        for (auto at = this->now + AK::from_seconds(gap(this->random)); at < end;
             at += AK::from_seconds(gap(this->random)))
            this->schedule(at, [this, outcome] { this->submit_new(outcome); });
        this->run_until(end);
        return outcome;
    }

    /// Terminates every `interval`-th engine with all its generations and puts an empty one in its place at once.
    void replace_engines(u32 interval)
    {
        for (u32 i = 0; i < engine_count; i += interval) {
            this->engines[i] = {};
            ++this->engines[i].incarnation;
            for (auto& table : this->backend_tables)
                table.find(EngineId("e" + std::to_string(i)))->engine = {};
        }
    }

private:
    static constexpr double prefill_tokens_per_second = 9000;
    static constexpr double decode_tokens_per_second = 80;
    static constexpr i64 tokens_per_event = 4;
    static constexpr double long_request_share = 1.0 / 3;
    static constexpr Duration local_delay = 3ms;

    struct Generation {
        i64 prompt { 0 };
        i64 output { 0 };
        i64 estimated_output { 0 };
        Duration goal { 1s };
        Instant arrived_at {};
        bool is_retry { false };
        std::shared_ptr<Outcome> outcome;
    };
    struct Placement {
        Generation generation;
        u32 from_domain { 0 };
    };
    struct Running {
        Placement placement;
        /// Tokens of its output so far.
        i64 produced { 0 };
        bool has_begun { false };
        bool is_in_time { false };
        [[nodiscard]] i64 held() const { return this->placement.generation.prompt + this->produced; }
    };
    struct Engine {
        i64 used { 0 };
        bool is_prefilling { false };
        std::deque<Running> waiting;
        /// By the order in which they started to decode.
        std::map<u64, Running> running;
        u64 begun { 0 };
        u32 incarnation { 0 };
    };

    static FailureDomainId domain_name(u32 number) { return FailureDomainId("hall-" + std::to_string(number)); }

    /// Capacity for the mix of draw_generation(), from the mean tokens that a request holds and the mean time it holds
    /// them.
    static double requests_per_second_at_capacity()
    {
        constexpr double long_prompt = 3000;
        constexpr double long_output = 680;
        constexpr double short_prompt = 2200;
        constexpr double short_output = 10;
        auto held = [](double prompt, double output) {
            auto const prefill_seconds = prompt / prefill_tokens_per_second;
            return (prompt + output) * (prefill_seconds + output / decode_tokens_per_second);
        };
        auto const mean = long_request_share * held(long_prompt, long_output)
            + (1 - long_request_share) * held(short_prompt, short_output);
        return engine_count * double(memory) / mean;
    }

    Generation draw_generation()
    {
        std::uniform_real_distribution<double> uniform(0, 1);
        Generation generation;
        if (uniform(this->random) < long_request_share) {
            // A wide distribution: half have fewer than 300 tokens, and some have 1,756.
            std::lognormal_distribution<double> output(std::log(400.0), 1.34);
            std::lognormal_distribution<double> error(0, 0.8);
            generation.prompt = static_cast<i64>(3000 * (0.6 + 0.8 * uniform(this->random)));
            generation.output = std::clamp<i64>(static_cast<i64>(output(this->random)), 4, 1756);
            generation.estimated_output
                = std::clamp<i64>(static_cast<i64>(double(generation.output) * error(this->random)), 4, 1756);
            generation.goal = 1800ms;
        } else {
            generation.prompt = static_cast<i64>(2200 * (0.4 + 1.2 * uniform(this->random)));
            generation.output = generation.estimated_output = 10;
            generation.goal = 1500ms;
        }
        return generation;
    }

    /// The delay that hosts assume for updates from other domains. It excludes additional delay in the network.
    [[nodiscard]] Duration expected_remote_delay() const
    {
        // The pace at which the representatives of the domains forward updates: one more millisecond for each remote
        // host beyond twelve.
        auto const remote_hosts = i64(this->shape.hosts) * (domain_count - 1) / domain_count;
        return local_delay + std::max<i64>(0, remote_hosts - 12) * Duration(1ms);
    }
    [[nodiscard]] Duration remote_delay() const
    {
        return this->expected_remote_delay() + this->shape.extra_update_delay;
    }
    /// Estimated number of placements by other domains that a host has no update of yet, from its own request rate.
    [[nodiscard]] double unseen_placements() const
    {
        return this->requests_per_second / domain_count * AK::to_seconds(this->expected_remote_delay());
    }

    void submit_new(std::shared_ptr<Outcome> outcome)
    {
        auto generation = this->draw_generation();
        generation.arrived_at = this->now;
        generation.outcome = std::move(outcome);
        ++generation.outcome->requests;
        this->submit(std::move(generation));
    }

    void submit(Generation generation)
    {
        auto const domain = std::uniform_int_distribution<u32>(0, domain_count - 1)(this->random);
        auto const decision = this->decide(domain, generation);
        if (decision.engine) {
            auto const number = std::stoul(decision.engine->server.id.value().substr(1));
            return this->place(static_cast<u32>(number), { std::move(generation), domain });
        }
        if (generation.is_retry) {
            ++generation.outcome->refused;
            return;
        }
        generation.is_retry = true;
        this->schedule(this->now + decision.retry_after, [this, generation] { this->submit(generation); });
    }

    Serving::Admission decide(u32 domain, Generation const& generation)
    {
        auto const name = domain_name(domain);
        Serving::ChoiceInputs const inputs { name, {}, this->now, 0.3, {}, name, this->unseen_placements() };
        Serving::GenerationNeed const need { TokenCount(generation.prompt), TokenCount(generation.estimated_output) };
        auto const& candidates = this->backend_tables[domain].of_service(ServiceName("models"));
        if (this->shape.policy == Policy::Admission)
            return Serving::admit(
                candidates, {}, { need, generation.goal }, TokenCount(memory), inputs, this->choice_random);
        Serving::Admission admission;
        admission.engine
            = Serving::choose_for_generation(candidates, {}, need, TokenCount(memory), inputs, this->choice_random);
        return admission;
    }

    void place(u32 number, Placement placement)
    {
        auto const domain = placement.from_domain;
        auto const prompt = placement.generation.prompt;
        this->broadcast_change(number, domain, [prompt](Serving::EngineLoad& load) {
            ++load.peer_generations;
            load.peer_tokens += prompt;
            load.peer_unread_tokens += prompt;
        });
        this->engines[number].waiting.push_back({ std::move(placement) });
        this->advance(number);
    }

    /// Starts to prefill the next generation in the queue of the engine once it fits into the memory.
    void advance(u32 number)
    {
        auto& engine = this->engines[number];
        if (engine.is_prefilling || engine.waiting.empty())
            return;
        auto const next = engine.waiting.front();
        if (engine.used + next.held() > memory)
            return;
        engine.waiting.pop_front();
        engine.used += next.held();
        engine.is_prefilling = true;
        auto const prefill_duration = AK::from_seconds(double(next.held()) / prefill_tokens_per_second);
        this->schedule_for(
            number, this->now + prefill_duration, [this, number, next] { this->start_decoding(number, next); });
    }

    void start_decoding(u32 number, Running prefilled)
    {
        auto& engine = this->engines[number];
        engine.is_prefilling = false;
        if (!std::exchange(prefilled.has_begun, true))
            prefilled.is_in_time = this->emit_first_event(number, prefilled.placement);
        auto const id = engine.begun++;
        engine.running.emplace(id, prefilled);
        this->emit_events(number, id);
        this->advance(number);
    }

    /// Returns whether the event is in time.
    bool emit_first_event(u32 number, Placement const& placement)
    {
        auto const& generation = placement.generation;
        bool const is_late = this->now - generation.arrived_at > generation.goal;
        ++(is_late ? generation.outcome->late : generation.outcome->in_time);
        this->broadcast_change(number, placement.from_domain,
            [prompt = generation.prompt](Serving::EngineLoad& load) { load.peer_unread_tokens -= prompt; });
        return !is_late;
    }

    void emit_events(u32 number, u64 id)
    {
        auto& engine = this->engines[number];
        auto const running = engine.running.find(id);
        if (running == engine.running.end())
            return;
        auto const left = running->second.placement.generation.output - running->second.produced;
        if (left <= 0)
            return this->finish(number, id);
        auto const step = std::min(left, 20 * tokens_per_event);
        if (!this->preempt_until_free(number, id, step))
            return;
        running->second.produced += step;
        engine.used += step;
        this->broadcast_change(number, running->second.placement.from_domain,
            [step](Serving::EngineLoad& load) { load.peer_tokens += step; });
        this->schedule_for(number, this->now + AK::from_seconds(double(step) / decode_tokens_per_second),
            [this, number, id] { this->emit_events(number, id); });
    }

    /// Preempts the newest generations until `tokens` more fit. Returns whether generation `id` still runs.
    bool preempt_until_free(u32 number, u64 id, i64 tokens)
    {
        auto& engine = this->engines[number];
        while (engine.used + tokens > memory) {
            auto const newest = std::prev(engine.running.end());
            bool const is_itself = newest->first == id;
            engine.used -= newest->second.held();
            this->record_pause(newest->second);
            engine.waiting.push_front(newest->second);
            engine.running.erase(newest);
            if (is_itself)
                return false;
        }
        return true;
    }

    static void record_pause(Running& paused)
    {
        if (!std::exchange(paused.is_in_time, false))
            return;
        --paused.placement.generation.outcome->in_time;
        ++paused.placement.generation.outcome->late;
    }

    void finish(u32 number, u64 id)
    {
        auto& engine = this->engines[number];
        auto const finished = engine.running.extract(id).mapped();
        engine.used -= finished.held();
        this->broadcast_change(
            number, finished.placement.from_domain, [held = finished.held()](Serving::EngineLoad& load) {
                --load.peer_generations;
                load.peer_tokens -= held;
            });
        this->advance(number);
    }

    /// Applies a change of an engine's load, made by the hosts of `domain`, to the view of each domain after its delay.
    void broadcast_change(u32 number, u32 domain, std::function<void(Serving::EngineLoad&)> change)
    {
        for (u32 i = 0; i < domain_count; ++i) {
            auto const delay = i == domain ? local_delay : this->remote_delay();
            this->schedule_for(number, this->now + delay, [this, i, number, change] {
                change(this->backend_tables[i].find(EngineId("e" + std::to_string(number)))->engine);
            });
        }
    }

    void schedule(Instant at, std::function<void()> action)
    {
        this->events.push({ at, this->scheduled++, std::move(action) });
    }
    /// Skips the action if the engine has been replaced by then.
    void schedule_for(u32 number, Instant at, std::function<void()> action)
    {
        this->schedule(at, [this, number, incarnation = this->engines[number].incarnation, action = std::move(action)] {
            if (this->engines[number].incarnation == incarnation)
                action();
        });
    }

    void run_until(Instant end)
    {
        while (!this->events.empty() && this->events.top().at <= end) {
            auto event = this->events.top();
            this->events.pop();
            this->now = event.at;
            event.action();
        }
        this->now = end;
    }

    struct Event {
        Instant at;
        u64 number { 0 };
        std::function<void()> action;
        bool operator<(Event const& other) const
        {
            return std::pair(other.at, other.number) < std::pair(this->at, this->number);
        }
    };

    Shape shape;
    std::mt19937 random;
    boost::random::mt19937 choice_random;
    std::vector<Engine> engines;
    std::array<Serving::BackendTable, domain_count> backend_tables;
    std::priority_queue<Event> events;
    u64 scheduled { 0 };
    double requests_per_second { 0 };
    Instant now { 100s };
};

}
