/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Timer.h>
#include <LibServing/RequestFlow.h>
#include <algorithm>
#include <boost/random/uniform_real_distribution.hpp>

namespace Serving {

/// Asks engines how they are: each one from time to time, and one that is leaving when it will end.
template<Dialect D>
class EnginePoller {
public:
    explicit EnginePoller(ServingContext& context)
        : context(context)
        , timer(context.loop)
    {
    }

    void start() { this->schedule(); }

    void handle_engine_leaving(BackendPointer const& backend)
    {
        if (this->is_engine(*backend) && backend->engine.own_generations > 0)
            this->ask(backend);
    }

private:
    /// Each question costs the engine something, so one host asks for all, and tells the others of an engine that is
    /// leaving: the platform may be away just then, and notice is as short as a second and a half. A host that is cut
    /// off asks for itself.
    static constexpr Duration period = 350ms;
    /// Of every so many rounds of a host that is cut off one asks all engines of its own domain, since the others' work
    /// there is not known; the rest asks only those that run its own generations.
    static constexpr u32 rounds_to_ask_near = 4;
    /// Engines without work of this host of which about so many are asked in such a round. A domain may have hundreds,
    /// and a host that is short of its link would only make that worse.
    static constexpr double idle_asked_in_a_round = 16;
    static constexpr Duration answer_patience = 1s;
    /// How old a report may be when it comes.
    static constexpr Duration report_age = 600ms;

    [[nodiscard]] bool is_engine(Backend const& backend) const
    {
        if (!this->context.routing)
            return false;
        auto const* service = this->context.routing->find_service(backend.server.service);
        return service && service->engine;
    }

    void schedule()
    {
        this->timer.expires_after(period);
        this->timer.async_wait([this](boost::system::error_code error) {
            if (error)
                return;
            this->ask_round();
            this->schedule();
        });
    }

    void ask_round()
    {
        ++this->rounds;
        this->near_count = std::ranges::count_if(
            this->context.backends.all(), [this](auto const& entry) { return this->is_local(*entry.second); });
        bool const is_partitioned = this->context.reach.is_partitioned(this->context.now());
        for (auto const& backend : this->context.backends.running()) {
            if (this->is_engine(*backend) && this->wants_report_of(*backend, is_partitioned))
                this->ask(backend);
        }
    }

    [[nodiscard]] bool wants_report_of(Backend const& backend, bool is_partitioned)
    {
        if (backend.availability != Availability::Serving)
            return this->wants_end_of(backend);
        if (!backend.takes_work_at(this->context.now()))
            return false;
        if (is_partitioned && backend.engine.own_generations > 0)
            return true;
        if (is_partitioned && this->rounds % rounds_to_ask_near == 0 && this->is_local(backend))
            return this->draws_idle_engine();
        return backend.engine.generations() > 0 && this->is_responsible_for(backend);
    }

    [[nodiscard]] bool draws_idle_engine()
    {
        boost::random::uniform_real_distribution<double> chance(0, 1);
        return chance(this->context.random) * static_cast<double>(this->near_count) < idle_asked_in_a_round;
    }

    [[nodiscard]] bool is_responsible_for(Backend const& backend) const
    {
        auto const& own_address = this->context.settings.peer_address;
        return this->context.reach.is_responsible_for(
            own_address, backend.server.id.value(), backend.server.failure_domain, this->context.now());
    }

    [[nodiscard]] bool is_local(Backend const& backend) const
    {
        return backend.server.failure_domain == this->context.settings.failure_domain;
    }

    /// The first report after an engine's notice is often from before it, and does not tell when it ends. That holds as
    /// well for one that is off the list already: asked once only, many moves come without their second copy.
    [[nodiscard]] bool wants_end_of(Backend const& backend) const
    {
        return backend.engine.own_generations > 0 && !backend.ends_at;
    }

    void ask(BackendPointer const& backend)
    {
        if (std::exchange(backend->engine.poll_in_flight, true))
            return;
        auto connection = this->context.connections.acquire(backend->endpoint);
        auto body = std::make_shared<std::string>();
        auto patience = std::make_shared<AK::Timer>(this->context.loop, answer_patience);
        auto is_answered = std::make_shared<bool>(false);
        auto notice = std::make_shared<BackendResponseHead>();
        patience->async_wait([connection, backend, is_answered](boost::system::error_code error) {
            // The answer may have come in the same turn of the loop, and the connection be in use again.
            if (error || *is_answered)
                return;
            connection->cancel();
            backend->engine.poll_in_flight = false;
        });
        Http::ExchangeObserver observer {
            [notice](Http::ResponseHead const& head) {
                *notice = D::decode_response(head);
                return Http::HeadVerdict::Take;
            },
            [body](std::string_view piece) { *body += piece; },
            [this, backend, body, notice, patience, is_answered, connection](
                Http::ExchangeEnd end, std::string const& reason) {
                *is_answered = true;
                patience->cancel();
                backend->engine.poll_in_flight = false;
                this->context.connections.release(connection);
                auto report = D::decode_engine_report(*body);
                if (!report || is_from(*backend, report.value()))
                    apply_server_notice(this->context, *backend, *notice);
                this->answered(*backend, end, reason, report);
            },
        };
        connection->exchange(
            D::engine_report_request(*backend), std::move(observer), connect_timeout, backend_silence_limit);
    }

    /// Another process may have the address, under this id or another one.
    [[nodiscard]] static bool is_from(Backend const& backend, EngineReport const& report)
    {
        return !report.start || backend.matches_start(*report.start);
    }

    void answered(
        Backend& backend, Http::ExchangeEnd end, std::string const& reason, Result<EngineReport> const& report)
    {
        auto now = this->context.now();
        if (end != Http::ExchangeEnd::Complete) {
            this->context.log.event(Core::EventNumber::EngineSilent, backend.server.id.value()).with("reason", reason);
            if (end == Http::ExchangeEnd::NotConnected)
                suspect(this->context, backend, { true, {}, reason });
            return;
        }
        if (!report) {
            this->context.log.event(Core::EventNumber::EngineSilent, backend.server.id.value())
                .with("reason", report.error().message);
            return;
        }
        if (!is_from(backend, report.value())) {
            // An earlier process cannot have the address again.
            if (backend.server.start < *report.value().start)
                this->context.backend_terminated(backend);
            return;
        }
        backend.engine.report = report.value();
        backend.engine.report_received_at = now;
        if (report.value().ends_in)
            this->note_end(backend, *report.value().ends_in);
        if (report.value().is_leaving && backend.availability == Availability::Serving)
            this->context.backend_leaves(backend);
    }

    void note_end(Backend& backend, Duration ends_in)
    {
        auto told = this->context.now() + ends_in - report_age;
        // The shortest word is the one that was least old.
        backend.ends_at = backend.ends_at ? std::min(*backend.ends_at, told) : told;
        this->context.log.event(Core::EventNumber::EngineLeaving, backend.server.id.value())
            .with("ends_in_ms", ends_in)
            .with("own_generations", backend.engine.own_generations);
    }

    ServingContext& context;
    AK::Timer timer;
    u32 rounds { 0 };
    i64 near_count { 0 };
};

}
