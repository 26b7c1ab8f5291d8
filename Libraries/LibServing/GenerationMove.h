/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Timer.h>
#include <LibServing/EngineClaim.h>
#include <LibServing/RequestFlow.h>
#include <LibServing/RunEnd.h>

namespace Serving {

/// Moves the memory of a running generation from a leaving engine to another one in two steps. The first copy is made
/// while the run continues. The second copy, made with the run stopped shortly before the engine terminates, transfers
/// only what is new since the first. The caller's stream pauses only for the second copy.
///
/// The generation may resume at the target only once its run at the source is proved to be over (RunEnd.h). If the
/// source does not carry out the order to stop the run, the run continues there and the order is repeated. If the
/// source has terminated without it, the generation resumes from the first copy.
template<Dialect D>
class GenerationMove : public std::enable_shared_from_this<GenerationMove<D>> {
public:
    enum class Phase : u8 {
        Copying,
        /// The first copy is done; as far as is known, the run continues.
        Copied,
        /// The second copy has been requested, for which the source stops the run.
        HandingOver,
        /// The run is over and can resume from the copy at the target.
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
        this->watch_source();
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
        this->termination_watch = nullptr;
        this->timer.cancel();
        this->drop_reservation();
        this->drop_link_claims();
        this->drop_connection();
        this->is_finished = true;
    }

    /// To be called when the stream of the source has ended before it was complete. The run may go on nevertheless.
    void source_stream_ended()
    {
        this->stream = this->current == Phase::HandingOver ? SourceStream::BrokeOffAfterOrder : SourceStream::BrokeOff;
        if (this->process_has_terminated && this->copy)
            return this->run_is_over(*RunEndProof::from_process(ProcessState::Terminated, 0));
        if (this->current == Phase::Copied)
            return this->order_stop();
        if (this->current == Phase::HandingOver)
            this->limit_response_wait();
    }

    [[nodiscard]] Phase phase() const { return this->current; }
    /// Null until a target has been chosen, and if none was found.
    [[nodiscard]] BackendPointer const& target() const { return this->chosen; }
    [[nodiscard]] BackendPointer const& source() const { return this->inputs.source; }
    /// Why the run at the source is over. Present from Phase::HandedOver on.
    [[nodiscard]] std::optional<RunEndProof> const& run_end() const { return this->proof; }
    /// What a request that resumes the generation has to say, after the caller has received `last_event`. Only a run
    /// that is over can resume.
    [[nodiscard]] Continuation continuation(RunEndProof const&, std::optional<u64> last_event) const
    {
        return { D::copy_name(*this->inputs.source, this->copy->handle), last_event };
    }
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
    /// The delay between orders to stop the run doubles up to this.
    static constexpr Duration max_order_delay = 480ms;
    /// How long the response to the order is awaited once the stream has ended. Callers abandon a stream that has been
    /// silent for two seconds.
    static constexpr Duration max_response_wait = 1s;

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
            this->stream_at_target.emplace(this->chosen, &EngineLoad::own_streams, 1);
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
                if (!self->is_finished)
                    self->copy_response_received(is_last, end, reason);
            },
        };
        this->connection->exchange(D::copy_request(*this->inputs.source, *this->chosen, this->inputs.attempt, is_last),
            std::move(observer), connect_timeout, backend_silence_limit, Http::BackendConnection::max_own_answer_bytes);
    }

    void copy_response_received(bool is_last, Http::ExchangeEnd end, std::string const& reason)
    {
        if (is_last)
            return this->stop_response_received(end, reason);
        if (end != Http::ExchangeEnd::Complete)
            return this->fail(Http::describe(end, reason));
        auto const status = static_cast<Http::Status>(this->response_status);
        if (status == Http::Status::not_found)
            return this->run_not_found();
        if (status == Http::Status::conflict)
            return this->request_copy_later();
        auto decoded = D::decode_copy(this->response_body);
        if (decoded)
            this->copy = decoded.value();
        if (status != Http::Status::ok)
            return this->copy_refused("status " + std::to_string(this->response_status) + " for a copy");
        if (!decoded)
            return this->copy_refused("invalid response to a copy request: " + decoded.error().message);
        this->first_copy_made();
    }

    void log_copy(bool is_last)
    {
        this->context.log.event(Core::EventNumber::GenerationCopied, this->inputs.attempt)
            .with("from", this->inputs.source->server.id)
            .with("to", this->chosen->server.id)
            .with("last", static_cast<int>(is_last))
            .with("tokens", this->inputs.held)
            .with("took_ms", this->context.now() - this->requested_at);
    }

    void first_copy_made()
    {
        this->log_copy(false);
        this->drop_link_claims();
        this->enter(Phase::Copied);
        if (this->is_finished)
            return;
        if (this->stream != SourceStream::Open)
            return this->order_stop();
        this->wait_for_handover();
    }

    // --- the end of the run at the source

    /// Orders the source to stop the run and to copy what is new.
    void order_stop()
    {
        ++this->orders;
        this->enter(Phase::HandingOver);
        if (this->is_finished)
            return;
        this->request_copy(true);
        if (this->stream != SourceStream::Open)
            this->limit_response_wait();
    }

    void stop_response_received(Http::ExchangeEnd end, std::string const& reason)
    {
        this->timer.cancel();
        if (end == Http::ExchangeEnd::Complete)
            return this->stop_answered();
        auto const text = Http::describe(end, reason);
        bool const is_unreachable = Http::is_not_connected(end) && !is_own_delay(this->context, end);
        this->failed_connects = is_unreachable ? this->failed_connects + 1 : 0;
        if (is_unreachable && this->stream != SourceStream::Open)
            return this->check_source(text);
        this->order_failed(text);
    }

    void stop_answered()
    {
        this->failed_connects = 0;
        auto const decoded = D::decode_copy(this->response_body);
        StopResponse const response { static_cast<Http::Status>(this->response_status), decoded.has_value() };
        auto const over = RunEndProof::from_response(response, this->stream);
        if (!over)
            return this->order_failed("status " + std::to_string(this->response_status) + " for the last copy");
        if (response.status == Http::Status::ok) {
            this->copy = decoded.value();
            this->log_copy(true);
        }
        this->run_is_over(*over);
    }

    /// The stream has broken off, and the source accepts no connection.
    void check_source(std::string const& reason)
    {
        auto on_state = [weak = this->weak_from_this(), reason](ProcessState state) {
            auto self = weak.lock();
            if (!self || self->is_finished)
                return;
            if (auto const over = RunEndProof::from_process(state, self->failed_connects))
                return self->run_is_over(*over);
            self->order_failed(reason);
        };
        check_termination(this->context, this->inputs.source, std::move(on_state));
    }

    /// The order has not shown that the run is over. As long as the stream is open, the run continues.
    void order_failed(std::string const& reason)
    {
        if (this->is_finished || this->current == Phase::HandedOver)
            return;
        this->log_failure(reason);
        if (auto const over = RunEndProof::from_stream(this->stream, this->orders))
            return this->run_is_over(*over);
        this->order_delay = std::clamp(this->order_delay * 2, busy_retry_delay, max_order_delay);
        this->next_order_at = this->context.now() + this->order_delay;
        this->current = Phase::Copied;
        if (this->stream == SourceStream::Open)
            return this->consider_handover_at(this->next_order_at);
        this->timer.expires_at(this->next_order_at);
        this->timer.async_wait([self = this->shared_from_this()](boost::system::error_code error) {
            if (!error && !self->is_finished && self->current == Phase::Copied)
                self->order_stop();
        });
    }

    /// The stream has ended: an order that is not answered must not keep the caller waiting.
    void limit_response_wait()
    {
        this->timer.expires_after(max_response_wait);
        this->timer.async_wait([self = this->shared_from_this()](boost::system::error_code error) {
            if (error || self->is_finished || self->current != Phase::HandingOver || !self->connection)
                return;
            self->drop_connection();
            self->orders = std::max(self->orders, RunEndProof::min_orders_after_close);
            self->order_failed("the order to stop the run was not answered in time");
        });
    }

    void watch_source()
    {
        this->termination_watch = this->inputs.source->observe_termination([weak = this->weak_from_this()] {
            if (auto self = weak.lock())
                self->source_terminated();
        });
    }

    /// If the stream is still open here, its end follows.
    void source_terminated()
    {
        this->process_has_terminated = true;
        if (this->stream != SourceStream::Open && this->copy && !this->is_finished)
            this->run_is_over(*RunEndProof::from_process(ProcessState::Terminated, 0));
    }

    void run_is_over(RunEndProof const& over)
    {
        if (this->current == Phase::HandedOver)
            return;
        this->proof = over;
        this->enter(Phase::HandedOver);
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
        this->stream_at_target.reset();
    }

    void run_not_found()
    {
        this->drop_link_claims();
        this->log_failure("the generation no longer runs at the source");
        this->drop_reservation();
        this->enter(Phase::Failed);
    }

    void copy_refused(std::string const& reason)
    {
        this->log_failure(reason);
        this->copy.reset();
        this->copy_to_next_target();
    }

    void request_copy_later()
    {
        this->timer.expires_after(busy_retry_delay);
        this->timer.async_wait([self = this->shared_from_this()](boost::system::error_code error) {
            if (!error && !self->is_finished)
                self->request_copy(false);
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
            if (!error && !self->is_finished && self->current == Phase::Copied)
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
        if (now < this->next_order_at)
            return this->consider_handover_at(this->next_order_at);
        if (now < ends_at - handover_margin)
            return this->consider_handover_at(ends_at - handover_margin);
        bool const is_overdue = now >= ends_at + overdue_margin;
        bool const links_are_free
            = this->inputs.source->engine.uncopied_tokens() == 0 && this->chosen->engine.incoming_tokens() == 0;
        if (is_overdue || (links_are_free && now < ends_at - min_handover_time))
            return this->order_stop();
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
    std::optional<TokenClaim> stream_at_target;
    std::shared_ptr<Http::BackendConnection> connection;
    unsigned response_status { 0 };
    std::string response_body;
    std::optional<MemoryCopy> copy;
    /// What has been seen of the stream of the source.
    SourceStream stream { SourceStream::Open };
    std::shared_ptr<Backend::TerminationObserver> termination_watch;
    bool process_has_terminated { false };
    /// Orders to stop the run so far.
    u32 orders { 0 };
    /// Successive orders for which no connection could be made.
    u32 failed_connects { 0 };
    Duration order_delay { 0 };
    Instant next_order_at {};
    std::optional<RunEndProof> proof;
    bool is_finished { false };
};

}
