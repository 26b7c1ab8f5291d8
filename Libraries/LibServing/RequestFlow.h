/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Timer.h>
#include <LibHttp/Exchange.h>
#include <LibServing/Dialect.h>
#include <LibServing/ErrorResponse.h>
#include <LibServing/RateLimit.h>
#include <LibServing/Refusal.h>
#include <LibServing/RequestTerminations.h>
#include <LibServing/ServerNotice.h>
#include <LibServing/Suspicion.h>
#include <functional>
#include <optional>

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
    RequestFingerprint fingerprint;
    u32 priority { 5 };
    /// When the caller or the route's timeout gives up.
    Instant deadline {};
};

/// What both kinds of request do in the same way.
class RequestFlow {
public:
    RequestFlow(ServingContext& context, AdmittedCall call)
        : context(context)
        , call(std::move(call))
        , deadline_timer(context.loop)
    {
    }

protected:
    /// Begins the request's time here: counts it, and calls back when its caller leaves or its deadline passes.
    void begin(std::function<void()> on_caller_left, std::function<void()> on_deadline)
    {
        this->exchange().on_caller_left(std::move(on_caller_left));
        this->deadline_timer.expires_at(this->call.deadline);
        this->deadline_timer.async_wait([this, on_deadline = std::move(on_deadline)](boost::system::error_code error) {
            // A wait that was over in the same turn of the loop as the request is not called off by cancel().
            if (!error && !this->is_over)
                on_deadline();
        });
        this->context.budget.record_request(this->call.service->name, this->context.now());
    }

    /// Ends the request's time here: its deadline concerns nobody any more.
    void end()
    {
        this->is_over = true;
        this->deadline_timer.cancel();
    }

    [[nodiscard]] Duration time_left() const { return this->call.deadline - this->context.now(); }
    [[nodiscard]] std::string const& attempt() const { return this->call.head.attempt; }
    [[nodiscard]] Http::Exchange& exchange() const { return *this->call.exchange; }
    /// How long the request has been here.
    [[nodiscard]] Duration held_for() const { return this->context.now() - this->exchange().received_at(); }
    /// Takes one further dispatch out of the service's budget; false when there is none left.
    [[nodiscard]] bool consume_retry_budget()
    {
        auto const& service = this->call.service->name;
        auto const decision = this->context.budget.take(service, this->context.now());
        auto const* counter = decision.is_granted ? "repeats_total" : "repeats_withheld_total";
        this->context.metrics.add(std::string(counter) + "{service=\"" + service.value() + "\"}");
        this->context.log.event(Core::EventNumber::RepeatDecided, this->attempt())
            .with("service", service)
            .with("granted", static_cast<int>(decision.is_granted))
            .with("left", decision.left)
            .with("hosts", decision.hosts);
        return decision.is_granted;
    }

    /// The caller's request as it goes to the backend server that `head` names: without what concerns the caller's
    /// connection only.
    template<typename D>
    Http::Request make_dispatch(DispatchHead const& head) const
    {
        Http::Request request = this->call.exchange->request();
        Http::remove_connection_fields(request);
        D::prepare_dispatch(request, head);
        request.version(Http::http_1_1);
        request.keep_alive(true);
        request.prepare_payload();
        return request;
    }

    /// ErrorResponse in place of a backend server, and says so in the log.
    void respond_with_error(Error const& error, RequestOutcome outcome)
    {
        auto status = status_for(error, outcome);
        this->context.metrics.add("answers_own_total{status=\"" + std::to_string(static_cast<int>(status)) + "\"}");
        this->context.log.event(Core::EventNumber::RequestRefused, this->attempt())
            .with("status", static_cast<int>(status))
            .with("route", this->call.route->name)
            .with("organisation", this->call.organisation)
            .with("held_ms", this->held_for())
            .with("reason", error.message);
        this->exchange().answer(error_response(error, outcome));
    }

    /// To be called before each dispatch: what comes from now on answers that one.
    void reset_response()
    {
        this->response_head.reset();
        this->response_body.clear();
    }

    /// Takes in the head of `backend`'s answer; false when it belongs to an earlier request.
    template<typename D>
    [[nodiscard]] bool accept_response_head(Backend& backend, Http::ResponseHead const& head)
    {
        auto decoded = D::decode_response(head);
        apply_server_notice(this->context, backend, decoded);
        if (!decoded.attempt.empty() && decoded.attempt != this->attempt())
            return false;
        this->response_head = head;
        this->decoded_response = decoded;
        this->note_load(backend, decoded);
        // Another process's answer says nothing of this one.
        if (!decoded.is_misdirected)
            record_rate_limit(this->context, backend, decoded.limit);
        return true;
    }

    /// Of the answer whose head has come; the same holds for those below.
    [[nodiscard]] unsigned response_status() const { return this->response_head->result_int(); }
    [[nodiscard]] bool is_success() const
    {
        return this->response_status() >= first_success && this->response_status() < first_redirection;
    }
    /// To be called with each dispatch: `on_end` is called when its backend server's process is known to have ended and
    /// the dispatch was to that one. One that was just sent may be with the process that took its place, which refuses
    /// it as not its own.
    void watch_termination(Backend& backend, std::function<void()> on_end)
    {
        this->termination_watch
            = backend.observe_end([this, sent_at = this->context.now(), on_end = std::move(on_end)] {
                  if (this->response_head || this->context.now() - sent_at >= longest_refusal)
                      on_end();
              });
    }

    /// The backend server itself says that it has not run the request and will not.
    [[nodiscard]] bool is_reported_not_run() const
    {
        return this->decoded_response.is_not_run || this->decoded_response.is_misdirected;
    }
    [[nodiscard]] bool is_server_error() const { return this->response_status() >= first_server_error; }

    /// Takes out what concerns this host and the backend server only.
    template<typename D>
    static void remove_hop_fields(Http::Fields& fields)
    {
        Http::remove_connection_fields(fields);
        D::remove_server_notice(fields);
    }

    /// The backend server's whole answer as it goes to the caller.
    template<typename D>
    [[nodiscard]] Http::Response make_relayed_response()
    {
        Http::Response response;
        response.base() = *this->response_head;
        remove_hop_fields<D>(response);
        response.body() = std::move(this->response_body);
        return response;
    }

    /// This request has failed by the fault of `backend`.
    void suspect(Backend& backend, bool is_unreachable, std::string_view reason)
    {
        Serving::suspect(this->context, backend, { is_unreachable, this->attempt(), std::string(reason) });
    }

    /// The connection to `backend` has broken off with this request. Finds out whether its process has ended, and
    /// remembers that unless it was to be expected.
    void check_for_termination(BackendPointer const& backend, std::string_view reason)
    {
        bool const is_expected = backend->availability != Availability::Serving;
        auto asked = [&context = this->context, backend, is_expected, attempt = this->attempt(),
                         fingerprint = this->call.fingerprint, reason = std::string(reason)](ProcessState state) {
            context.log.event(Core::EventNumber::BackendServerDisconnected, backend->server.id.value())
                .with("request", attempt)
                .with("fingerprint", to_text(fingerprint))
                .with("process", to_string(state))
                .with("state", to_string(backend->availability))
                .with("reason", reason);
            if (state == ProcessState::Terminated && !is_expected)
                record_termination_under(context, fingerprint, *backend);
        };
        this->context.processes.query(*backend, std::move(asked));
    }

    /// A backend server has answered whole, and so lives after what it ran of this request.
    void record_completed_run() { record_run_survived(this->context, this->call.fingerprint); }

    /// For how much longer this request is held back, since servers end under it; nothing if it may be sent on.
    [[nodiscard]] std::optional<Duration> quarantined_for() const
    {
        return this->context.quarantine.held_for(this->call.fingerprint, this->context.now());
    }

    /// The answer to a request that is held back and has not run.
    void respond_quarantined(Duration left)
    {
        this->context.metrics.add("requests_held_back_total");
        this->respond_with_error(
            { ErrorKind::RequestQuarantined,
                "servers have ended under this request each time; do not send it again unchanged", left },
            RequestOutcome::NotRun);
    }

    /// `backend` has answered that it did not run this request: it is full or will not, or it is not who it was.
    void record_refusal_of(Backend& backend)
    {
        if (this->decoded_response.is_misdirected)
            return this->context.backend_terminated(backend);
        record_refusal(this->context, backend, this->attempt(), "status " + std::to_string(this->response_status()));
    }

    /// Keeps what the backend server says of its load, if it says anything.
    void note_load(Backend& backend, BackendResponseHead const& answer)
    {
        if (!answer.load)
            return;
        backend.load = answer.load;
        backend.load_heard_at = this->context.now();
    }

    /// A process that is not the one that a request names refuses it in milliseconds, and a second over a link that
    /// loses packets.
    static constexpr Duration longest_refusal = 1s;
    /// Where the classes of HTTP's statuses begin (RFC 9110, section 15).
    static constexpr unsigned first_success = 200;
    static constexpr unsigned first_redirection = 300;
    static constexpr unsigned first_server_error = 500;

    /// While a dispatch is under way: hears of the end of its backend server's process.
    std::shared_ptr<Backend::EndObserver> termination_watch;
    ServingContext& context;
    AdmittedCall call;
    AK::Timer deadline_timer;
    /// Of the dispatch under way or the last one; empty until its head has come.
    std::optional<Http::ResponseHead> response_head;
    BackendResponseHead decoded_response;
    /// A whole answer, so far. Streams pass it by.
    std::string response_body;
    bool is_over { false };
};

/// The end of an exchange whose backend server's process is known to have ended.
inline constexpr std::string_view replaced_reason = "another process has taken its place";

/// Handovers that failed before anything was run do not count as runs, but there must be an end to them.
inline constexpr u32 max_dispatch_attempts = 4;

/// How long a connection to a backend server may take to come up. In a failure domain it takes a millisecond.
inline constexpr Duration connect_timeout = 400ms;
/// A backend server whose host has acknowledged nothing for this long is cut off or has no power.
inline constexpr Duration backend_silence_limit = 3s;
/// The same for a generation, which goes on by itself once a partition is over: nothing is gained by ending it earlier,
/// since it cannot be sent again. Longer than most partitions of failure domains, and bounded so that a caller without
/// a deadline hears of an engine's loss.
inline constexpr Duration generation_silence_limit = 12s;
/// When the caller of a refused request should come back if nothing better is known.
inline constexpr Duration default_retry_after = 200ms;

}
