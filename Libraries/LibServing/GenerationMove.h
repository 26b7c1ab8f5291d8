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

/// Moves the memory of a running generation from a leaving engine to another one in two steps. The first copy is made
/// while the run continues. The second copy, made with the run stopped shortly before the engine terminates, transfers
/// only what is new since the first. The caller's stream pauses only for the second copy.
template<Dialect D>
class GenerationMove : public std::enable_shared_from_this<GenerationMove<D>> {
public:
    enum class Phase : u8 {
        Copying,
        /// The first copy is done; the run continues.
        Copied,
        /// The second copy has been requested, for which the source stops the run.
        HandingOver,
        /// The run has stopped and can resume from the copy at the target.
        HandedOver,
        Failed,
    };

    struct Inputs {
        std::string attempt;
        BackendPointer source;
        /// Tokens of the generation when its move begins.
        TokenCount held;
        EngineTraits traits;
        /// The rest of its stream.
        Overload::StreamDemand stream {};
        StreamLength length { StreamLength::Short };
        /// Where the copy may be stored.
        AllowedRegions regions {};
    };

    GenerationMove(ServingContext& context, Inputs inputs, std::function<void()> phase_changed)
        : context(context)
        , inputs(std::move(inputs))
        , phase_changed(std::move(phase_changed))
        , timer(context.loop)
    {
    }

    /// An engine makes one copy at a time, so the largest generations are copied first. Losing them costs most and they
    /// have most of their output still to come, while small ones may complete before their turn.
    void start()
    {
        this->uncopied.emplace(this->inputs.source, &EngineLoad::own_uncopied_tokens, this->inputs.held.value());
        this->context.use_changed();
        auto share = std::min(1.0, static_cast<double>(this->inputs.held.value()) / large_generation_tokens);
        this->timer.expires_after(AK::from_seconds((1 - share) * AK::to_seconds(max_start_delay)));
        this->timer.async_wait([self = this->shared_from_this()](boost::system::error_code error) {
            if (!error && !self->is_finished)
                self->copy_to_next_target();
        });
    }

    /// Cancels the move because the generation ended before the handover, and frees the copy.
    void cancel()
    {
        bool const frees_copy = this->copy && !this->is_finished;
        this->finish();
        if (frees_copy)
            this->drop_copy();
    }

    /// Ends the move because the generation resumes from the copy: sends no further request to the source and stops
    /// calling the observer.
    void finish()
    {
        this->phase_changed = nullptr;
        this->timer.cancel();
        this->drop_reservation();
        this->drop_link_claims();
        this->drop_connection();
        this->is_finished = true;
    }

    [[nodiscard]] Phase phase() const { return this->current; }
    /// Null until a target has been chosen, and if none was found.
    [[nodiscard]] BackendPointer const& target() const { return this->chosen; }
    [[nodiscard]] BackendPointer const& source() const { return this->inputs.source; }
    /// The name of the copy in a request that resumes the generation. Valid only after a copy has been made.
    [[nodiscard]] std::string copy_name() const { return D::copy_name(*this->inputs.source, this->copy->handle); }
    [[nodiscard]] Instant started_at() const { return this->started; }

private:
    /// Number of engines that are tried as targets, one after another.
    static constexpr u32 max_targets = 3;
    /// A copy to another failure domain takes twice as long, and all copies from a leaving engine share its link and
    /// its remaining time. Within the domain, 1.5 s of notice suffice for 26,000 tokens (164 KB per token, 24 Gbit/s).
    static constexpr double other_domain_cost = 1.5;
    /// Time before the source terminates at which the run is stopped for the second copy. The second copies of all its
    /// generations share its link: about ten generations with a few megabytes each, at a few hundred megabytes a
    /// second.
    static constexpr Duration handover_margin = 450ms;
    /// Delay of the first copy of the smallest generation, so that larger ones are copied before it. A copy of about
    /// 1,500 tokens takes this long.
    static constexpr Duration max_start_delay = 80ms;
    /// A generation of at least this many tokens is copied without delay.
    static constexpr double large_generation_tokens = 6000;
    /// Remaining time of the source that suffices for the second copy and its response.
    static constexpr Duration min_handover_time = 120ms;
    /// Interval at which the expected termination time of the source is checked again; a third of `handover_margin`.
    static constexpr Duration end_check_period = 150ms;
    /// A source that runs this much longer than expected may run for an unknown time, during which the copy would
    /// expire. The handover is then made immediately.
    static constexpr Duration overdue_margin = 1s;
    static constexpr double bits_per_byte = 8;
    static constexpr double bits_per_megabit = 1e6;
    /// Delay before a copy is requested again from a source that was busy or whose link was.
    static constexpr Duration busy_retry_delay = 60ms;

    [[nodiscard]] ChoiceInputs choice_inputs() const
    {
        auto inputs = this->context.choice_inputs(other_domain_cost);
        inputs.own_failure_domain = this->inputs.source->server.failure_domain;
        inputs.server_limits = nullptr;
        inputs.regions = this->inputs.regions;
        inputs.side = this->context.rollouts.side_for_moves(this->inputs.source->server.service);
        inputs.slowness = this->context.slowness_of(this->inputs.source->server.service);
        inputs.stream = this->inputs.stream;
        inputs.copied_tokens_per_second = this->copied_tokens_per_second();
        inputs.doubtful_domains
            = this->context.domain_doubt.doubtful_domains(this->inputs.source->server.service, inputs.now);
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
        if (!this->chosen || this->tried.size() >= max_targets)
            return this->fail("no engine has free capacity");
        this->tried.push_back(this->chosen->server.id);
        this->reservation.emplace(this->chosen, &EngineLoad::expected_copy_tokens, this->inputs.held.value());
        if (this->inputs.length == StreamLength::Long)
            this->stream.emplace(this->chosen, &EngineLoad::own_streams, 1);
        this->incoming.emplace(this->chosen, &EngineLoad::own_incoming_tokens, this->inputs.held.value());
        this->context.use_changed();
        this->request_copy(false);
    }

    void request_copy(bool is_last)
    {
        this->requested_at = this->context.now();
        this->response_status = 0;
        this->response_body.clear();
        this->connection = this->context.connections.make_new(this->inputs.source->endpoint);
        auto self = this->shared_from_this();
        Http::ExchangeObserver observer {
            [self](Http::ResponseHead const& head) {
                self->response_status = head.result_int();
                auto const decoded = D::decode_response(head);
                apply_server_notice(self->context, *self->inputs.source, decoded);
                if (!decoded.is_misdirected)
                    record_load(self->context, *self->inputs.source, decoded.load);
                return Http::HeadAction::Accept;
            },
            [self](std::string_view piece) { self->response_body += piece; },
            [self, is_last](Http::ExchangeEnd end, std::string const& reason) {
                self->connection = nullptr;
                self->copy_response_received(is_last, end, reason);
            },
        };
        this->connection->exchange(D::copy_request(*this->inputs.source, *this->chosen, this->inputs.attempt, is_last),
            std::move(observer), connect_timeout, backend_silence_limit, Http::BackendConnection::max_own_answer_bytes);
    }

    void copy_response_received(bool is_last, Http::ExchangeEnd end, std::string const& reason)
    {
        if (end != Http::ExchangeEnd::Complete)
            return this->fail(Http::describe(end, reason));
        auto const status = static_cast<Http::Status>(this->response_status);
        if (status == Http::Status::not_found)
            return this->run_has_ended();
        if (status == Http::Status::conflict)
            return this->request_copy_later(is_last);
        auto decoded = D::decode_copy(this->response_body);
        if (decoded)
            this->copy = decoded.value();
        if (status != Http::Status::ok)
            return this->copy_refused(is_last, "status " + std::to_string(this->response_status) + " for a copy");
        if (!decoded)
            return this->copy_refused(is_last, "invalid response to a copy request: " + decoded.error().message);
        this->copy_made(is_last);
    }

    void copy_made(bool is_last)
    {
        this->context.log.event(Core::EventNumber::GenerationCopied, this->inputs.attempt)
            .with("from", this->inputs.source->server.id)
            .with("to", this->chosen->server.id)
            .with("last", static_cast<int>(is_last))
            .with("tokens", this->inputs.held)
            .with("took_ms", this->context.now() - this->requested_at);
        if (is_last)
            return this->enter(Phase::HandedOver);
        this->drop_link_claims();
        this->enter(Phase::Copied);
        this->wait_for_handover();
    }

    /// Releases the claims on the links of source and target, which carry nothing more for this generation.
    void drop_link_claims()
    {
        this->uncopied.reset();
        this->incoming.reset();
        this->context.use_changed();
    }

    void drop_reservation()
    {
        this->reservation.reset();
        this->stream.reset();
    }

    void run_has_ended()
    {
        this->drop_link_claims();
        this->log_failure("the generation no longer runs at the source");
        this->drop_reservation();
        this->enter(Phase::Failed);
    }

    void copy_refused(bool is_last, std::string const& reason)
    {
        this->log_failure(reason);
        if (is_last)
            return this->enter(this->copy ? Phase::HandedOver : Phase::Failed);
        this->copy_to_next_target();
    }

    void request_copy_later(bool is_last)
    {
        this->timer.expires_after(busy_retry_delay);
        this->timer.async_wait([self = this->shared_from_this(), is_last](boost::system::error_code error) {
            if (!error && !self->is_finished)
                self->request_copy(is_last);
        });
    }

    [[nodiscard]] Instant source_terminates_at() const
    {
        auto const& source = *this->inputs.source;
        return source.ends_at.value_or(source.available_since + this->context.settings.drain_time);
    }

    void wait_for_handover() { this->consider_handover_at(this->source_terminates_at() - handover_margin); }

    /// Checks again at `when` or after `end_check_period`, whichever is earlier, since the expected termination time of
    /// the source may change.
    void consider_handover_at(Instant when)
    {
        this->timer.expires_at(std::min(when, this->context.now() + end_check_period));
        this->timer.async_wait([self = this->shared_from_this()](boost::system::error_code error) {
            if (!error && !self->is_finished)
                self->consider_handover();
        });
    }

    /// Begins the handover if it is due and the links are free, or if the source is overdue. While other generations
    /// are being copied, a second copy would stop the run for as long as it waits for the link. Without a second copy,
    /// the run continues until its engine terminates, and the target reads again the few tokens that the first copy
    /// lacks.
    void consider_handover()
    {
        if (this->chosen->is_evacuated)
            return this->abandon_target("the target's failure domain has been evacuated");
        auto now = this->context.now();
        auto ends_at = this->source_terminates_at();
        if (this->chosen->back_off_left(now) > 0s)
            return this->consider_back_off(ends_at);
        if (now < ends_at - handover_margin)
            return this->consider_handover_at(ends_at - handover_margin);
        bool const is_overdue = now >= ends_at + overdue_margin;
        bool const links_are_free
            = this->inputs.source->engine.uncopied_tokens() == 0 && this->chosen->engine.incoming_tokens() == 0;
        if (is_overdue || (links_are_free && now < ends_at - min_handover_time)) {
            this->enter(Phase::HandingOver);
            return this->request_copy(true);
        }
        bool const may_become_free = now + busy_retry_delay < ends_at - min_handover_time;
        this->consider_handover_at(may_become_free ? now + busy_retry_delay : ends_at + overdue_margin);
    }

    /// The target requested a backoff: waits for its end if the source runs longer, and otherwise chooses another
    /// target.
    void consider_back_off(Instant source_terminates_at)
    {
        if (this->chosen->back_off_until >= source_terminates_at - min_handover_time)
            return this->abandon_target("the target requested a backoff");
        this->consider_handover_at(this->chosen->back_off_until);
    }

    /// Drops the copy at the current target and tries the next one.
    void abandon_target(std::string const& reason)
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
        // The observer may release this object, and cancel() clears the observer.
        auto self = this->shared_from_this();
        auto observer = this->phase_changed;
        if (observer)
            observer();
    }

    void fail(std::string const& reason)
    {
        this->log_failure(reason);
        // The generation can resume from the first copy; the target reads again the few tokens that it lacks.
        if (this->current == Phase::HandingOver && this->copy)
            return this->enter(Phase::HandedOver);
        this->drop_reservation();
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
                return Http::HeadAction::Accept;
            },
            [](std::string_view) {},
            // A failed request needs no retry: the engine frees the copy when its lifetime expires.
            [](Http::ExchangeEnd, std::string const&) {},
        };
        connection_to_source->exchange(D::drop_copy_request(*this->inputs.source, this->copy->handle),
            std::move(observer), connect_timeout, backend_silence_limit, Http::BackendConnection::max_own_answer_bytes);
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
    Instant requested_at {};
    BackendPointer chosen;
    std::vector<EngineId> tried;
    std::optional<TokenClaim> reservation;
    /// The stream that will run at the target.
    std::optional<TokenClaim> stream;
    std::shared_ptr<Http::BackendConnection> connection;
    unsigned response_status { 0 };
    std::string response_body;
    std::optional<MemoryCopy> copy;
    bool is_finished { false };
};

}
