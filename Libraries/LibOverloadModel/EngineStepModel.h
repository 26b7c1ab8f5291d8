/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibServing/Admission.h>
#include <algorithm>
#include <array>
#include <deque>
#include <memory>
#include <queue>
#include <random>

namespace OverloadModel {

/// Simulates in virtual time the pauses of streams on engines that work in steps. In each step an engine makes one
/// token of every stream and reads a chunk of the first waiting prompt, so prompts lengthen the pauses of the streams
/// beside them. A quarter of the engines is fast. The machines also run other programs, which slow each of them down
/// now and then. Engines are replaced in turn, and their generations are moved live. The hosts of each failure domain
/// share one view of the engines; work that other domains have placed shows in it after a delay.
class EngineStepModel {
public:
    enum class Policy : u8 {
        /// Memory and unread prompts decide; speeds are not considered.
        ByMemory,
        /// Each generation goes to a fast engine while one has capacity.
        FastFirst,
        /// The expected pauses are part of the cost of a placement.
        ByPauses,
        /// Short generations go to a fixed part of the engines, which is drawn by a hash, and long ones to the others.
        KeptForShort,
        /// Fast engines read all prompts. Long generations are then handed over to an engine that reads none, unless
        /// engines are being replaced.
        HandedOver,
    };
    struct Shape {
        Policy policy { Policy::ByPauses };
        /// Delay of updates from other domains.
        Duration update_delay { 20ms };
        /// Demand, as a multiple of 20 long and 24 short generations per second.
        double load { 1 };
        u32 seed { 1 };
    };
    struct Outcome {
        u32 long_generations { 0 };
        u32 long_in_goal { 0 };
        u32 short_generations { 0 };
        u32 short_in_goal { 0 };
        u32 refused { 0 };
        /// Generations whose first event was late, and preemptions, each because of which a generation misses its goal.
        u32 late_first_events { 0 };
        u32 preemptions { 0 };
        u32 handed_over { 0 };
        Outcome& operator+=(Outcome const& other)
        {
            this->long_generations += other.long_generations;
            this->long_in_goal += other.long_in_goal;
            this->short_generations += other.short_generations;
            this->short_in_goal += other.short_in_goal;
            this->refused += other.refused;
            this->late_first_events += other.late_first_events;
            this->preemptions += other.preemptions;
            this->handed_over += other.handed_over;
            return *this;
        }
        [[nodiscard]] double long_share() const { return share(this->long_in_goal, this->long_generations); }
        [[nodiscard]] double short_share() const { return share(this->short_in_goal, this->short_generations); }

    private:
        static double share(u32 part, u32 all) { return double(part) / std::max(1.0, double(all)); }
    };

    explicit EngineStepModel(Shape shape)
        : shape(shape)
        , random(shape.seed)
        , choice_random(shape.seed)
    {
        for (u32 number = 0; number < engine_count; ++number) {
            for (auto& table : this->tables)
                table.update(this->description(number), this->now);
            this->add_pace(number);
        }
        this->change_slowness();
        this->replace_engines(0);
    }

    /// Runs for `span` and returns the outcome of the generations that arrived in it, after all of them have ended.
    Outcome run(Duration span)
    {
        this->counts_until = this->now + warm_up + span;
        this->counts_from = this->now + warm_up;
        this->schedule_arrival(true);
        this->schedule_arrival(false);
        this->run_until(this->counts_until + max_stream_time);
        return this->outcome;
    }

private:
    static constexpr u32 engine_count = 45;
    static constexpr u32 domain_count = 3;
    static constexpr u32 kinds = 4;
    static constexpr i64 memory = 26'892;
    static constexpr u32 slots = 24;
    static constexpr i64 chunk = 112;
    static constexpr i64 tokens_per_event = 4;
    static constexpr Duration step_time = 7ms;
    static constexpr Duration step_time_of_stream = 120us;
    static constexpr Duration step_time_of_chunk = 8ms;
    static constexpr double fast_factor = 0.55;
    static constexpr double slow_factor = 1.2;
    static constexpr double slowed_factor = 2.5;
    static constexpr double slowed_share = 0.15;
    static constexpr Duration slowness_period = 600ms;
    static constexpr Duration gap_goal = 180ms;
    static constexpr Duration first_event_goal = 1800ms;
    static constexpr Duration local_delay = 3ms;
    static constexpr Duration warm_up = 10s;
    static constexpr Duration max_stream_time = 60s;
    static constexpr Duration replacement_period = 3300ms;
    static constexpr Duration notice = 1500ms;
    static constexpr Duration move_pause = 37ms;
    static constexpr Duration copy_time = 200ms;
    static constexpr double copied_tokens_per_second = 18'000;
    static constexpr u32 replaced_in_turn = 6;
    static constexpr i64 min_long_output = 40;
    /// Time until the hosts know the pace of a new engine.
    static constexpr Duration pace_delay = 1500ms;
    /// Of the slow engines, in KeptForShort.
    static constexpr u32 kept_every = 3;

    struct Stream {
        i64 prompt { 0 };
        i64 output { 0 };
        i64 estimated_output { 0 };
        bool is_long { false };
        bool is_counted { false };
        Instant arrived_at {};
        u32 domain { 0 };

        i64 unread { 0 };
        i64 produced { 0 };
        bool is_late { false };
        bool is_handed_over { false };
        std::optional<Instant> last_event_at;
        [[nodiscard]] i64 held() const { return this->prompt + this->produced; }
    };
    using StreamPointer = std::shared_ptr<Stream>;

    struct Engine {
        std::deque<StreamPointer> waiting;
        std::vector<StreamPointer> running;
        i64 used { 0 };
        bool is_in_step { false };
        double slowness { 1 };
        u32 process { 0 };
    };

    // --- description of the pool

    static bool is_fast(u32 number) { return number % kinds == 0; }
    static EngineId id_of(u32 number) { return EngineId("e" + std::to_string(number)); }
    static u32 number_of(Serving::Backend const& backend)
    {
        return static_cast<u32>(std::stoul(backend.server.id.value().substr(1)));
    }
    static FailureDomainId domain_name(u32 number) { return FailureDomainId("hall-" + std::to_string(number)); }

    [[nodiscard]] Serving::BackendServer description(u32 number) const
    {
        Serving::BackendServer server;
        server.id = id_of(number);
        server.start = ServerStart(1 + this->engines[number].process);
        server.service = ServiceName("models");
        server.address = Address("127.0.0.1:1000");
        server.failure_domain = domain_name(number / kinds % domain_count);
        server.slots = slots;
        return server;
    }

    void add_pace(u32 number)
    {
        auto const factor = is_fast(number) ? fast_factor : slow_factor;
        auto scaled = [&](Duration duration) { return AK::from_seconds(AK::to_seconds(duration) * factor); };
        auto const reading = scaled(step_time + 4 * step_time_of_stream + step_time_of_chunk);
        Overload::EnginePace const pace { tokens_per_event * scaled(step_time + 4 * step_time_of_stream),
            tokens_per_event * reading, double(chunk) / AK::to_seconds(reading) };
        for (auto& table : this->tables)
            table.find(id_of(number))->pace = pace;
    }

    void change_slowness()
    {
        std::bernoulli_distribution is_slowed(slowed_share);
        for (auto& engine : this->engines) {
            engine.slowness = is_slowed(this->random) ? slowed_factor : 1;
            this->slowness.record(Overload::Slowness(engine.slowness), this->now);
        }
        this->schedule(slowness_period, [this] { this->change_slowness(); });
    }

    // --- arrivals and placement

    void schedule_arrival(bool is_long)
    {
        std::exponential_distribution<double> gap(this->shape.load * (is_long ? 20.0 : 24.0));
        auto const delay = AK::from_seconds(gap(this->random));
        if (this->now + delay > this->counts_until)
            return;
        this->schedule(delay, [this, is_long] {
            this->place(this->draw(is_long));
            this->schedule_arrival(is_long);
        });
    }

    StreamPointer draw(bool is_long)
    {
        std::uniform_real_distribution<double> uniform(0, 1);
        auto stream = std::make_shared<Stream>();
        std::lognormal_distribution<double> prompt(std::log(is_long ? 2850.0 : 1900.0), is_long ? 0.35 : 0.6);
        stream->prompt = std::clamp<i64>(static_cast<i64>(prompt(this->random)), 200, 6000);
        stream->output = 2 * tokens_per_event;
        if (is_long) {
            std::lognormal_distribution<double> events(std::log(140.0), 1.3);
            stream->output = tokens_per_event * std::clamp<i64>(static_cast<i64>(events(this->random)), 2, 445);
        }
        std::lognormal_distribution<double> error(0, is_long ? 0.5 : 0);
        stream->estimated_output = static_cast<i64>(double(stream->output) * error(this->random));
        stream->is_long = is_long;
        stream->unread = stream->prompt;
        stream->arrived_at = this->now;
        stream->is_counted = this->now >= this->counts_from;
        stream->domain = std::uniform_int_distribution<u32>(0, domain_count - 1)(this->random);
        return stream;
    }

    [[nodiscard]] Serving::ChoiceInputs choice_inputs(Stream const& stream, i64 unread) const
    {
        auto const name = domain_name(stream.domain);
        Serving::ChoiceInputs inputs { name, {}, this->now, 0.3, {}, name };
        if (this->shape.policy != Policy::ByPauses)
            return inputs;
        inputs.slowness = &this->slowness;
        auto const left = std::max<i64>(min_long_output, stream.estimated_output - stream.produced);
        inputs.stream = Overload::StreamDemand { double(unread),
            double(stream.produced > 0 ? left : stream.estimated_output) / tokens_per_event, gap_goal, gap_goal };
        if (unread > 0)
            inputs.stream->first_event_due_in = first_event_goal - (this->now - stream.arrived_at);
        return inputs;
    }

    using Candidates = std::vector<Serving::BackendPointer>;

    /// The engines that the policy prefers for a generation; all if it has no preference.
    [[nodiscard]] Candidates preferred(Stream const& stream, Candidates const& all) const
    {
        auto is_preferred = [&](Serving::BackendPointer const& backend) {
            auto const number = number_of(*backend);
            bool const is_kept = !is_fast(number) && std::hash<std::string> {}(id_of(number).value()) % kept_every == 0;
            switch (this->shape.policy) {
            case Policy::FastFirst:
            case Policy::HandedOver:
                return is_fast(number);
            case Policy::KeptForShort:
                return is_kept != stream.is_long;
            default:
                return true;
            }
        };
        Candidates chosen;
        std::ranges::copy_if(all, std::back_inserter(chosen), is_preferred);
        return chosen;
    }

    void place(StreamPointer const& stream)
    {
        auto const& all = this->tables[stream->domain].of_service(ServiceName("models"));
        Serving::AdmissionDemand const demand { { TokenCount(stream->prompt), TokenCount(stream->estimated_output) },
            first_event_goal };
        auto const inputs = this->choice_inputs(*stream, stream->prompt);
        auto admit_at = [&](Candidates const& candidates) {
            return Serving::admit(candidates, {}, demand, TokenCount(memory), inputs, this->choice_random);
        };
        auto decision = admit_at(this->preferred(*stream, all));
        if (!decision.engine)
            decision = admit_at(all);
        if (!decision.engine) {
            if (stream->is_counted)
                ++this->outcome.refused;
            return this->count(*stream, false);
        }
        auto const number = number_of(*decision.engine);
        this->announce(number, *stream, 1, stream->prompt, stream->prompt);
        this->engines[number].waiting.push_back(stream);
        this->start_step(number);
    }

    /// Applies a change of an engine's load to the view of each domain after its delay.
    void announce(u32 number, Stream const& stream, int generations, i64 tokens, i64 unread)
    {
        auto const streams = stream.is_long ? generations : 0;
        auto const process = this->engines[number].process;
        for (u32 domain = 0; domain < domain_count; ++domain) {
            auto const delay = domain == stream.domain ? local_delay : this->shape.update_delay;
            this->schedule(delay, [=, this] {
                if (this->engines[number].process != process)
                    return;
                auto& load = this->tables[domain].find(id_of(number))->engine;
                load.peer_generations += static_cast<u32>(generations);
                load.peer_streams += streams;
                load.peer_tokens += tokens;
                load.peer_unread_tokens += unread;
            });
        }
    }

    // --- steps

    void start_step(u32 number)
    {
        auto& engine = this->engines[number];
        if (engine.is_in_step || (engine.waiting.empty() && engine.running.empty()))
            return;
        auto time = step_time + static_cast<i64>(engine.running.size()) * step_time_of_stream;
        bool const reads = !engine.waiting.empty() && engine.used + engine.waiting.front()->held() <= memory
            && engine.running.size() < slots;
        if (reads)
            time += step_time_of_chunk;
        engine.is_in_step = true;
        auto const factor = (is_fast(number) ? fast_factor : slow_factor) * engine.slowness;
        this->schedule_at(number, AK::from_seconds(AK::to_seconds(time) * factor),
            [this, number, reads] { this->end_step(number, reads); });
    }

    void end_step(u32 number, bool has_read)
    {
        auto& engine = this->engines[number];
        engine.is_in_step = false;
        auto const streams = engine.running;
        for (auto const& stream : streams)
            this->produce_token(number, stream);
        if (has_read)
            this->read_chunk(number);
        this->start_step(number);
    }

    void read_chunk(u32 number)
    {
        auto& engine = this->engines[number];
        auto const stream = engine.waiting.front();
        stream->unread -= chunk;
        if (stream->unread > 0)
            return;
        engine.waiting.pop_front();
        engine.used += stream->held();
        engine.running.push_back(stream);
        if (!stream->last_event_at)
            this->emit_event(number, stream);
    }

    void produce_token(u32 number, StreamPointer const& stream)
    {
        auto& engine = this->engines[number];
        ++stream->produced;
        ++engine.used;
        if (stream->produced >= stream->output) {
            this->emit_event(number, stream);
            return this->finish(number, stream);
        }
        if (stream->produced % tokens_per_event == 0)
            this->emit_event(number, stream);
        if (engine.used > memory)
            this->preempt_newest(number);
    }

    void preempt_newest(u32 number)
    {
        auto& engine = this->engines[number];
        auto const newest = engine.running.back();
        engine.running.pop_back();
        this->outcome.preemptions += newest->is_counted;
        engine.used -= newest->held();
        newest->unread = newest->held();
        engine.waiting.push_front(newest);
    }

    void emit_event(u32 number, StreamPointer const& stream)
    {
        auto const is_first = !stream->last_event_at;
        auto const gap = this->now - stream->last_event_at.value_or(this->now);
        bool const is_late_first = is_first && this->now - stream->arrived_at > first_event_goal;
        if (stream->is_counted)
            this->outcome.late_first_events += is_late_first;
        if (gap > gap_goal || is_late_first)
            stream->is_late = true;
        stream->last_event_at = this->now;
        if (is_first) {
            this->announce(number, *stream, 0, 0, -stream->prompt);
            this->consider_handing_over(number, stream);
        } else {
            this->announce(number, *stream, 0, tokens_per_event, 0);
        }
    }

    void finish(u32 number, StreamPointer const& stream)
    {
        this->leave(number, stream);
        this->count(*stream, !stream->is_late);
    }

    void leave(u32 number, StreamPointer const& stream)
    {
        auto& engine = this->engines[number];
        std::erase(engine.running, stream);
        engine.used -= stream->held();
        auto const announced = stream->prompt + (stream->produced / tokens_per_event) * tokens_per_event;
        this->announce(number, *stream, -1, -announced, 0);
    }

    void count(Stream const& stream, bool is_in_goal)
    {
        if (!stream.is_counted)
            return;
        auto& all = stream.is_long ? this->outcome.long_generations : this->outcome.short_generations;
        auto& in_goal = stream.is_long ? this->outcome.long_in_goal : this->outcome.short_in_goal;
        ++all;
        in_goal += is_in_goal;
    }

    // --- moves

    Serving::BackendPointer choose_target(Stream const& stream, Candidates const& candidates)
    {
        auto inputs = this->choice_inputs(stream, 0);
        inputs.copied_tokens_per_second = copied_tokens_per_second;
        return Serving::choose_for_generation(candidates, {}, { TokenCount(stream.held()), TokenCount(0) },
            TokenCount(memory), inputs, this->choice_random);
    }

    void consider_handing_over(u32 number, StreamPointer const& stream)
    {
        if (this->shape.policy != Policy::HandedOver || !stream->is_long || this->is_replacing)
            return;
        Candidates targets;
        for (auto const& backend : this->tables[stream->domain].of_service(ServiceName("models"))) {
            auto const is_free = backend->engine.unread_tokens() == 0
                && Serving::estimated_tokens(*backend, this->now) + stream->prompt + stream->estimated_output < memory;
            if (!is_fast(number_of(*backend)) && is_free)
                targets.push_back(backend);
        }
        auto const target = this->choose_target(*stream, targets);
        if (!target)
            return;
        auto const process = this->engines[number_of(*target)].process;
        this->schedule_at(number, copy_time, [this, number, stream, process, to = number_of(*target)] {
            if (std::ranges::find(this->engines[number].running, stream) == this->engines[number].running.end()
                || this->engines[to].process != process)
                return;
            this->move(number, to, stream);
            if (stream->is_counted)
                ++this->outcome.handed_over;
        });
    }

    void move(u32 from, u32 to, StreamPointer const& stream)
    {
        this->leave(from, stream);
        auto const announced = stream->prompt + (stream->produced / tokens_per_event) * tokens_per_event;
        this->announce(to, *stream, 1, announced, 0);
        this->schedule(move_pause, [this, to, stream] {
            auto& engine = this->engines[to];
            engine.running.push_back(stream);
            engine.used += stream->held();
            this->start_step(to);
        });
    }

    void replace_engines(u32 turn)
    {
        this->is_replacing = true;
        for (u32 number = turn; number < engine_count; number += replaced_in_turn)
            for (auto& table : this->tables)
                table.find(id_of(number))->record_leaving();
        this->schedule(notice, [this, turn] {
            this->is_replacing = false;
            for (u32 number = turn; number < engine_count; number += replaced_in_turn)
                this->replace(number);
        });
        this->schedule(replacement_period, [this, turn] { this->replace_engines((turn + 1) % replaced_in_turn); });
    }

    void replace(u32 number)
    {
        auto const former = this->engines[number];
        for (auto const& stream : former.running) {
            auto const target
                = this->choose_target(*stream, this->tables[stream->domain].of_service(ServiceName("models")));
            if (target)
                this->move(number, number_of(*target), stream);
        }
        auto const slowness = this->engines[number].slowness;
        this->engines[number] = {};
        this->engines[number].slowness = slowness;
        this->engines[number].process = former.process + 1;
        for (auto& table : this->tables) {
            table.remove(id_of(number), this->now);
            table.update(this->description(number), this->now);
        }
        this->schedule_at(number, pace_delay, [this, number] { this->add_pace(number); });
        for (auto const& stream : former.waiting) {
            stream->unread = stream->held();
            this->place(stream);
        }
    }

    // --- events

    void schedule(Duration delay, std::function<void()> action)
    {
        this->events.push({ this->now + delay, this->scheduled++, std::move(action) });
    }
    /// Skips the action if the engine has been replaced by then.
    void schedule_at(u32 number, Duration delay, std::function<void()> action)
    {
        this->schedule(delay, [this, number, process = this->engines[number].process, action = std::move(action)] {
            if (this->engines[number].process == process)
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
    std::array<Engine, engine_count> engines;
    std::array<Serving::BackendTable, domain_count> tables;
    Overload::SlownessDistribution slowness;
    std::priority_queue<Event> events;
    u64 scheduled { 0 };
    bool is_replacing { false };
    Instant now { 100s };
    Instant counts_from {};
    Instant counts_until {};
    Outcome outcome;
};

}
