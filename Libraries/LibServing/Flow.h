/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibHttp/Exchange.h>
#include <LibServing/Answers.h>
#include <LibServing/Dialect.h>
#include <LibServing/ServingContext.h>

namespace Serving {

/// A request that has been checked and may go to a backend server.
struct AdmittedCall {
    std::shared_ptr<Http::Exchange> exchange;
    CallHead head;
    /// Keeps the route and the service alive across changes of the configuration.
    std::shared_ptr<RoutingTable const> routing;
    Route const* route { nullptr };
    Service const* service { nullptr };
    OrganisationId organisation;
    u32 priority { 5 };
    /// When the caller or the route's timeout gives up.
    Instant deadline {};
};

/// What both kinds of request do in the same way.
class Flow {
public:
    Flow(ServingContext& context, AdmittedCall call)
        : context(context)
        , call(std::move(call))
        , deadline_timer(context.loop)
    {
    }

protected:
    [[nodiscard]] Duration time_left() const { return this->call.deadline - this->context.now(); }
    [[nodiscard]] std::string const& attempt() const { return this->call.head.attempt; }
    [[nodiscard]] Http::Exchange& exchange() const { return *this->call.exchange; }

    /// The caller's request as it goes to `target`: without what concerns the caller's connection only.
    template<typename D>
    Http::Request make_dispatch(DispatchHead const& head) const
    {
        Http::Request request = this->call.exchange->request();
        Http::remove_connection_fields(request);
        D::prepare_dispatch(request, head);
        request.version(11);
        request.keep_alive(true);
        request.prepare_payload();
        return request;
    }

    /// Answers in place of a backend server, and says so in the log.
    void answer_error(Error const& error, Conclusion conclusion)
    {
        auto status = status_for(error, conclusion);
        this->context.metrics.add("answers_own_total{status=\"" + std::to_string(static_cast<int>(status)) + "\"}");
        this->context.log.event(Core::EventNumber::RequestRefused, this->attempt())
            .with("status", static_cast<int>(status))
            .with("route", this->call.route->name)
            .with("organisation", this->call.organisation)
            .with("held_ms", this->context.now() - this->exchange().received_at())
            .with("reason", error.message);
        this->exchange().answer(error_answer(error, conclusion));
    }

    void log_avoidance(Backend const& backend, Duration avoidance, std::string_view reason)
    {
        if (avoidance == 0s)
            return;
        this->context.log.event(Core::EventNumber::BackendServerSuspected, backend.server.id.value())
            .with("request", this->attempt())
            .with("avoided_ms", avoidance)
            .with("failures_in_a_row", backend.health.failures_in_a_row)
            .with("reason", reason);
    }

    void note_load(Backend& backend, AnswerHead const& answer)
    {
        if (!answer.load)
            return;
        backend.load = answer.load;
        backend.load_heard_at = this->context.now();
    }

    ServingContext& context;
    AdmittedCall call;
    Http::asio::steady_timer deadline_timer;
};

/// How long a connection to a backend server may take to come up. In a failure domain it takes a millisecond.
inline constexpr Duration connect_patience = 400ms;
/// A backend server whose host has acknowledged nothing for this long is cut off or has no power.
inline constexpr Duration backend_silence_limit = 3s;
/// When the caller of a refused request should come back if nothing better is known.
inline constexpr Duration default_retry_after = 200ms;

}
