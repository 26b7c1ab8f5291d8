/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Timer.h>
#include <LibServing/EngineClaim.h>
#include <LibServing/RequestFlow.h>

namespace Serving {

/// Takes the memory of a running generation from an engine that is leaving to another one, in two steps: a copy while
/// the run goes on, and shortly before the engine ends a second one of the little that is new, for which the run stops.
/// So the pause that the caller sees is that of the second copy only.
template<Dialect D>
class GenerationMove : public std::enable_shared_from_this<GenerationMove<D>> {
public:
    enum class Phase : u8 {
        Copying,
        /// The first copy is done; the run goes on.
        Copied,
        /// The run has been told to stop.
        HandingOver,
        /// The run has stopped and all of its memory is at the target.
        HandedOver,
        Failed,
    };

    struct Inputs {
        std::string attempt;
        BackendPointer source;
        /// Tokens of the generation when its move begins.
        TokenCount held;
        EngineTraits traits;
    };

    GenerationMove(ServingContext& context, Inputs inputs, std::function<void()> phase_changed)
        : context(context)
        , inputs(std::move(inputs))
        , phase_changed(std::move(phase_changed))
        , timer(context.loop)
    {
    }

    /// Copies from one engine go one after another. The largest go first: they are worth most, have most still to come,
    /// and small ones may end by themselves meanwhile.
    void start()
    {
        this->uncopied.emplace(this->inputs.source, &EngineLoad::own_uncopied_tokens, this->inputs.held.value());
        this->context.use_changed();
        auto share = std::min(1.0, static_cast<double>(this->inputs.held.value()) / large_generation_tokens);
        this->timer.expires_after(AK::from_seconds((1 - share) * AK::to_seconds(smallest_start_delay)));
        this->timer.async_wait([self = this->shared_from_this()](boost::system::error_code error) {
            if (!error && !self->is_settled)
                self->copy_to_next_target();
        });
    }

    /// The generation has ended before it was handed over: frees the copy.
    void withdraw()
    {
        bool const frees_copy = this->copy && !this->is_settled;
        this->settle();
        if (frees_copy)
            this->drop_copy();
    }

    /// The generation goes on from the copy: nothing more is asked of the source, and nothing more is told.
    void settle()
    {
        this->phase_changed = nullptr;
        this->timer.cancel();
        this->reservation.reset();
        this->drop_link_claims();
        this->drop_connection();
        this->is_settled = true;
    }

    [[nodiscard]] Phase phase() const { return this->current; }
    /// Null before the first target has been chosen, and when there was none.
    [[nodiscard]] BackendPointer const& target() const { return this->chosen; }
    [[nodiscard]] BackendPointer const& source() const { return this->inputs.source; }
    /// How a continued request names the copy. Only once there is one.
    [[nodiscard]] std::string copy_name() const { return D::copy_name(*this->inputs.source, this->copy->handle); }
    [[nodiscard]] Instant started_at() const { return this->started; }

private:
    /// Engines that are asked to take a copy, one after another.
    static constexpr u32 most_targets = 3;
    /// A copy to another domain takes twice as long, and all copies from an engine that is leaving share its link and
    /// the little time that is left: 26,000 tokens in 1.5 s of notice (164 KB a token, 24 Gbit/s) when all stay in the
    /// domain.
    static constexpr double other_domain_cost = 1.5;
    /// Time before the end of the source at which the run is stopped. The last copies of all generations there share
    /// its link: about ten generations with some megabytes each, at some hundred megabytes a second.
    static constexpr Duration handover_margin = 450ms;
    /// How long the smallest generation lets larger ones go first; the time of a copy of some 1,500 tokens.
    static constexpr Duration smallest_start_delay = 80ms;
    /// A generation of this size or more does not wait for others.
    static constexpr double large_generation_tokens = 6000;
    /// What is left of an engine's time must be enough for the second copy and its answer.
    static constexpr Duration shortest_handover = 120ms;
    /// How often the source's end is looked at again; a third of the margin before it.
    static constexpr Duration end_check_period = 150ms;
    /// A source that still runs so long after it should have ended goes on for an unknown time; copies do not keep that
    /// long.
    static constexpr Duration overdue_margin = 1s;
    static constexpr double bits_per_byte = 8;
    static constexpr double bits_per_megabit = 1e6;
    /// Pause before a source is asked again that was busy, or whose link was.
    static constexpr Duration busy_retry_delay = 60ms;

    [[nodiscard]] ChoiceInputs choice_inputs() const
    {
        auto inputs = this->context.choice_inputs(other_domain_cost);
        inputs.own_failure_domain = this->inputs.source->server.failure_domain;
        inputs.server_limits = nullptr;
        inputs.copied_tokens_per_second = this->copied_tokens_per_second();
        return inputs;
    }

    [[nodiscard]] std::optional<double> copied_tokens_per_second() const
    {
        auto const& traits = this->inputs.traits;
        auto bits = static_cast<double>(traits.bytes_per_token) * bits_per_byte;
        if (bits <= 0 || traits.link_megabits_per_second <= 0)
            return {};
        return traits.link_megabits_per_second * bits_per_megabit / bits;
    }

    void copy_to_next_target()
    {
        auto const& candidates = this->context.backends.of_service(this->inputs.source->server.service);
        GenerationNeed const need { this->inputs.held, TokenCount(0) };
        this->chosen = choose_for_generation(
            candidates, this->tried, need, this->inputs.traits.memory, this->choice_inputs(), this->context.random);
        if (!this->chosen || this->tried.size() >= most_targets)
            return this->fail("no engine has the room");
        this->tried.push_back(this->chosen->server.id);
        this->reservation.emplace(this->chosen, &EngineLoad::expected_copy_tokens, this->inputs.held.value());
        this->incoming.emplace(this->chosen, &EngineLoad::own_incoming_tokens, this->inputs.held.value());
        this->context.use_changed();
        this->ask_for_copy(false);
    }

    void ask_for_copy(bool is_last)
    {
        this->asked_at = this->context.now();
        this->response_status = 0;
        this->response_body.clear();
        this->connection = this->context.connections.make_new(this->inputs.source->endpoint);
        auto self = this->shared_from_this();
        Http::ExchangeObserver observer {
            [self](Http::ResponseHead const& head) {
                self->response_status = head.result_int();
                apply_server_notice(self->context, *self->inputs.source, D::decode_response(head));
                return Http::HeadVerdict::Take;
            },
            [self](std::string_view piece) { self->response_body += piece; },
            [self, is_last](Http::ExchangeEnd end, std::string const& reason) {
                self->connection = nullptr;
                self->copy_answered(is_last, end, reason);
            },
        };
        this->connection->exchange(D::copy_request(*this->inputs.source, *this->chosen, this->inputs.attempt, is_last),
            std::move(observer), connect_timeout, backend_silence_limit);
    }

    void copy_answered(bool is_last, Http::ExchangeEnd end, std::string const& reason)
    {
        if (end != Http::ExchangeEnd::Complete)
            return this->fail(Http::describe(end, reason));
        auto const status = static_cast<Http::Status>(this->response_status);
        if (status == Http::Status::not_found)
            return this->run_has_ended();
        if (status == Http::Status::conflict)
            return this->ask_again_later(is_last);
        auto decoded = D::decode_copy(this->response_body);
        if (decoded)
            this->copy = decoded.value();
        if (status != Http::Status::ok)
            return this->copy_refused(is_last, "status " + std::to_string(this->response_status) + " for a copy");
        if (!decoded)
            return this->copy_refused(is_last, "an answer to a copy: " + decoded.error().message);
        this->copy_made(is_last);
    }

    void copy_made(bool is_last)
    {
        this->context.log.event(Core::EventNumber::GenerationCopied, this->inputs.attempt)
            .with("from", this->inputs.source->server.id)
            .with("to", this->chosen->server.id)
            .with("last", static_cast<int>(is_last))
            .with("tokens", this->inputs.held)
            .with("took_ms", this->context.now() - this->asked_at);
        if (is_last)
            return this->enter(Phase::HandedOver);
        this->drop_link_claims();
        this->enter(Phase::Copied);
        this->wait_for_handover();
    }

    /// The links of the source and of the target have nothing more to carry for this generation.
    void drop_link_claims()
    {
        this->uncopied.reset();
        this->incoming.reset();
        this->context.use_changed();
    }

    void run_has_ended()
    {
        this->drop_link_claims();
        this->log_failure("the generation does not run there any more");
        this->reservation.reset();
        this->enter(Phase::Failed);
    }

    void copy_refused(bool is_last, std::string const& reason)
    {
        this->log_failure(reason);
        if (is_last)
            return this->enter(this->copy ? Phase::HandedOver : Phase::Failed);
        this->copy_to_next_target();
    }

    void ask_again_later(bool is_last)
    {
        this->timer.expires_after(busy_retry_delay);
        this->timer.async_wait([self = this->shared_from_this(), is_last](boost::system::error_code error) {
            if (!error && !self->is_settled)
                self->ask_for_copy(is_last);
        });
    }

    [[nodiscard]] Instant source_ends_at() const
    {
        auto const& source = *this->inputs.source;
        return source.ends_at.value_or(source.available_since + this->context.settings.drain_time);
    }

    void wait_for_handover() { this->consider_handover_at(this->source_ends_at() - handover_margin); }

    /// What is known of the source's end may change meanwhile, so it is looked at again before `when` has come.
    void consider_handover_at(Instant when)
    {
        this->timer.expires_at(std::min(when, this->context.now() + end_check_period));
        this->timer.async_wait([self = this->shared_from_this()](boost::system::error_code error) {
            if (!error && !self->is_settled)
                self->consider_handover();
        });
    }

    /// While others still copy, a second copy would only stop the run for as long as it waits for the link. Without one
    /// the run goes on until its engine ends, and the little that the first copy lacks is read again.
    void consider_handover()
    {
        if (this->chosen->is_evacuated)
            return this->leave_target("the target's failure domain has been evacuated");
        auto now = this->context.now();
        auto ends_at = this->source_ends_at();
        if (this->chosen->back_off_left(now) > 0s)
            return this->consider_back_off(ends_at);
        if (now < ends_at - handover_margin)
            return this->consider_handover_at(ends_at - handover_margin);
        bool const is_overdue = now >= ends_at + overdue_margin;
        bool const links_are_free
            = this->inputs.source->engine.uncopied_tokens() == 0 && this->chosen->engine.incoming_tokens() == 0;
        if (is_overdue || (links_are_free && now < ends_at - shortest_handover)) {
            this->enter(Phase::HandingOver);
            return this->ask_for_copy(true);
        }
        bool const may_become_free = now + busy_retry_delay < ends_at - shortest_handover;
        this->consider_handover_at(may_become_free ? now + busy_retry_delay : ends_at + overdue_margin);
    }

    /// The target wants nothing for a while: waits for it if the source runs for longer.
    void consider_back_off(Instant source_ends_at)
    {
        if (this->chosen->back_off_until >= source_ends_at - shortest_handover)
            return this->leave_target("the target has asked for a pause");
        this->consider_handover_at(this->chosen->back_off_until);
    }

    /// The generation may not go on there any more.
    void leave_target(std::string const& reason)
    {
        this->log_failure(reason);
        this->drop_copy();
        this->copy.reset();
        this->current = Phase::Copying;
        this->copy_to_next_target();
    }

    void enter(Phase phase)
    {
        this->current = phase;
        // The observer may let go of this object, and withdraw() of the observer.
        auto self = this->shared_from_this();
        auto observer = this->phase_changed;
        if (observer)
            observer();
    }

    void fail(std::string const& reason)
    {
        this->log_failure(reason);
        // What was copied before is good for going on; the little that it lacks is read again.
        if (this->current == Phase::HandingOver && this->copy)
            return this->enter(Phase::HandedOver);
        this->reservation.reset();
        this->drop_link_claims();
        this->enter(Phase::Failed);
    }

    void log_failure(std::string const& reason)
    {
        this->context.metrics.add("move_failures_total");
        this->context.log.event(Core::EventNumber::MoveFailed, this->inputs.attempt)
            .with("from", this->inputs.source->server.id)
            .with("to", this->chosen ? this->chosen->server.id : EngineId("none"))
            .with("phase", static_cast<int>(this->current))
            .with("reason", reason);
    }

    void drop_copy()
    {
        auto connection_to_source = this->context.connections.make_new(this->inputs.source->endpoint);
        Http::ExchangeObserver observer {
            [&context = this->context, source = this->inputs.source](Http::ResponseHead const& head) {
                apply_server_notice(context, *source, D::decode_response(head));
                return Http::HeadVerdict::Take;
            },
            [](std::string_view) {},
            // Not freed: the engines free it themselves when its lifetime is over.
            [](Http::ExchangeEnd, std::string const&) {},
        };
        connection_to_source->exchange(D::drop_copy_request(*this->inputs.source, this->copy->handle),
            std::move(observer), connect_timeout, backend_silence_limit);
    }

    void drop_connection()
    {
        if (this->connection)
            this->connection->cancel();
        this->connection = nullptr;
    }

    ServingContext& context;
    Inputs inputs;
    std::function<void()> phase_changed;
    AK::Timer timer;
    Phase current { Phase::Copying };
    Instant started { this->context.now() };
    std::optional<TokenClaim> uncopied;
    std::optional<TokenClaim> incoming;
    Instant asked_at {};
    BackendPointer chosen;
    std::vector<EngineId> tried;
    std::optional<TokenClaim> reservation;
    std::shared_ptr<Http::BackendConnection> connection;
    unsigned response_status { 0 };
    std::string response_body;
    std::optional<MemoryCopy> copy;
    bool is_settled { false };
};

}
