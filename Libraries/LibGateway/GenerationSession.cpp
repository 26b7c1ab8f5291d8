/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/GenerationSession.h>
#include <thread>

namespace Gateway {

// The loop always sends a decision; this only bounds the wait if the process is stopping.
static constexpr Duration max_decision_wait = 25h;
static constexpr int max_refused_connections = 3;
static constexpr Duration resume_backoff = 100ms;

GenerationSession::GenerationSession(GatewayLoop& gateway, GatewaySettings const& settings, CallerWriter& writer)
    : gateway(gateway)
    , settings(settings)
    , writer(writer)
{
}

void GenerationSession::serve(std::shared_ptr<GenerationCall> const& generation_call)
{
    this->call = generation_call.get();
    this->last_token_at = AK::BootClock::now();
    this->gateway.post_begin(generation_call);
    while (true) {
        auto decision = generation_call->decisions.take(max_decision_wait);
        if (!decision || std::holds_alternative<Refused>(*decision)) {
            auto error = decision ? std::get<Refused>(*decision).error
                                  : Error { ErrorKind::NotReady, "this host is stopping; try again", 1s };
            this->writer.fail(error, this->record.outcome(), {});
            return;
        }
        auto const& placed = std::get<Admitted>(*decision);
        auto end = this->relay_new(*generation_call, placed);
        auto const& generation = generation_call->generation;
        switch (end) {
        case RelayEnd::Finished:
            this->gateway.post_finished(generation, wire::FINISH_COMPLETED, this->relay.next_offset(), "completed");
            this->writer.finish(this->relay.next_offset());
            return;
        case RelayEnd::CallerDisconnected:
            this->gateway.post_caller_disconnected(
                { generation, placed.placement.address, placed.placement.attempt, this->attachment },
                this->relay.next_offset());
            return;
        default:
            break;
        }
        if (!this->retry_on_another_engine(generation_call, placed, end)) {
            this->gateway.post_finished(generation, wire::FINISH_FAILED, this->relay.next_offset(),
                "lost at " + placed.placement.engine.value());
            this->fail_lost();
            return;
        }
    }
}

bool GenerationSession::retry_on_another_engine(
    std::shared_ptr<GenerationCall> const& generation_call, Admitted const& placed, RelayEnd end)
{
    if (this->writer.is_stream() && !this->relay.begin_next_attempt())
        return false;
    if (!this->writer.is_stream()) {
        // No tokens have been sent to the caller yet, so another execution can produce the entire response.
        this->relay = Delivery::TokenRelay(AttemptNumber(placed.placement.attempt.value() + 1));
        this->writer.start_over();
        generation_call->delivered = 0;
    }
    auto failure = end == RelayEnd::EngineLeaving ? StreamFailure::Leaving
        : end == RelayEnd::NotStarted             ? StreamFailure::NotStarted
                                                  : StreamFailure::Broken;
    if (failure == StreamFailure::Broken)
        cancel_on_engine(placed.placement.address, generation_call->generation, placed.placement.attempt, {},
            this->settings.connect_timeout);
    this->gateway.post_retry(generation_call, placed.placement.engine, failure);
    return true;
}

void GenerationSession::fail_lost()
{
    this->writer.fail({ ErrorKind::GenerationLost,
                          "the engine lost this generation and no other can continue it; send the request again", {} },
        Delivery::Outcome::MayHaveRun, this->relay.next_offset());
}

GenerationSession::RelayEnd GenerationSession::relay_new(GenerationCall& generation_call, Admitted const& placed)
{
    this->admitted = &placed;
    VERIFY(this->relay.current_attempt() == placed.placement.attempt);
    this->record.about_to_send();
    auto opened = EngineStream::start(placed.placement.address, placed.start, this->settings.stall_limit);
    Source source { generation_call.generation, placed.placement.address };
    if (auto* failure = std::get_if<StreamFailure>(&opened)) {
        if (*failure == StreamFailure::Unknown)
            return RelayEnd::Lost;
        if (*failure != StreamFailure::Broken) {
            this->record.confirmed_not_started();
            return *failure == StreamFailure::Leaving ? RelayEnd::EngineLeaving : RelayEnd::NotStarted;
        }
        // The engine may have started the attempt. Check this before another engine is requested.
        opened = this->reattach(source);
        if (std::holds_alternative<StreamFailure>(opened))
            return RelayEnd::Lost;
    }
    return this->relay_items(source, std::move(std::get<0>(opened)));
}

std::variant<std::unique_ptr<EngineStream>, StreamFailure> GenerationSession::reattach(Source const& source)
{
    auto give_up_at = AK::BootClock::now() + this->settings.resume_timeout;
    int refused = 0;
    while (AK::BootClock::now() < give_up_at) {
        auto opened = EngineStream::resume(source.address, source.generation, this->relay.current_attempt(),
            this->relay.next_offset(), this->settings.stall_limit);
        auto* failure = std::get_if<StreamFailure>(&opened);
        if (!failure || *failure == StreamFailure::Unknown)
            return opened;
        // A process that refuses connections has terminated and lost its generations.
        if (*failure == StreamFailure::NotStarted && ++refused == max_refused_connections)
            return StreamFailure::Unknown;
        std::this_thread::sleep_for(resume_backoff);
    }
    return StreamFailure::Unknown;
}

GenerationSession::RelayEnd GenerationSession::relay_items(Source const& source, std::unique_ptr<EngineStream> stream)
{
    while (true) {
        this->attachment = stream->attachment();
        auto item = stream->next();
        if (auto const* token = std::get_if<EngineToken>(&item)) {
            auto end = this->forward(source, *token);
            if (end == RelayEnd::Finished)
                continue;
            if (end == RelayEnd::CallerDisconnected)
                return end;
        } else if (auto const* finished = std::get_if<EngineFinished>(&item)) {
            if (finished->token_count == this->relay.next_offset())
                return RelayEnd::Finished;
        }
        // The stream is broken, has a gap, or ended before the last token. Resume after the last delivered token.
        this->gateway.own_node().events().record(Core::EventNumber::StreamResumed, source.generation.value(),
            "broken; goes on from offset " + std::to_string(this->relay.next_offset()));
        auto reattached = this->reattach(source);
        if (std::holds_alternative<StreamFailure>(reattached))
            return RelayEnd::Lost;
        stream = std::move(std::get<0>(reattached));
    }
}

/// Returns Finished if the token has been handled, and Lost if tokens before it are missing.
GenerationSession::RelayEnd GenerationSession::forward(Source const& source, EngineToken const& token)
{
    auto is_first = !this->relay.has_delivered();
    switch (this->relay.accept(token.attempt, token.execution, token.offset)) {
    case Delivery::TokenVerdict::Duplicate:
        return RelayEnd::Finished;
    case Delivery::TokenVerdict::Foreign:
    case Delivery::TokenVerdict::Gap:
        return RelayEnd::Lost;
    case Delivery::TokenVerdict::Deliver:
        break;
    }
    if (is_first && this->admitted) {
        this->offer_resume(*this->admitted, token.execution);
        this->gateway.post_first_token(source.generation);
    }
    if (!this->writer.write_token(token.text, token.offset, token.attempt))
        return RelayEnd::CallerDisconnected;
    this->measure_token(is_first);
    if (this->call)
        this->call->delivered = static_cast<u32>(this->relay.next_offset());
    return RelayEnd::Finished;
}

void GenerationSession::measure_token(bool is_first)
{
    auto now = AK::BootClock::now();
    auto& metrics = this->gateway.own_node().metrics();
    metrics.observe(is_first ? "lilac_stall_seconds" : "lilac_gap_seconds", now - this->last_token_at);
    this->last_token_at = now;
}

void GenerationSession::offer_resume(Admitted const& placed, std::string const& execution)
{
    if (!placed.signing_key)
        return;
    auto lifetime = AK::to_milliseconds(this->settings.resume_token_lifetime);
    Delivery::ResumeToken token {
        .generation = placed.start.generation,
        .attempt = placed.placement.attempt,
        .execution = execution,
        .engine = placed.placement.engine,
        .engine_address = placed.placement.address,
        .organisation = placed.organisation,
        .route = placed.route,
        .expires_wall_milliseconds = Core::SystemClock().wall_milliseconds() + static_cast<u64>(lifetime),
    };
    this->writer.set_header("Lilactiller-Resume-Token", Delivery::sign(token, *placed.signing_key));
}

void GenerationSession::serve_resumed(ResumeCall const& resume, Delivery::ResumeToken const& token)
{
    this->relay = Delivery::TokenRelay(token.attempt, resume.next_offset);
    this->relay.pin_execution(token.execution);
    this->last_token_at = AK::BootClock::now();
    this->writer.set_header("Lilactiller-Generation", token.generation.value());
    Source source { token.generation, token.engine_address };
    auto opened = this->reattach(source);
    auto end = std::holds_alternative<StreamFailure>(opened)
        ? RelayEnd::Lost
        : this->relay_items(source, std::move(std::get<0>(opened)));
    switch (end) {
    case RelayEnd::Finished:
        this->writer.finish(this->relay.next_offset());
        break;
    case RelayEnd::CallerDisconnected:
        this->gateway.post_caller_disconnected(
            { token.generation, token.engine_address, token.attempt, this->attachment }, this->relay.next_offset());
        break;
    default:
        this->fail_lost();
    }
    this->gateway.post_resume_ended(token.generation);
}

}
