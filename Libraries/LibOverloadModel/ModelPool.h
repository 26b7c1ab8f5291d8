/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibOverload/OrganisationShares.h>
#include <LibOverload/WaitingList.h>
#include <LibOverloadModel/Outcome.h>
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
        /// Refuses generations as the admission of LibServing decides without a belief about a shortage.
        Admission,
        /// The same; in a shortage, capacity is left free for more urgent generations.
        Priorities,
        /// The same; generations also wait at their host.
        Waiting,
        /// The same; organisations above their fair share also leave capacity for those below it.
        Shares,
    };
    struct Shape {
        Policy policy { Policy::Admission };
        u32 hosts { 62 };
        /// Delay of updates from other domains, in addition to the delay in a fleet of that size.
        Duration extra_update_delay { 0 };
        u32 seed { 1 };
    };
    using Outcome = OverloadModel::Outcome;

    /// Time after which all requests are settled: the longest goal, the longest wait before a retry, and a reserve.
    static constexpr Duration max_settling_time = 3s;
    /// The same, for generations that wait twice.
    static constexpr Duration max_settling_time_with_waits = 9s;
    static constexpr u32 engine_count = 60;
    static constexpr u32 domain_count = 3;
    static constexpr u32 slots = 24;
    /// Memory of one engine, in tokens.
    static constexpr i64 memory = 21'878;

    /// One organisation requests so many times as much as each other one.
    void set_large_organisation(double times) { this->large_organisation = times; }
    [[nodiscard]] Duration settling_time() const
    {
        return this->has_waiting() ? max_settling_time_with_waits : max_settling_time;
    }

    explicit ModelPool(Shape shape)
        : shape(shape)
        , random(shape.seed)
        , choice_random(shape.seed)
        , look_random(shape.seed)
        , engines(engine_count)
        , hosts(std::max(shape.hosts, domain_count))
    {
        for (u32 i = 0; i < engine_count; ++i) {
            Serving::BackendServer server;
            server.id = EngineId("e" + std::to_string(i));
            server.service = ServiceName("models");
            server.address = Address("127.0.0.1:1000");
            server.failure_domain = domain_name(i % domain_count);
            server.slots = slots;
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
        Duration deadline { 6s };
        /// 0 is the more urgent kind.
        u32 priority { 0 };
        u32 organisation { 0 };
        Instant arrived_at {};
        /// Arrival of the current attempt.
        Instant received_at {};
        u32 host { 0 };
        bool has_waited { false };
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
            generation.deadline = 11s;
            generation.priority = 2;
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
        generation.organisation = this->draw_organisation();
        count(generation, &Tally::requests);
        this->submit(std::move(generation));
    }

    /// Does not use the generator of the requests, so that these are the same with and without organisations.
    u32 draw_organisation()
    {
        std::uniform_real_distribution<double> uniform(0, this->large_organisation + organisation_count - 1);
        auto const drawn = uniform(this->look_random) - this->large_organisation;
        return drawn < 0 ? 0 : 1 + static_cast<u32>(drawn) % (organisation_count - 1);
    }

    /// Adds to a counter of all tallies that the generation belongs to.
    static void count(Generation const& generation, u32 Tally::*counter, int change = 1)
    {
        auto& outcome = *generation.outcome;
        auto add = [&](Tally& tally) { tally.*counter += static_cast<u32>(change); };
        add(outcome);
        add(generation.priority == 0 ? outcome.urgent : outcome.less_urgent);
        add(outcome.organisations[generation.organisation]);
    }

    [[nodiscard]] bool has_waiting() const { return this->shape.policy >= Policy::Waiting; }

    void submit(Generation generation)
    {
        auto const domain = std::uniform_int_distribution<u32>(0, domain_count - 1)(this->random);
        // The hosts of a domain are those whose number has the same remainder.
        auto const hosts_of_domain = static_cast<u32>(this->hosts.size()) / domain_count;
        generation.host = domain + domain_count * (this->look_random() % hosts_of_domain);
        generation.received_at = this->now;
        generation.has_waited = false;
        if (this->shape.policy >= Policy::Priorities)
            this->domains[domain].kinds.record(generation.priority, generation.goal, TokenCount(generation.prompt),
                TokenCount(generation.estimated_output), this->now);
        this->try_to_place(std::move(generation), false);
    }

    /// Returns whether the generation was placed, or is no longer to wait.
    bool try_to_place(Generation generation, bool is_look)
    {
        auto const domain = generation.host % domain_count;
        auto const decision = this->decide(domain, generation);
        this->record_signs(generation, decision);
        bool const is_behind = !is_look && !generation.has_waited
            && this->hosts[generation.host].list.has_before(generation.priority, this->now);
        if ((is_behind || !decision.engine) && (is_look || this->wait(generation)))
            return false;
        if (!decision.engine) {
            this->refuse(std::move(generation), decision.retry_after);
            return true;
        }
        auto const number = std::stoul(decision.engine->server.id.value().substr(1));
        this->domains[domain].shares.record_placed(
            organisation_of(generation), TokenCount(generation.prompt + generation.estimated_output), this->now);
        this->place(static_cast<u32>(number), { std::move(generation), domain });
        return true;
    }

    void refuse(Generation generation, Duration retry_after)
    {
        if (generation.is_retry) {
            count(generation, &Tally::refused);
            size_t taken = 0;
            for (auto const& engine : this->engines)
                taken += engine.running.size() + engine.waiting.size();
            if (2 * taken < size_t(engine_count) * slots)
                ++generation.outcome->refused_while_half_free;
            return;
        }
        generation.is_retry = true;
        this->schedule(this->now + retry_after, [this, generation] { this->submit(generation); });
    }

    static OrganisationId organisation_of(Generation const& generation)
    {
        return OrganisationId("o" + std::to_string(generation.organisation));
    }

    /// Hosts of other domains know of a sign after the delay of updates.
    void record_signs(Generation const& generation, Serving::Admission const& decision)
    {
        if (this->shape.policy < Policy::Priorities || (decision.engine && decision.has_capacity_for_most_urgent))
            return;
        auto const domain = generation.host % domain_count;
        this->domains[domain].shortage.record_sign(generation.priority, this->now);
        if (!decision.engine)
            this->domains[domain].shares.record_lacking(
                organisation_of(generation), TokenCount(generation.prompt + generation.estimated_output), this->now);
        this->share_reports(domain);
    }

    void share_reports(u32 domain)
    {
        constexpr Duration report_period = 500ms;
        auto& from = this->domains[domain];
        if (this->now - from.reported_at < report_period)
            return;
        from.reported_at = this->now;
        auto const report = from.shortage.report(Overload::SignScope::Domain, this->now);
        auto const use = from.shares.report(Overload::SignScope::Domain, this->now);
        MemberId const name(domain_name(domain).value());
        for (u32 i = 0; i < domain_count; ++i) {
            if (i == domain || !report)
                continue;
            this->schedule(this->now + this->remote_delay(), [this, i, name, report, use] {
                this->domains[i].shortage.apply(name, Overload::SignScope::Domain, *report, this->now);
                this->domains[i].shares.apply(name, Overload::SignScope::Domain, use, this->now);
            });
        }
    }

    /// Lets the generation wait at its host. Returns false if it may not.
    bool wait(Generation generation)
    {
        auto const domain = generation.host % domain_count;
        auto& host = this->hosts[generation.host];
        if (!this->has_waiting() || generation.has_waited || !this->domains[domain].shortage.is_present(this->now))
            return false;
        generation.has_waited = true;
        auto const reading_time = AK::from_seconds(double(generation.prompt) / (prefill_tokens_per_second / 2));
        auto const bounds = Overload::wait_bounds(
            generation.received_at, generation.goal, generation.received_at + generation.deadline, reading_time);
        auto const use = this->shape.policy >= Policy::Shares
            ? this->domains[domain].shares.use_of_share(organisation_of(generation), this->now)
            : 0;
        auto const added = host.list.add({ generation.priority, generation.is_retry, use, bounds, 8000 }, this->now);
        if (!added.id)
            return false;
        for (auto const displaced : added.displaced)
            this->give_up_waiting(host, displaced);
        host.waiting.emplace(*added.id, std::move(generation));
        this->schedule_look(domain, host);
        return true;
    }

    struct Host {
        Overload::WaitingList list;
        std::map<Overload::WaiterId, Generation> waiting;
        bool is_scheduled { false };
    };
    struct Domain {
        Overload::GenerationKinds kinds;
        Overload::Shortage shortage;
        Overload::OrganisationShares shares;
        Instant reported_at {};
    };

    void schedule_look(u32 domain, Host& host)
    {
        if (host.waiting.empty() || std::exchange(host.is_scheduled, true))
            return;
        u32 count = 0;
        for (size_t i = domain; i < this->hosts.size(); i += domain_count)
            count += this->hosts[i].waiting.empty() ? 0 : 1;
        std::uniform_real_distribution<double> seconds(0, 2 * AK::to_seconds(Overload::mean_time_between_looks(count)));
        this->schedule(this->now + AK::from_seconds(seconds(this->look_random)), [this, domain, &host] {
            host.is_scheduled = false;
            this->look(host);
            this->schedule_look(domain, host);
        });
    }

    void look(Host& host)
    {
        constexpr int max_failed_looks = 3;
        for (auto const id : host.list.expired(this->now))
            this->give_up_waiting(host, id);
        int failed = 0;
        for (auto const id : host.list.in_order(this->now)) {
            if (this->try_to_place(host.waiting.at(id), true)) {
                host.waiting.erase(id);
                host.list.remove(id);
            } else if (++failed >= max_failed_looks) {
                return;
            }
        }
    }

    void give_up_waiting(Host& host, Overload::WaiterId id)
    {
        auto generation = host.waiting.extract(id).mapped();
        host.list.remove(id);
        this->try_to_place(std::move(generation), false);
    }

    Serving::Admission decide(u32 domain, Generation const& generation)
    {
        auto const name = domain_name(domain);
        Serving::ChoiceInputs const inputs { name, {}, this->now, 0.3, {}, name, this->unseen_placements() };
        Serving::GenerationNeed const need { TokenCount(generation.prompt), TokenCount(generation.estimated_output) };
        auto const& candidates = this->backend_tables[domain].of_service(ServiceName("models"));
        if (this->shape.policy == Policy::TakeAll) {
            Serving::Admission admission;
            admission.engine
                = Serving::choose_for_generation(candidates, {}, need, TokenCount(memory), inputs, this->choice_random);
            return admission;
        }
        auto const limits = this->limits(this->domains[domain], generation);
        auto const due_in = generation.goal - (this->now - generation.received_at);
        Serving::AdmissionDemand const demand { need, due_in, limits.keep_free_for, limits.most_urgent };
        return Serving::admit(candidates, {}, demand, TokenCount(memory), inputs, this->choice_random);
    }

    struct Limits {
        std::vector<Overload::GenerationKind> keep_free_for;
        std::vector<Overload::GenerationKind> most_urgent;
    };
    Limits limits(Domain& domain, Generation const& generation)
    {
        Limits limits;
        if (this->shape.policy < Policy::Priorities)
            return limits;
        limits.most_urgent = domain.kinds.with_priority(0, this->now);
        if (!domain.shortage.is_present(this->now))
            return limits;
        limits.keep_free_for = domain.kinds.more_urgent_than(generation.priority, this->now);
        bool const yields
            = this->shape.policy >= Policy::Shares && domain.shares.must_yield(organisation_of(generation), this->now);
        if (yields) {
            auto const own = domain.kinds.with_priority(generation.priority, this->now);
            limits.keep_free_for.insert(limits.keep_free_for.end(), own.begin(), own.end());
        }
        return limits;
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
        count(generation, is_late ? &Tally::late : &Tally::in_time);
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
        count(paused.placement.generation, &Tally::in_time, -1);
        count(paused.placement.generation, &Tally::late);
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
    /// For what the former policies do not draw, so that their requests stay the same.
    std::mt19937 look_random;
    std::vector<Engine> engines;
    /// Host i is in domain i modulo the number of domains.
    std::vector<Host> hosts;
    std::array<Domain, domain_count> domains;
    double large_organisation { 1 };
    std::array<Serving::BackendTable, domain_count> backend_tables;
    std::priority_queue<Event> events;
    u64 scheduled { 0 };
    double requests_per_second { 0 };
    Instant now { 100s };
};

}
