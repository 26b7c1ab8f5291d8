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

/// Polls engines for their state, periodically, and polls leaving engines for the time at which they will terminate.
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
            this->poll(backend);
    }

private:
    /// Each poll puts load on the engine, so one host polls an engine on behalf of all hosts. It announces a leaving
    /// engine to the others, since the platform may be unavailable at that time and the notice may be as short as a
    /// second and a half. A partitioned host polls for itself.
    static constexpr Duration period = 350ms;
    /// A partitioned host does not know the other hosts' work at engines. Once in this many rounds it polls all engines
    /// of its own domain; in the other rounds it polls only the engines that run its own generations.
    static constexpr u32 rounds_between_domain_polls = 4;
    /// Average number of engines without work of this host that it polls in such a round. A domain may have hundreds of
    /// engines, and polling all of them would increase the load on a link that may be overloaded already.
    static constexpr double idle_polls_per_round = 16;
    static constexpr Duration response_timeout = 1s;
    /// Upper bound of the age of a report when it arrives.
    static constexpr Duration max_report_age = 600ms;

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
            this->poll_round();
            this->schedule();
        });
    }

    void poll_round()
    {
        ++this->rounds;
        bool const is_partitioned = this->context.reachability.is_partitioned(this->context.now());
        if (is_partitioned)
            this->local_count = std::ranges::count_if(
                this->context.backends.all(), [this](auto const& entry) { return this->is_local(*entry.second); });
        std::vector<BackendPointer> polled;
        this->context.backends.for_each_running([&](BackendPointer const& backend) {
            // Most engines of a large fleet run nothing at a time.
            bool const may_be_polled = is_partitioned || backend->engine.generations() > 0;
            if (may_be_polled && this->is_engine(*backend) && this->wants_report_of(*backend, is_partitioned))
                polled.push_back(backend);
        });
        for (auto const& backend : polled)
            this->poll(backend);
    }

    [[nodiscard]] bool wants_report_of(Backend const& backend, bool is_partitioned)
    {
        if (backend.availability != Availability::Serving)
            return this->needs_termination_time(backend);
        if (!backend.takes_work_at(this->context.now()))
            return false;
        if (is_partitioned && backend.engine.own_generations > 0)
            return true;
        if (is_partitioned && this->rounds % rounds_between_domain_polls == 0 && this->is_local(backend))
            return this->samples_idle_engine();
        return backend.engine.generations() > 0 && this->is_responsible_for(backend);
    }

    [[nodiscard]] bool samples_idle_engine()
    {
        boost::random::uniform_real_distribution<double> chance(0, 1);
        return chance(this->context.random) * static_cast<double>(this->local_count) < idle_polls_per_round;
    }

    [[nodiscard]] bool is_responsible_for(Backend const& backend) const
    {
        auto const& own_address = this->context.settings.peer_address;
        return this->context.reachability.is_responsible_for(
            own_address, backend.server.id.value(), backend.server.failure_domain, this->context.now());
    }

    [[nodiscard]] bool is_local(Backend const& backend) const
    {
        return backend.server.failure_domain == this->context.settings.failure_domain;
    }

    /// The first report after an engine's leaving notice was often made before the notice, and does not contain the
    /// termination time. The same holds for an engine that has been removed from the list. If such an engine is polled
    /// only once, many generations are moved without their second copy.
    [[nodiscard]] bool needs_termination_time(Backend const& backend) const
    {
        return backend.engine.own_generations > 0 && !backend.ends_at;
    }

    void poll(BackendPointer const& backend)
    {
        if (std::exchange(backend->engine.poll_in_flight, true))
            return;
        auto connection = this->context.connections.acquire(backend->endpoint);
        bool const is_new = connection->is_new();
        auto body = std::make_shared<std::string>();
        auto timeout = std::make_shared<AK::Timer>(this->context.loop, response_timeout);
        auto has_response = std::make_shared<bool>(false);
        auto response_head = std::make_shared<BackendResponseHead>();
        timeout->async_wait([connection, backend, has_response](boost::system::error_code error) {
            // The response may have arrived in the same event loop iteration, and the connection may be in use again.
            if (error || *has_response)
                return;
            connection->cancel();
            backend->engine.poll_in_flight = false;
        });
        Http::ExchangeObserver observer {
            [response_head](Http::ResponseHead const& head) {
                auto decoded = D::decode_response(head);
                // Reports name no request; this is a late response to one that the connection has carried before.
                if (!decoded.attempt.empty())
                    return Http::HeadAction::Skip;
                *response_head = std::move(decoded);
                return Http::HeadAction::Accept;
            },
            [body](std::string_view piece) { *body += piece; },
            [this, backend, body, response_head, timeout, has_response, connection, is_new](
                Http::ExchangeEnd end, std::string const& reason) {
                *has_response = true;
                timeout->cancel();
                backend->engine.poll_in_flight = false;
                this->context.connections.release(connection);
                if (Http::is_not_connected(end) && !is_own_delay(this->context, end))
                    record_not_connected(this->context, *backend);
                else if (is_new && end == Http::ExchangeEnd::Complete)
                    record_connected(this->context, *backend);
                auto report = D::decode_engine_report(*body);
                if (!report || is_from(*backend, report.value())) {
                    apply_server_notice(this->context, *backend, *response_head);
                    record_load(this->context, *backend, response_head->load);
                }
                this->handle_response(*backend, end, reason, report);
            },
        };
        connection->exchange(D::engine_report_request(*backend), std::move(observer), connect_timeout,
            backend_silence_limit, Http::BackendConnection::max_own_answer_bytes);
    }

    /// Whether a report comes from this backend server. Another process may use its address, with the same or another
    /// id.
    [[nodiscard]] static bool is_from(Backend const& backend, EngineReport const& report)
    {
        return !report.start || backend.matches_start(*report.start);
    }

    void handle_response(
        Backend& backend, Http::ExchangeEnd end, std::string const& reason, Result<EngineReport> const& report)
    {
        auto now = this->context.now();
        if (end != Http::ExchangeEnd::Complete) {
            this->context.log.event(Core::EventNumber::EngineSilent, backend.server.id.value()).with("reason", reason);
            if (Http::is_not_connected(end) && !is_own_delay(this->context, end))
                suspect(this->context, backend, { true, {}, reason });
            return;
        }
        if (!report) {
            this->context.log.event(Core::EventNumber::EngineSilent, backend.server.id.value())
                .with("reason", report.error().message);
            return;
        }
        if (!is_from(backend, report.value())) {
            // Only a later process can use the address: an earlier one cannot get it back.
            if (backend.server.start < *report.value().start)
                this->context.backend_terminated(backend);
            return;
        }
        record_responding_server(this->context, backend);
        backend.engine.report = report.value();
        backend.engine.report_received_at = now;
        if (report.value().ends_in)
            this->record_termination_time(backend, *report.value().ends_in);
        if (report.value().is_leaving && backend.availability == Availability::Serving)
            this->context.backend_leaves(backend);
    }

    void record_termination_time(Backend& backend, Duration ends_in)
    {
        auto ends_at = this->context.now() + ends_in - max_report_age;
        // The earliest estimate comes from the report that was least old on arrival.
        backend.ends_at = backend.ends_at ? std::min(*backend.ends_at, ends_at) : ends_at;
        this->context.log.event(Core::EventNumber::EngineLeaving, backend.server.id.value())
            .with("ends_in_ms", ends_in)
            .with("own_generations", backend.engine.own_generations);
    }

    ServingContext& context;
    AK::Timer timer;
    u32 rounds { 0 };
    i64 local_count { 0 };
};

}
