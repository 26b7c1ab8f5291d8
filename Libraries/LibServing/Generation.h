/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibDelivery/EventStream.h>
#include <LibServing/GenerationMove.h>
#include <LibServing/Overload/CapacityRequest.h>
#include <cmath>

namespace Serving {

/// Places one generation on an engine, relays its events to the caller, and moves it to another engine when its own is
/// leaving.
template<Dialect D>
class Generation : public RequestFlow, public std::enable_shared_from_this<Generation<D>> {
public:
    using RequestFlow::RequestFlow;

    void start()
    {
        auto self = this->shared_from_this();
        this->begin([self] { self->caller_disconnected(); }, [self] { self->deadline_passed(); });
        this->watch_process_end([weak = this->weak_from_this()] {
            if (auto generation = weak.lock())
                generation->process_ends();
        });
        this->capacity.begin(this->need());
        this->place();
    }

private:
    using Move = GenerationMove<D>;
    using Phase = typename Move::Phase;

    /// A generation runs for seconds and is lost if its engine's failure domain becomes partitioned from this host's.
    static constexpr double other_domain_cost = 0.3;
    /// Other engines may free capacity before the source engine terminates, so a failed move is repeated.
    static constexpr Duration move_retry_delay = 150ms;
    static constexpr u32 events_per_gap_sample = 8;
    /// A generation that is expected to stream at least this many events counts as long. Shorter ones end before the
    /// next prompt is read beside them.
    static constexpr double min_long_stream_events = 10;

    struct GapSample {
        /// Events of the sample so far; the first one only starts it.
        u32 events { 0 };
        Instant since {};
    };

    // --- placement

    [[nodiscard]] GenerationDemand const& demand() const { return *this->call.head.demand; }
    [[nodiscard]] EngineTraits const& traits() const { return *this->call.service->engine; }

    [[nodiscard]] GenerationNeed need() const
    {
        auto max_output = this->demand().max_output;
        auto expected = this->demand().estimated_output.value_or(TokenCount(max_output.value() / 2));
        return { this->demand().prompt, std::min(max_output, expected) };
    }

    [[nodiscard]] double expected_events() const
    {
        auto const tokens_per_event = std::max(1U, this->traits().tokens_per_event);
        return static_cast<double>(this->need().expected_output.value()) / tokens_per_event;
    }

    [[nodiscard]] StreamLength stream_length() const
    {
        return this->expected_events() < min_long_stream_events ? StreamLength::Short : StreamLength::Long;
    }

    [[nodiscard]] Overload::StreamDemand stream_demand() const
    {
        auto const goal = this->call.route->event_gap_goal;
        auto const goal_of_others = this->call.routing->min_event_gap_goal(this->call.service->name).value_or(goal);
        auto const due_in = this->call.route->latency_goal - this->elapsed();
        return { static_cast<double>(this->demand().prompt.value()), this->expected_events(), goal, goal_of_others,
            due_in };
    }

    /// A generation that has outrun its estimate is expected to stream a few more events.
    [[nodiscard]] Overload::StreamDemand rest_of_stream() const
    {
        auto rest = this->stream_demand();
        rest.unread_tokens = 0;
        rest.first_event_due_in.reset();
        rest.expected_events
            = std::max(min_long_stream_events, rest.expected_events - static_cast<double>(this->order.count()));
        return rest;
    }

    [[nodiscard]] ChoiceInputs placement_inputs(std::optional<Rollout::Side> side) const
    {
        auto inputs = this->choice_inputs(other_domain_cost, side);
        inputs.stream = this->stream_demand();
        return inputs;
    }

    void place()
    {
        if (auto left = this->quarantined_for()) {
            this->finish();
            return this->respond_quarantined(*left);
        }
        if (this->forwards_after_loss())
            return;
        if (!this->takes_link())
            return this->refuse_for_link();
        if (this->is_out_of_reach()) {
            this->finish();
            return this->refuse_out_of_reach();
        }
        auto const& candidates = this->context.backends.of_service(this->call.service->name);
        auto const limits = this->capacity.limits();
        AdmissionDemand const demand { this->need(), this->call.route->latency_goal - this->elapsed(),
            limits.keep_free_for, limits.most_urgent };
        auto admit_at = [&](std::optional<Rollout::Side> side) {
            return admit(candidates, this->tried, demand, this->traits().memory, this->placement_inputs(side),
                this->context.random);
        };
        auto const choice = this->side_choice(this->tried.empty());
        auto decision = admit_at(choice.side);
        if (decision.verdict != AdmissionVerdict::Admit && choice.may_fall_back)
            decision = admit_at(Rollout::Side::Former);
        this->capacity.record_decision(decision);
        bool const is_behind = this->tried.empty() && decision.serving > 0 && this->capacity.is_behind_others();
        bool const lacks_capacity = is_behind || decision.verdict == AdmissionVerdict::NoCapacity;
        if (lacks_capacity && this->wait())
            return;
        if (decision.verdict != AdmissionVerdict::Admit)
            return this->refuse(decision);
        auto const& chosen = decision.engine;
        this->tried.push_back(chosen->server.id);
        this->context.placements.record(this->context.now());
        this->capacity.record_placed(this->tried.size() == 1);
        this->log_placement(*chosen, decision.pauses);
        this->count_expected_late_streams(decision.pauses);
        auto prompt = this->demand().prompt.value();
        this->claim.emplace(chosen, prompt, prompt, this->stream_length());
        this->context.use_changed();
        this->begin_trial_if_held();
        this->dispatch_to(chosen, {});
    }

    /// Forwards the generation to another host if this one has lost contact to the engines since it began.
    bool forwards_after_loss()
    {
        if (!this->context.service_contact.is_lost(this->call.service->name))
            return false;
        if (!try_forward<D>(this->context, this->call))
            return false;
        this->finish();
        this->context.budget.withdraw_request(this->call.service->name);
        return true;
    }

    /// Reserves this host's link for a long stream. Returns false if the link can't carry it.
    [[nodiscard]] bool takes_link()
    {
        if (this->on_host || this->stream_length() == StreamLength::Short)
            return true;
        if (!this->context.host_load.has_link_for_stream())
            return false;
        this->on_host.emplace(this->context.host_load);
        return true;
    }

    /// Refuses the generation, since the link of this host is in use. The link of another host may be free.
    void refuse_for_link()
    {
        this->context.host_load.record_refused_stream();
        this->context.metrics.add("generations_refused_total{ground=\"link\"}");
        this->context.log.event(Core::EventNumber::GenerationRefused, this->attempt())
            .with("ground", "link")
            .with("streams", this->context.host_load.streams()->admitted)
            .with("link_use", this->context.host_load.link_use());
        this->finish();
        Error const error { ErrorKind::Overloaded,
            "the link of this host can't carry another stream; send it again on a new connection",
            other_host_retry_after };
        this->respond_with_error(error, true);
    }

    /// Waits until an engine has capacity. Returns false if the generation has to be placed or refused now.
    bool wait()
    {
        if (!this->tried.empty())
            return false;
        return this->capacity.wait([weak = this->weak_from_this()](bool is_last) {
            if (auto self = weak.lock())
                self->look_for_capacity(is_last);
        });
    }

    void look_for_capacity(bool is_last)
    {
        if (this->is_over)
            return;
        if (is_last)
            this->capacity.leave_waiting_list();
        this->place();
    }

    /// In thousandths, because counters are whole numbers.
    void count_expected_late_streams(std::optional<Overload::PauseEstimate> const& pauses)
    {
        if (!pauses)
            return;
        constexpr double thousandths = 1000;
        this->context.metrics.add(
            "expected_late_streams_thousandths_total{service=\"" + this->call.service->name.value() + "\"}",
            static_cast<u64>(std::llround(pauses->late_streams() * thousandths)));
    }

    void log_placement(Backend const& chosen, std::optional<Overload::PauseEstimate> const& pauses)
    {
        auto event = this->context.log.event(Core::EventNumber::GenerationPlaced, this->attempt())
                         .with("engine", chosen.server.id)
                         .with("try", this->tried.size())
                         .with("engine_tokens", estimated_tokens(chosen, this->context.now()))
                         .with("engine_unread", chosen.engine.unread_tokens())
                         .with("report_age_ms", this->report_age(chosen))
                         .with("belief_age_ms", this->estimate_age(chosen))
                         .with("cold_left_ms", chosen.cold_left(this->context.now()))
                         .with("back_off_left_ms", chosen.back_off_left(this->context.now()))
                         .with("avoided", static_cast<int>(chosen.is_avoided(this->context.now())))
                         .with("prompt", this->demand().prompt)
                         .with("expected_output", this->need().expected_output)
                         .with("revision", this->call.routing->revision())
                         .with("left_ms", this->time_left());
        if (!pauses)
            return;
        std::move(event)
            .with("streams", chosen.engine.streams())
            .with("pause_ms", pauses->pause)
            .with("late_streams_caused", pauses->caused)
            .with("own_lateness", pauses->own);
    }

    /// Age of the last report from the hosts of the engine's failure domain. It is 0 for the local domain, whose hosts
    /// announce every placement immediately.
    [[nodiscard]] std::string estimate_age(Backend const& engine) const
    {
        auto const& domain = engine.server.failure_domain;
        if (domain == this->context.settings.failure_domain)
            return "0";
        auto age = this->context.reachability.domain_message_age(domain, this->context.now());
        return age == Duration::max() ? "never" : std::to_string(AK::to_milliseconds(age));
    }

    [[nodiscard]] std::string report_age(Backend const& engine) const
    {
        if (!engine.engine.report)
            return "none";
        return std::to_string(AK::to_milliseconds(this->context.now() - engine.engine.report_received_at));
    }

    void dispatch_to(BackendPointer const& target, std::optional<Continuation> continuation)
    {
        this->backend = target;
        this->context.server_limits.record_sent(*target, this->context.now());
        this->runs.begin_dispatch();
        this->reset_response();
        this->reader = {};
        this->bytes_since_event = 0;
        this->dispatched_at = this->context.now();
        this->gap_sample = {};
        this->gaps = {};
        this->reads_alone = !continuation && target->engine.unread_tokens() == this->demand().prompt.value();
        this->connection = this->context.connections.make_new(target->endpoint);
        this->watch_termination(*target, [weak = this->weak_from_this()] {
            if (auto self = weak.lock())
                self->engine_terminated();
        });
        DispatchHead const head { target->server.id, this->call.organisation, this->time_left(),
            std::move(continuation), {} };
        this->connection->exchange(
            this->template make_dispatch<D>(head), this->make_observer(), connect_timeout, generation_silence_limit);
    }

    Http::ExchangeObserver make_observer()
    {
        auto self = this->shared_from_this();
        return { [self](Http::ResponseHead const& head) { return self->head_received(head); },
            [self](std::string_view piece) { self->body_received(piece); },
            [self](Http::ExchangeEnd end, std::string const& reason) { self->exchange_ended(end, reason); } };
    }

    // --- response

    Http::HeadAction head_received(Http::ResponseHead const& head)
    {
        if (!is_awaited(this->template receive_response_head<D>(*this->backend, head)))
            return Http::HeadAction::Skip;
        this->response_is_framed
            = head.count(Http::Name::transfer_encoding) > 0 || head.count(Http::Name::content_length) > 0;
        if (!this->is_relayed_stream())
            return Http::HeadAction::Accept;
        record_success(*this->backend);
        if (this->move)
            this->continued();
        else if (!this->exchange().is_streaming())
            this->begin_stream(head);
        return Http::HeadAction::Accept;
    }

    /// Whether the current response is an event stream that is relayed to the caller.
    [[nodiscard]] bool is_relayed_stream() const
    {
        return this->is_success() && this->decoded_response.is_signed && !this->decoded_response.is_not_run;
    }

    void begin_stream(Http::ResponseHead head)
    {
        this->template remove_hop_fields<D>(head);
        this->exchange().begin_stream(head);
    }

    void body_received(std::string_view piece)
    {
        if (!this->is_relayed_stream())
            return this->collect(piece);
        this->bytes_since_event += piece.size();
        for (auto const& event : this->reader.feed(piece)) {
            auto verdict = this->order.check(event);
            if (verdict == Delivery::EventOrder::Verdict::Gap)
                return this->fail_stream("event numbers from the engine have a gap");
            if (verdict == Delivery::EventOrder::Verdict::Forward)
                this->forward(event);
            if (verdict == Delivery::EventOrder::Verdict::Forward && event.number)
                this->bytes_since_event = 0;
            // Sending the event may have closed the caller's connection.
            if (this->is_over)
                return;
        }
        if (this->reader.is_oversized())
            return this->fail_stream("the engine sent an event that exceeds the size limit");
        if (this->bytes_since_event > Delivery::EventStreamReader::max_event_bytes)
            return this->fail_stream("the engine sends bytes that are no new event");
        this->consider_move();
        this->apply_back_pressure();
    }

    void collect(std::string_view piece)
    {
        if (this->response_body.append(piece))
            return;
        this->connection->cancel();
        this->exchange_ended(Http::ExchangeEnd::TooLarge, std::string(too_large_reason));
    }

    /// Reads no more from the engine while the caller has too much to read. The engine stops waiting after some
    /// seconds, so this happens only when the host's memory is needed. An engine that is leaving is read to the end.
    void apply_back_pressure()
    {
        if (!this->connection || this->move || this->must_move() || !this->exchange().must_pause())
            return;
        this->connection->pause();
        this->context.metrics.add("streams_paused_total");
        this->exchange().wait_until_read([weak = this->weak_from_this()] {
            auto self = weak.lock();
            if (self && self->connection)
                self->connection->resume();
        });
    }

    void forward(Delivery::StreamEvent const& event)
    {
        auto now = this->context.now();
        if (this->order.count() == 1)
            this->first_event(now);
        else
            this->further_event(now - this->last_event_at);
        this->max_gap = std::max(this->max_gap, now - this->last_event_at);
        this->last_event_at = now;
        this->sample_event_gap(now);
        this->claim->grow(this->traits().tokens_per_event);
        if (this->on_host)
            this->on_host->record_event(Http::Traffic::on_link(event.text.size()));
        this->exchange().send_chunk(event.text);
    }

    void further_event(Duration gap)
    {
        this->context.metrics.observe("event_gap_seconds", gap);
        if (gap > this->call.route->event_gap_goal)
            this->context.metrics.add("pauses_over_goal_total{route=\"" + this->call.route->name.value() + "\"}");
        observe_event_gap(this->context, *this->backend, this->gaps, gap);
    }

    /// Records the mean gap of each few events, so that a slow version shows before its streams end.
    void sample_event_gap(Instant now)
    {
        if (this->gap_sample.events == 0)
            this->gap_sample.since = now;
        if (this->gap_sample.events++ < events_per_gap_sample)
            return;
        this->record_event_gap(*this->backend, (now - this->gap_sample.since) / events_per_gap_sample);
        this->gap_sample = { 1, now };
    }

    void first_event(Instant now)
    {
        this->record_answer(*this->backend, false, now - this->dispatched_at);
        this->record_parts_survived();
        this->last_event_at = now;
        this->claim->prompt_read();
        if (this->reads_alone && this->backend->engine.unread_tokens() == 0)
            observe_prompt_time(this->context, *this->backend, this->demand().prompt, now - this->dispatched_at);
        this->context.use_changed();
        auto waited = now - this->exchange().received_at();
        this->context.metrics.observe("first_event_seconds", waited);
        this->context.log.event(Core::EventNumber::FirstTokenDelivered, this->attempt())
            .with("engine", this->backend->server.id)
            .with("waited_ms", waited);
    }

    /// The engine's process has terminated with all its generations, even if the connection still looks open.
    void engine_terminated()
    {
        if (!this->connection)
            return;
        this->connection->cancel();
        this->exchange_ended(Http::ExchangeEnd::NoResponse, std::string(replaced_reason));
    }

    void exchange_ended(Http::ExchangeEnd end, std::string const& reason)
    {
        this->connection = nullptr;
        this->termination_watch = nullptr;
        auto const proof = this->proof_of_not_run(end);
        this->runs.end_dispatch(proof);
        if (this->move && this->source_disconnected(end))
            return;
        if (end == Http::ExchangeEnd::Complete && this->is_relayed_stream())
            return this->stream_complete();
        if (end == Http::ExchangeEnd::Complete)
            return this->non_stream_response(proof);
        bool const is_unreachable = Http::is_not_connected(end);
        auto text = Http::describe(end, reason);
        if (is_unreachable) {
            this->record_unreachable(*this->backend, end, reason);
        } else {
            this->suspect(*this->backend, false, reason);
            this->record_answer(*this->backend, true, {});
            this->check_for_termination(this->backend, text, this->dispatched_at, this->order.count());
        }
        this->log_dispatch_end(*this->backend, text, proof, this->dispatched_at);
        if (this->exchange().is_streaming())
            return this->fail_stream(text);
        if (proof)
            return this->place_again(text, is_unreachable);
        this->finish();
        this->respond_with_error(
            { ErrorKind::BackendServerFailed, "the engine failed (" + text + "); the generation may have run", {} });
    }

    void stream_complete()
    {
        this->record_completed_run();
        if (this->reader.has_partial_event())
            return this->fail_stream("the last event was truncated");
        this->log_end("complete");
        this->finish();
        this->exchange().end_stream();
    }

    /// Handles a complete response that is not an event stream.
    void non_stream_response(std::optional<NotRunProof> const& proof)
    {
        this->log_dispatch_end(*this->backend, to_string(Http::ExchangeEnd::Complete), proof, this->dispatched_at);
        if (this->exchange().is_streaming())
            return this->continuation_refused(proof);
        if (proof) {
            this->record_refusal_of(*this->backend);
            return this->place_again("status " + std::to_string(this->response_status()), false);
        }
        this->record_completed_run();
        this->record_answer(*this->backend, this->is_server_error() || this->is_success(), {});
        if (this->is_server_error())
            this->suspect(*this->backend, false, "status " + std::to_string(this->response_status()));
        this->finish();
        if (this->response_status() < first_redirection)
            return this->respond_with_error({ ErrorKind::BackendServerFailed,
                "the engine's answer carries no signature; the generation may have run", {} });
        this->context.log.event(Core::EventNumber::StreamEnded, this->attempt())
            .with("engine", this->backend->server.id)
            .with("status", this->response_status());
        if (promises_not_run(this->response_status()))
            return this->respond_unproved_refusal();
        this->exchange().respond(this->template make_relayed_response<D>());
    }

    /// `is_free` is set when the last dispatch reached no engine. The next one then takes nothing from the retry
    /// budget.
    void place_again(std::string const& reason, bool is_free)
    {
        this->context.log.event(Core::EventNumber::PlacementRepeated, this->attempt())
            .with("from", this->backend->server.id)
            .with("reason", reason);
        this->claim.reset();
        this->context.use_changed();
        bool const may_try = this->tried.size() < max_dispatch_attempts && (is_free || this->consume_retry_budget());
        if (may_try)
            return this->place();
        this->refuse(reason, default_retry_after);
    }

    void refuse(Admission decision)
    {
        this->capacity.stop_waiting("refused");
        if (decision.verdict == AdmissionVerdict::NoCapacity)
            decision.retry_after = this->capacity.return_time(this->choice_inputs(other_domain_cost, {}));
        auto const verdict = std::string(to_string(decision.verdict));
        this->context.metrics.add("generations_refused_total{ground=\"" + verdict + "\"}");
        this->context.log.event(Core::EventNumber::GenerationRefused, this->attempt())
            .with("ground", verdict)
            .with("engines", decision.serving)
            .with("with_room", decision.with_capacity)
            .with("tries", this->tried.size())
            .with("prompt", this->demand().prompt)
            .with("expected_output", this->need().expected_output)
            .with("retry_after_ms", decision.retry_after)
            .with("priority", this->call.priority)
            .with("route_priority", this->call.route->priority)
            .with("use_of_share", this->capacity.use_of_share())
            .with("shortage_age_ms", this->capacity.shortage_age());
        if (decision.verdict == AdmissionVerdict::TooLarge)
            return this->refuse_as_too_large();
        this->refuse(reason_of(decision.verdict), decision.retry_after);
    }

    static std::string reason_of(AdmissionVerdict verdict)
    {
        switch (verdict) {
        case AdmissionVerdict::NoCapacity:
            return "all that serve are full";
        case AdmissionVerdict::BackingOff:
            return "all that serve have asked for a pause";
        default:
            return "no engine of the service is known to serve";
        }
    }

    void refuse_as_too_large()
    {
        this->finish();
        this->respond_not_acceptable({ ErrorKind::InvalidRequest,
            "the prompt does not fit the memory of any engine; send one of "
                + std::to_string(this->traits().memory.value()) + " tokens at most",
            {} });
    }

    void refuse(std::string const& reason, Duration retry_after)
    {
        this->finish();
        this->respond_with_error(
            { ErrorKind::Overloaded, "no engine took the generation (" + reason + "); send it again", retry_after });
    }

    // --- move

    [[nodiscard]] bool must_move() const
    {
        if (this->backend->availability != Availability::Serving)
            return true;
        auto const side = this->backend->rollout_side;
        return side && this->context.rollouts.is_retired(this->call.service->name, *side);
    }

    /// Called for each chunk of the stream, and when the generation has resumed at its target, which may be leaving
    /// too.
    void consider_move()
    {
        if (this->move || !this->backend || !this->must_move())
            return;
        if (!this->traits().can_move || this->context.now() < this->next_move_at)
            return;
        typename Move::Inputs inputs { this->attempt(), this->backend, TokenCount(this->claim->held_tokens()),
            this->traits(), this->rest_of_stream(), this->stream_length(), this->call.regions };
        std::weak_ptr<Generation> weak = this->weak_from_this();
        this->move = std::make_shared<Move>(this->context, std::move(inputs), [weak] {
            if (auto self = weak.lock())
                self->move_advanced();
        });
        this->move->start();
    }

    void move_advanced()
    {
        if (this->move->phase() == Phase::HandedOver)
            return this->continue_at_target();
        if (this->move->phase() != Phase::Failed)
            return;
        this->move = nullptr;
        this->next_move_at = this->context.now() + move_retry_delay;
        if (!this->connection && !this->is_over)
            this->fail_stream("the engine terminated before its memory was copied");
    }

    /// Handles the end of the source's connection during a move. Returns true if that end is expected or the generation
    /// can resume from its copy.
    bool source_disconnected(Http::ExchangeEnd end)
    {
        if (this->continuing)
            return false;
        // Without Content-Length or chunked encoding, a completed run and a stopped one end the connection alike.
        bool const is_complete
            = end == Http::ExchangeEnd::Complete && this->response_is_framed && this->is_relayed_stream();
        if (is_complete)
            return false;
        this->move->source_stream_ended();
        return true;
    }

    /// Resumes the generation at the target, since its run at the source is over.
    void continue_at_target()
    {
        if (this->continuing || this->is_over)
            return;
        // Events of the source may still be in transit. The target regenerates those that did not arrive.
        if (this->connection)
            this->connection->cancel();
        this->continuing = true;
        this->move->finish();
        auto target = this->move->target();
        auto held = this->claim->held_tokens();
        this->claim.emplace(target, held, 0, this->stream_length());
        this->context.use_changed();
        this->continue_after_back_off(target, this->continuation());
    }

    [[nodiscard]] Continuation continuation() const
    {
        return this->move->continuation(*this->move->run_end(), this->order.last());
    }

    /// The generation can resume only at the engine that holds its copy, so this waits for the end of that engine's
    /// backoff.
    void continue_after_back_off(BackendPointer const& target, Continuation continuation)
    {
        auto const delay = target->back_off_left(this->context.now());
        if (delay == 0s)
            return this->dispatch_to(target, std::move(continuation));
        // The source is no longer needed.
        this->connection = nullptr;
        this->termination_watch = nullptr;
        auto timer = std::make_shared<AK::Timer>(this->context.loop, delay);
        timer->async_wait([timer, weak = this->weak_from_this(), target, continuation = std::move(continuation)](
                              boost::system::error_code error) {
            auto self = weak.lock();
            if (!error && self && !self->is_over)
                self->continue_after_back_off(target, continuation);
        });
    }

    void continued()
    {
        auto now = this->context.now();
        this->context.metrics.add("generations_moved_total");
        this->context.log.event(Core::EventNumber::GenerationMoved, this->attempt())
            .with("from", this->move->source()->server.id)
            .with("to", this->backend->server.id)
            .with("events", this->order.count())
            .with("run_end", to_string(this->move->run_end()->ground()))
            .with("paused_ms", now - this->last_event_at)
            .with("took_ms", now - this->move->started_at());
        this->move = nullptr;
        this->continuing = false;
        this->consider_move();
    }

    void continuation_refused(std::optional<NotRunProof> const& proof)
    {
        bool const can_resume_later = proof && this->backend->back_off_left(this->context.now()) > 0s;
        // The same run resumes, so this takes nothing from the retry budget.
        if (can_resume_later) {
            this->record_refusal_of(*this->backend);
            return this->continue_after_back_off(this->backend, this->continuation());
        }
        this->fail_stream("the engine that holds the copy returned status " + std::to_string(this->response_status()));
    }

    // --- completion and failure

    /// Aborts a stream that has begun and can't be completed.
    void fail_stream(std::string const& reason)
    {
        this->context.metrics.add("streams_lost_total");
        this->context.log.event(Core::EventNumber::StreamFailed, this->attempt())
            .with("engine", this->backend ? this->backend->server.id : EngineId("none"))
            .with("events", this->order.count())
            .with("moving", static_cast<int>(this->move != nullptr))
            .with("reason", reason);
        this->abandon();
        this->exchange().abort();
    }

    void deadline_passed()
    {
        if (this->capacity.is_waiting())
            return this->refuse_at_deadline();
        this->log_end("deadline");
        bool const has_begun = this->exchange().is_streaming();
        if (!has_begun && this->connection)
            this->record_answer(*this->backend, true, {});
        this->abandon();
        if (has_begun)
            return this->exchange().abort();
        this->respond_with_error(
            { ErrorKind::DeadlineUnreachable, "the engine made no event in time; the generation may have run", {} });
    }

    /// Refuses a generation that still waits for capacity at its deadline. It is not placed even if there is capacity
    /// by now, since nothing would end it any more, and its caller is not expected to return.
    void refuse_at_deadline()
    {
        this->capacity.stop_waiting("deadline");
        this->finish();
        this->respond_with_error({ ErrorKind::DeadlineUnreachable,
            "no engine had capacity for the generation before its deadline; send it again with a later one", {} });
    }

    void process_ends()
    {
        if (this->exchange().is_streaming())
            return this->fail_stream("this host stops");
        this->abandon();
        this->respond_process_ends();
    }

    void caller_disconnected()
    {
        this->context.log.event(Core::EventNumber::CallerLeft, this->attempt())
            .with("events", this->order.count())
            .with("held_ms", this->elapsed());
        this->abandon();
    }

    void log_end(std::string_view how)
    {
        this->context.log.event(Core::EventNumber::StreamEnded, this->attempt())
            .with("how", how)
            .with("engine", this->backend ? this->backend->server.id : EngineId("none"))
            .with("route", this->call.route->name)
            .with("organisation", this->call.organisation)
            .with("events", this->order.count())
            .with("longest_gap_ms", this->max_gap)
            .with("pause_goal_ms", this->call.route->event_gap_goal)
            .with("held_ms", this->elapsed());
    }

    void abandon()
    {
        if (this->connection)
            this->connection->cancel();
        this->connection = nullptr;
        this->termination_watch = nullptr;
        this->finish();
    }

    void finish()
    {
        this->end();
        this->capacity.stop_waiting("over");
        if (this->move)
            this->move->cancel();
        this->move = nullptr;
        this->record_end();
        this->claim.reset();
        this->on_host.reset();
        this->context.use_changed();
    }

    void record_end()
    {
        if (this->claim && this->backend)
            this->capacity.record_ended(this->claim->held_tokens(), this->context.now() - this->dispatched_at);
    }

    BackendPointer backend;
    std::shared_ptr<Http::BackendConnection> connection;
    std::optional<EngineClaim> claim;
    std::optional<Overload::StreamOnHost> on_host;
    CapacityRequest capacity { this->context, this->call };
    std::vector<EngineId> tried;
    bool response_is_framed { false };
    Delivery::EventStreamReader reader;
    Delivery::EventOrder order;
    /// Received since the last new event.
    u64 bytes_since_event { 0 };
    Instant dispatched_at {};
    GapSample gap_sample;
    Overload::EventGaps gaps;
    /// At the dispatch, the engine had no other prompt to read.
    bool reads_alone { false };
    Instant last_event_at {};
    Duration max_gap { 0 };
    std::shared_ptr<Move> move;
    Instant next_move_at {};
    bool continuing { false };
};

}
