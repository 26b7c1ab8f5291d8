/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibOverload/ReturnPlan.h>
#include <LibOverload/ReturningCallers.h>
#include <functional>
#include <queue>
#include <random>

/// Simulates in virtual time the engines of one service, the hosts before them, and callers that return once. An engine
/// takes what fits into its memory, and each host knows at once which have room: only when callers return is examined.
class ReturningPool {
public:
    enum class Policy : u8 {
        /// Each refused caller returns after 200 to 400 ms.
        ShortTime,
        Plan,
    };
    struct Shape {
        Policy policy { Policy::Plan };
        u32 hosts { 6 };
        u32 domains { 1 };
        u32 engines { 30 };
        Duration message_delay { 3ms };
        u32 seed { 1 };
    };
    struct Outcome {
        u32 requests { 0 };
        u32 served_at_once { 0 };
        u32 returned { 0 };
        u32 returned_in_time { 0 };
        u32 returned_late { 0 };
        u32 refused_again { 0 };
        /// The same for those that were promised capacity.
        u32 promised { 0 };
        u32 promised_in_time { 0 };
        u32 promised_served { 0 };
        Duration longest_return { 0 };

        Outcome& operator+=(Outcome const& other)
        {
            this->requests += other.requests;
            this->served_at_once += other.served_at_once;
            this->returned += other.returned;
            this->returned_in_time += other.returned_in_time;
            this->returned_late += other.returned_late;
            this->refused_again += other.refused_again;
            this->promised += other.promised;
            this->promised_in_time += other.promised_in_time;
            this->promised_served += other.promised_served;
            this->longest_return = std::max(this->longest_return, other.longest_return);
            return *this;
        }
        [[nodiscard]] u32 returned_served() const { return this->returned_in_time + this->returned_late; }
        [[nodiscard]] u32 in_time() const { return this->served_at_once + this->returned_in_time; }
    };

    explicit ReturningPool(Shape shape)
        : shape(shape)
        , random(shape.seed)
        , engines(shape.engines)
        , hosts(shape.hosts)
    {
    }

    /// Callers come for `span` with this load, as a share of the engines' capacity.
    void run(double load, Duration span)
    {
        auto const end = this->now + span;
        std::exponential_distribution<double> gap(load * this->requests_per_second());
        for (auto at = this->now + AK::from_seconds(gap(this->random)); at < end;
             at += AK::from_seconds(gap(this->random)))
            this->schedule(at, [this] { this->submit_new(); });
        this->run_until(end);
    }

    /// The first `count` engines fail with what they run, and do not take work until they are restored.
    void set_failed(u32 count, bool is_failed)
    {
        for (u32 i = 0; i < count; ++i) {
            this->engines[i].is_failed = is_failed;
            if (!is_failed)
                continue;
            this->engines[i].used = 0;
            this->engines[i].generations = 0;
            ++this->engines[i].incarnation;
        }
    }

    Outcome outcome;

private:
    static constexpr i64 memory = 21'000;
    static constexpr double prompt_tokens_per_second = 7000;
    static constexpr double output_tokens_per_second = 80;

    struct Generation {
        i64 prompt { 0 };
        i64 output { 0 };
        Duration goal { 0 };
        Instant arrived_at {};
        Instant deadline {};
        u64 fingerprint { 0 };
        bool is_return { false };
        bool is_promised { false };
        [[nodiscard]] i64 tokens() const { return this->prompt + this->output; }
        [[nodiscard]] double reading_seconds() const
        {
            return static_cast<double>(this->prompt) / prompt_tokens_per_second;
        }
        [[nodiscard]] double seconds() const
        {
            return this->reading_seconds() + static_cast<double>(this->output) / output_tokens_per_second;
        }
    };
    struct Engine {
        i64 used { 0 };
        u32 generations { 0 };
        u32 incarnation { 0 };
        bool is_failed { false };
    };
    struct Host {
        Overload::ReturnPlan plan;
        Overload::ReturningCallers callers;
    };

    /// Two of three are short and due soon; the others run for some seconds.
    Generation draw()
    {
        std::uniform_real_distribution<double> uniform(0, 1);
        Generation generation;
        bool const is_short = uniform(this->random) < 2.0 / 3;
        generation.prompt = static_cast<i64>((is_short ? 2200 : 3000) * (0.5 + uniform(this->random)));
        generation.output = is_short ? 10 : static_cast<i64>(50 + 800 * uniform(this->random));
        generation.goal = is_short ? 1500ms : 4s;
        generation.arrived_at = this->now;
        generation.deadline = this->now + (is_short ? Duration(6s) : Duration(39s));
        generation.fingerprint = ++this->fingerprints;
        return generation;
    }

    [[nodiscard]] double requests_per_second() const
    {
        // A short one holds 2,210 tokens for 0.44 s, a long one 3,450 tokens for 6 s.
        constexpr double mean_token_seconds = (2.0 / 3) * 2210 * 0.44 + (1.0 / 3) * 3450 * 6.05;
        return 0.9 * this->shape.engines * memory / mean_token_seconds;
    }

    void submit_new()
    {
        ++this->outcome.requests;
        this->submit(this->draw());
    }

    void submit(Generation generation)
    {
        auto const number = std::uniform_int_distribution<u32>(0, this->shape.hosts - 1)(this->random);
        auto& host = this->hosts[number];
        if (auto const returned = host.callers.take(generation.fingerprint, this->now); returned.entry)
            host.plan.record_returned(returned.entry->due, returned.entry->demand, this->now);
        Engine* chosen = nullptr;
        for (auto& engine : this->engines) {
            bool const fits = !engine.is_failed && engine.used + generation.tokens() <= memory;
            if (fits && (!chosen || engine.used < chosen->used))
                chosen = &engine;
        }
        if (chosen)
            return this->place(number, *chosen, generation);
        if (generation.is_return) {
            ++this->outcome.refused_again;
            // A host does not know that this caller will not return once more.
            if (this->shape.policy == Policy::Plan)
                this->plan_return(number, generation, 0.5);
            return;
        }
        this->refuse(number, generation);
    }

    void place(u32 number, Engine& engine, Generation const& generation)
    {
        this->hosts[number].plan.record_admitted(generation.tokens(), this->now);
        this->count(generation);
        engine.used += generation.tokens();
        ++engine.generations;
        auto const ran = AK::from_seconds(generation.seconds());
        this->schedule(this->now + ran, [this, number, &engine, generation, ran, incarnation = engine.incarnation] {
            if (engine.incarnation != incarnation)
                return;
            engine.used -= generation.tokens();
            --engine.generations;
            this->hosts[number].plan.record_ended({ generation.tokens(), generation.prompt, ran }, this->now);
        });
    }

    void count(Generation const& generation)
    {
        if (!generation.is_return) {
            ++this->outcome.served_at_once;
            return;
        }
        auto const first_event = this->now + AK::from_seconds(generation.reading_seconds());
        bool const is_in_time = first_event <= generation.arrived_at + generation.goal;
        ++(is_in_time ? this->outcome.returned_in_time : this->outcome.returned_late);
        this->outcome.promised_served += generation.is_promised;
        this->outcome.promised_in_time += generation.is_promised && is_in_time;
    }

    void refuse(u32 number, Generation generation)
    {
        auto const draw = std::uniform_real_distribution<double>(0, 1)(this->random);
        auto after = 200ms + AK::from_seconds(0.2 * draw);
        if (this->shape.policy == Policy::Plan)
            after = this->plan_return(number, generation, draw);
        ++this->outcome.returned;
        this->outcome.longest_return = std::max(this->outcome.longest_return, after);
        generation.is_return = true;
        this->schedule(this->now + after, [this, generation] { this->submit(generation); });
    }

    Duration plan_return(u32 number, Generation& generation, double draw)
    {
        Overload::ReturnDemand const demand { 1, generation.tokens(), generation.prompt };
        Overload::RefusedGeneration const refused { demand, generation.goal,
            AK::from_seconds(generation.reading_seconds()), 0s, generation.deadline - this->now };
        auto& host = this->hosts[number];
        auto const decision = host.plan.refuse(refused, this->pool_use(), draw, this->now);
        using Basis = Overload::ReturnTime::Basis;
        if (generation.is_return)
            return decision.after;
        generation.is_promised = decision.basis == Basis::Promised || decision.basis == Basis::PromisedLate;
        if (generation.is_promised) {
            ++this->outcome.promised;
            host.callers.record(
                generation.fingerprint, { ServiceName("models"), demand, this->now + decision.after }, this->now);
        }
        this->announce(number);
        return decision.after;
    }

    [[nodiscard]] Overload::PoolUse pool_use() const
    {
        Overload::PoolUse use;
        use.domain_share = 1.0 / this->shape.domains;
        for (auto const& engine : this->engines) {
            use.tokens += engine.used;
            use.generations += engine.generations;
        }
        return use;
    }

    void announce(u32 number)
    {
        auto const announcements = this->hosts[number].plan.book.take_announcements(this->now, 8);
        if (announcements.empty())
            return;
        this->schedule(this->now + this->shape.message_delay, [this, number, announcements] {
            for (u32 i = 0; i < this->shape.hosts; ++i) {
                if (i == number || i % this->shape.domains != number % this->shape.domains)
                    continue;
                for (auto const& announcement : announcements)
                    this->hosts[i].plan.apply(MemberId(std::to_string(number)), announcement, this->now);
            }
        });
    }

    void schedule(Instant at, std::function<void()> action)
    {
        this->events.push({ at, this->scheduled++, std::move(action) });
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
    std::vector<Engine> engines;
    std::vector<Host> hosts;
    std::priority_queue<Event> events;
    u64 scheduled { 0 };
    u64 fingerprints { 0 };
    Instant now { 100s };
};
