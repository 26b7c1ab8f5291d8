/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Timer.h>
#include <LibHttp/Exchange.h>
#include <LibServing/BackendChooser.h>
#include <LibServing/CollectedBody.h>
#include <LibServing/Contact.h>
#include <LibServing/Dialect.h>
#include <LibServing/ErrorResponse.h>
#include <LibServing/Overload/DomainFailures.h>
#include <LibServing/Overload/ServerPace.h>
#include <LibServing/RateLimit.h>
#include <LibServing/Refusal.h>
#include <LibServing/RequestTerminations.h>
#include <LibServing/RunRecord.h>
#include <LibServing/ServerNotice.h>
#include <LibServing/ServiceReachability.h>
#include <LibServing/Suspicion.h>
#include <LibServing/TerminationCheck.h>
#include <functional>
#include <optional>

namespace Serving {

/// A validated request that may be dispatched to a backend server.
struct AdmittedCall {
    std::shared_ptr<Http::Exchange> exchange;
    CallHead head;
    /// Owns `route` and `service`, which stay valid when a newer configuration comes into force.
    std::shared_ptr<RoutingTable const> routing;
    Route const* route { nullptr };
    Service const* service { nullptr };
    OrganisationId organisation;
    RequestFingerprint fingerprint;
    /// Of the prompt's parts that other requests may share, in their order.
    std::vector<RequestFingerprint> part_fingerprints;
    /// Where it may be served, by its route and its organisation.
    AllowedRegions regions;
    u32 priority { 5 };
    /// The earlier of the caller's and the route's timeout.
    Instant deadline {};
};

/// Base class of ServiceCall and Generation: deadline, dispatch headers, response headers, retry budget and errors.
class RequestFlow {
public:
    RequestFlow(ServingContext& context, AdmittedCall call)
        : context(context)
        , call(std::move(call))
        , deadline_timer(context.loop)
        , response_body(context.collected_responses)
    {
    }

protected:
    /// Counts the request towards the retry budget, and starts to watch for its caller's disconnect and its deadline.
    void begin(std::function<void()> on_caller_disconnected, std::function<void()> on_deadline)
    {
        this->watch(std::move(on_caller_disconnected), std::move(on_deadline), this->call.deadline);
        this->context.budget.record_request(this->call.service->name, this->context.now());
    }

    /// Registers the handler that responds to the caller if this process has to end before the response is complete.
    void watch_process_end(std::function<void()> on_process_end)
    {
        this->open_request.emplace(this->context.open_requests, std::move(on_process_end));
    }

    /// Starts to watch for the caller's disconnect and for `deadline`.
    void watch(std::function<void()> on_caller_disconnected, std::function<void()> on_deadline, Instant deadline)
    {
        this->exchange().on_caller_disconnected(std::move(on_caller_disconnected));
        this->deadline_timer.expires_at(deadline);
        this->deadline_timer.async_wait([this, on_deadline = std::move(on_deadline)](boost::system::error_code error) {
            // cancel() doesn't stop a handler whose timer expired in the event loop iteration in which the request
            // ended.
            if (!error && !this->is_over)
                on_deadline();
        });
    }

    /// Marks the request as ended and cancels its deadline.
    void end()
    {
        this->is_over = true;
        this->deadline_timer.cancel();
        this->open_request.reset();
    }

    [[nodiscard]] Duration time_left() const { return this->call.deadline - this->context.now(); }
    [[nodiscard]] std::string const& attempt() const { return this->call.head.attempt; }
    [[nodiscard]] Http::Exchange& exchange() const { return *this->call.exchange; }
    /// Time since the request was received.
    [[nodiscard]] Duration elapsed() const { return this->context.now() - this->exchange().received_at(); }
    /// Takes one further dispatch from the service's retry budget. Returns false if the budget is exhausted.
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

    /// Inputs for the choice of a backend server for this request.
    [[nodiscard]] ChoiceInputs choice_inputs(double other_domain_cost, std::optional<Rollout::Side> side) const
    {
        auto inputs = this->context.choice_inputs(other_domain_cost);
        inputs.side = side;
        inputs.regions = this->call.regions;
        inputs.doubtful_domains = this->context.domain_doubt.doubtful_domains(this->call.service->name, inputs.now);
        inputs.slowness = this->context.slowness_of(this->call.service->name);
        return inputs;
    }

    /// Whether no backend server of the service can be reached from here, although others can most likely reach them.
    [[nodiscard]] bool is_out_of_reach() const
    {
        auto const& service = this->call.service->name;
        // The host that forwarded the request can ask another one.
        if (this->exchange().origin() == Http::RequestOrigin::Host && this->context.service_contact.is_lost(service))
            return true;
        auto const& unreachable = this->context.unreachable_services;
        if (std::ranges::find(unreachable, service) == unreachable.end())
            return false;
        auto const now = this->context.now();
        return Serving::is_out_of_reach(this->context.backends.of_service(service),
            this->context.reachability.silent_domains(now), now, this->context.domain_doubt);
    }

    /// Refuses a request that has not run and whose service is out of reach. The caller's next connection goes to
    /// another host, since this one reports that it is not ready.
    void refuse_out_of_reach()
    {
        this->context.metrics.add("requests_out_of_reach_total");
        Error const error { ErrorKind::NoBackendServer,
            "no backend server of the service can be reached from this host; send it again on a new connection",
            other_host_retry_after };
        this->respond_with_error(error, true);
    }

    /// Responds to a request whose response can't be awaited, because this process ends.
    void respond_process_ends()
    {
        if (!this->runs.may_have_run())
            return this->respond_with_error(leaving_error(), true);
        this->respond_with_error(
            { ErrorKind::Leaving, "this host stops before the backend server has answered; the request may have run",
                {} },
            true);
    }

    /// The side of a roll-out that serves the next dispatch of this request.
    [[nodiscard]] Rollout::SideChoice side_choice(bool is_first_dispatch) const
    {
        auto const& rollouts = this->context.rollouts;
        auto const& service = this->call.service->name;
        auto const* rollout = rollouts.find(service);
        // The former version's servers stop when a roll-out is completed, which this host may not know yet. A version
        // that was rolled back gets nothing even if no other is left.
        bool const is_rolled_back = rollout && rollout->record && rollout->record->stage == Rollout::Stage::RolledBack;
        if (rollout && !is_rolled_back && !this->context.backends.has_side(service, Rollout::Side::Former))
            return {};
        return is_first_dispatch ? rollouts.side_for(service, this->attempt()) : rollouts.side_for_repeats(service);
    }

    /// Counts an answer of `backend`, or that it failed to give one, while its service is rolled out. Servers are slow
    /// while they are cold, which says nothing about their version.
    void record_answer(Backend const& backend, bool is_failure, std::optional<Duration> response_time)
    {
        auto* answers = this->answers_of(backend);
        if (!answers)
            return;
        ++answers->count;
        if (is_failure)
            ++answers->failures;
        else if (response_time && backend.cold_left(this->context.now()) == 0s)
            answers->response_times.record(*response_time);
    }

    void record_event_gap(Backend const& backend, Duration mean_gap)
    {
        if (auto* answers = this->answers_of(backend))
            answers->event_gaps.record(mean_gap);
    }

    /// Returns the caller's request as it is sent to the backend server that `head` names, without the headers that
    /// apply only to the caller's connection.
    template<typename D>
    Http::OutgoingRequest make_dispatch(DispatchHead const& head) const
    {
        auto request = this->copy_of_request();
        D::prepare_dispatch(request.message, head);
        request.message.prepare_payload();
        return request;
    }

    /// Returns the caller's request for another connection. It shares the body, which lives as long as the exchange.
    [[nodiscard]] Http::OutgoingRequest copy_of_request() const
    {
        auto const& exchange = this->call.exchange;
        auto const& received = exchange->request();
        Http::OutgoingRequest request(received.base(), std::shared_ptr<std::string const>(exchange, &received.body()));
        Http::remove_connection_fields(request.message);
        if (!exchange->long_fields().empty())
            request.long_fields = std::shared_ptr<Http::LongFields const>(exchange, &exchange->long_fields());
        request.message.version(Http::http_1_1);
        request.message.keep_alive(true);
        return request;
    }

    /// Sends the caller an error response of this host, and logs it. Its status tells whether the request may have run.
    /// `closes_connection`: the caller is to use a new connection for its next request.
    void respond_with_error(Error const& error, bool closes_connection = false)
    {
        this->send_error(error, this->runs.outcome(), closes_connection);
    }

    /// The same for a request that the caller has to change before it sends it again.
    void respond_not_acceptable(Error const& error) { this->send_error(error, RequestOutcome::NotAcceptable, false); }

    /// Responds in place of a server whose status promises that the request has not run, which nothing proves.
    void respond_unproved_refusal()
    {
        this->context.metrics.add("refusals_unproved_total");
        this->respond_with_error({ ErrorKind::BackendServerFailed,
            "the backend server returned status " + std::to_string(this->response_status())
                + " without reporting that it has not run the request; the request may have run",
            {} });
    }

    void send_error(Error const& error, RequestOutcome outcome, bool closes_connection)
    {
        auto status = status_for(error, outcome);
        this->context.metrics.add("answers_own_total{status=\"" + std::to_string(static_cast<int>(status)) + "\"}");
        this->context.log.event(Core::EventNumber::RequestRefused, this->attempt())
            .with("status", static_cast<int>(status))
            .with("route", this->call.route->name)
            .with("organisation", this->call.organisation)
            .with("held_ms", this->elapsed())
            .with("reason", error.message);
        auto response = error_response(error, outcome, this->exchange().origin());
        response.keep_alive(!closes_connection);
        this->exchange().respond(std::move(response));
    }

    /// Clears the response of the previous dispatch. To be called before each dispatch.
    void reset_response()
    {
        this->responses_skipped = 0;
        this->response_head.reset();
        this->response_body.clear();
    }

    /// Records the response head from `backend` if it is the response to this request.
    template<typename D>
    [[nodiscard]] ResponseSubject receive_response_head(Backend& backend, Http::ResponseHead const& head)
    {
        auto decoded = D::decode_response(head);
        apply_server_notice(this->context, backend, decoded);
        bool const is_first = this->requests_on_connection == 1 && this->responses_skipped == 0;
        auto const subject = subject_of(decoded, this->attempt(), is_first);
        if (!is_awaited(subject)) {
            ++this->responses_skipped;
            this->log_skipped(backend, decoded, head.result_int());
            return subject;
        }
        this->response_head = head;
        this->decoded_response = decoded;
        this->response_subject = subject;
        // A misdirected response comes from another process and doesn't carry this server's load and limit.
        if (decoded.is_misdirected)
            return subject;
        record_responding_server(this->context, backend);
        if (this->is_on_new_connection)
            record_connected(this->context, backend);
        record_load(this->context, backend, decoded.load);
        record_rate_limit(this->context, backend, decoded.limit);
        return subject;
    }

    void log_skipped(Backend const& backend, BackendResponseHead const& response, unsigned status)
    {
        this->context.metrics.add("responses_skipped_total");
        this->context.log.event(Core::EventNumber::ResponseSkipped, this->attempt())
            .with("backend", backend.server.id)
            .with("status", status)
            .with("names", response.attempt.empty() ? "none" : response.attempt)
            .with("says_not_run", static_cast<int>(response.is_not_run))
            .with("connection_requests", this->requests_on_connection);
    }

    /// Logs the end of a dispatch that brought no success, and what this host concludes from it. `end`: how the
    /// exchange ended.
    void log_dispatch_end(
        Backend const& backend, std::string_view end, std::optional<NotRunProof> const& proof, Instant dispatched_at)
    {
        auto const& response = this->decoded_response;
        bool const has_head = this->response_head.has_value();
        this->context.log.event(Core::EventNumber::DispatchEnded, this->attempt())
            .with("backend", backend.server.id)
            .with("end", end)
            .with("status", has_head ? this->response_status() : 0)
            .with("named", static_cast<int>(has_head && this->response_subject == ResponseSubject::Named))
            .with("signed", static_cast<int>(has_head && response.is_signed))
            .with("says_not_run", static_cast<int>(has_head && response.is_not_run))
            .with("connection_requests", this->requests_on_connection)
            .with("took_ms", this->context.now() - dispatched_at)
            .with("concludes", proof ? "not_run" : "may_have_run")
            .with("proof", proof ? to_string(proof->ground()) : "none");
    }

    /// The proof that the current dispatch has not run, if its end gives one.
    [[nodiscard]] std::optional<NotRunProof> proof_of_not_run(Http::ExchangeEnd end) const
    {
        if (this->response_head)
            return NotRunProof::from_response(this->decoded_response, this->response_subject);
        return NotRunProof::from_connection(end);
    }

    /// Status of the current response. This function, is_success(), is_server_error() and make_relayed_response()
    /// require that the response head has been received.
    [[nodiscard]] unsigned response_status() const { return this->response_head->result_int(); }
    [[nodiscard]] bool is_success() const
    {
        return this->response_status() >= first_success && this->response_status() < first_redirection;
    }
    /// To be called with each dispatch. `on_terminated` is called when the process that runs the dispatch is known to
    /// have terminated. A dispatch without a response that was sent less than `max_refusal_delay` ago may have reached
    /// the replacement process, which then refuses it as misdirected; `on_terminated` is not called for it.
    void watch_termination(Backend& backend, std::function<void()> on_terminated)
    {
        this->termination_watch = backend.observe_termination(
            [this, sent_at = this->context.now(), on_terminated = std::move(on_terminated)] {
                if (this->response_head || this->context.now() - sent_at >= max_refusal_delay)
                    on_terminated();
            });
    }

    [[nodiscard]] bool is_server_error() const { return this->response_status() >= first_server_error; }

    /// Removes the headers that apply only between this host and the backend server.
    template<typename D>
    static void remove_hop_fields(Http::Fields& fields)
    {
        Http::remove_connection_fields(fields);
        fields.erase(Http::not_run_field);
        D::remove_server_notice(fields);
    }

    /// Returns the backend server's complete response as it is sent to the caller.
    template<typename D>
    [[nodiscard]] Http::Response make_relayed_response()
    {
        Http::Response response;
        response.base() = *this->response_head;
        remove_hop_fields<D>(response);
        response.body() = this->response_body.take();
        return response;
    }

    /// Records that `backend` caused this request to fail.
    void suspect(Backend& backend, bool is_unreachable, std::string_view reason)
    {
        Serving::suspect(this->context, backend, { is_unreachable, this->attempt(), std::string(reason) });
    }

    /// Records that no connection to `backend` could be made.
    void record_unreachable(Backend& backend, Http::ExchangeEnd end, std::string_view reason)
    {
        if (is_own_delay(this->context, end))
            return;
        record_not_connected(this->context, backend);
        this->suspect(backend, true, reason);
    }

    /// To be called when the connection to `backend` broke during this request. Checks whether its process has
    /// terminated, and records the termination against the request's fingerprint unless the server was known to be
    /// leaving. `dispatched_at`: when it was sent to `backend`. `events`: number of events that the request has
    /// received from it.
    void check_for_termination(
        BackendPointer const& backend, std::string_view reason, Instant dispatched_at, u64 events = 0)
    {
        InterruptedRun const run { dispatched_at, this->context.now() };
        bool const is_expected = backend->availability != Availability::Serving;
        // A part that terminates servers does so before the first event.
        std::vector<RequestFingerprint> suspects { this->call.fingerprint };
        if (events == 0)
            std::ranges::copy(this->call.part_fingerprints, std::back_inserter(suspects));
        auto on_state = [&context = this->context, backend, is_expected, suspects, run, attempt = this->attempt(),
                            fingerprint = this->call.fingerprint, parts = this->call.part_fingerprints, events,
                            reason = std::string(reason)](ProcessState state) {
            context.log.event(Core::EventNumber::BackendServerDisconnected, backend->server.id.value())
                .with("request", attempt)
                .with("fingerprint", to_text(fingerprint))
                .with("prompt_parts", to_text(parts))
                .with("events", events)
                .with("process", to_string(state))
                .with("state", to_string(backend->availability))
                .with("reason", reason);
            if (state == ProcessState::Terminated && !is_expected)
                record_termination_under(context, suspects, *backend, run);
        };
        check_termination(this->context, backend, std::move(on_state));
    }

    /// Records that a backend server has returned a complete response, and so did not terminate while running this
    /// request.
    void record_completed_run() { record_run_survived(this->context, this->call.fingerprint); }

    /// Records that no part of the prompt terminates servers, since the request has received its first event or its
    /// whole response.
    void record_parts_survived() { record_run_survived(this->context, this->call.part_fingerprints); }

    /// How long this request may not be dispatched, because servers terminate while running it or a part of its prompt;
    /// empty if it may be.
    [[nodiscard]] std::optional<Duration> quarantined_for() const
    {
        // A trial that may have run is over.
        if (this->is_trial && !this->runs.may_have_run())
            return {};
        auto const& quarantine = this->context.quarantine;
        auto left = quarantine.refused_for(this->call.fingerprint, this->context.now());
        for (auto const& part : this->call.part_fingerprints)
            left = std::max(left, quarantine.refused_for(part, this->context.now()));
        return left;
    }

    /// To be called before a dispatch. If a part of the prompt is quarantined, this request tries it for all others.
    void begin_trial_if_held()
    {
        if (!this->is_trial)
            this->is_trial = begin_trial(this->context, this->call.part_fingerprints);
    }

    /// Rejects a quarantined request.
    void respond_quarantined(Duration left)
    {
        this->context.metrics.add("requests_held_back_total");
        bool const is_whole
            = this->context.quarantine.refused_for(this->call.fingerprint, this->context.now()).has_value();
        std::string const remedy = is_whole ? "do not send it again unchanged"
                                            : "send it again later, when one of these requests has been tried";
        this->respond_with_error({ ErrorKind::RequestQuarantined,
            "servers have ended under this request, or a part of its prompt, each time; " + remedy, left });
    }

    /// Records that `backend` reported this request as not run: it refused it, or another process has taken its
    /// address. One response that names no request doesn't suffice to give up a server.
    void record_refusal_of(Backend& backend)
    {
        if (this->decoded_response.is_misdirected) {
            if (this->response_subject == ResponseSubject::Named)
                return this->context.backend_terminated(backend);
            return this->suspect(backend, false, "misdirected, without naming the request");
        }
        record_refusal(this->context, backend, this->attempt(), "status " + std::to_string(this->response_status()));
    }

    [[nodiscard]] Rollout::Answers* answers_of(Backend const& backend) const
    {
        auto* rollout = this->context.rollouts.find(this->call.service->name);
        if (!rollout || rollout->is_final() || !backend.rollout_side)
            return nullptr;
        return &rollout->own_answers[this->call.route->name].of(*backend.rollout_side);
    }

    /// Retry-After if another host can serve the request at once.
    static constexpr Duration other_host_retry_after = 50ms;
    /// A process that is not the target of a request refuses it within milliseconds, or within a second over a link
    /// that loses packets.
    static constexpr Duration max_refusal_delay = 1s;
    /// First status of each HTTP status class (RFC 9110, section 15).
    static constexpr unsigned first_success = 200;
    static constexpr unsigned first_redirection = 300;
    static constexpr unsigned first_server_error = 500;

    /// Observes the termination of the backend server's process while a dispatch is in progress.
    std::shared_ptr<Backend::TerminationObserver> termination_watch;
    ServingContext& context;
    AdmittedCall call;
    AK::Timer deadline_timer;
    /// Response head of the current or last dispatch; empty until it has been received.
    std::optional<Http::ResponseHead> response_head;
    BackendResponseHead decoded_response;
    /// Which request the response of the current dispatch belongs to.
    ResponseSubject response_subject { ResponseSubject::Unknown };
    /// Responses on the current connection that were not the awaited one.
    u32 responses_skipped { 0 };
    /// What is known about the runs of this request.
    RunRecord runs;
    /// Number of requests that the connection of the current dispatch has carried, including this one.
    u32 requests_on_connection { 1 };
    /// Whether the current dispatch had to make its connection.
    bool is_on_new_connection { true };
    /// Received part of a non-stream response; streams are not buffered here.
    CollectedBody response_body;
    bool is_over { false };
    /// This request tries a quarantined part of its prompt.
    bool is_trial { false };
    /// Present while the request is open, from watch_process_end() on.
    std::optional<OpenRequests::Entry> open_request;
};

/// Reason for cancelling an exchange whose response does not fit into this host's memory beside others.
inline constexpr std::string_view too_large_reason = "the response needs more memory than this host has for it";

/// Reason for cancelling an exchange whose backend server process is known to have terminated.
inline constexpr std::string_view replaced_reason = "another process has taken its place";

/// Bounds all dispatches of a request, including those that did not run and so are not limited by the route.
inline constexpr u32 max_dispatch_attempts = 4;

/// Timeout for connecting to a backend server. Within a failure domain, connecting takes about a millisecond.
inline constexpr Duration connect_timeout = 400ms;
/// A backend server whose host has acknowledged nothing for this long is partitioned or has lost power.
inline constexpr Duration backend_silence_limit = 3s;
/// The same limit for a generation. Its stream resumes by itself after a partition, and it can't be sent again, so
/// ending it earlier has no benefit. The limit exceeds most partitions of failure domains, and is bounded so that a
/// caller without a deadline learns that its engine is lost.
inline constexpr Duration generation_silence_limit = 12s;
/// Retry-After of a refused request if no better estimate is known.
inline constexpr Duration default_retry_after = 200ms;

}
