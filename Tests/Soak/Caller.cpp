/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <Tests/Soak/Caller.h>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>

namespace Soak {

/// Bound on the usual interval between two requests of one caller.
static constexpr Duration max_usual_interval = 150ms;
/// Share of intervals that are about as long as the hosts' idle timeout, and their deviation from it. They let some
/// requests of each seed cross the host's close of the connection.
static constexpr double idle_interval_share = 0.2;
static constexpr Duration idle_interval_spread = 30ms;
/// Shares, from 0 to 1. Engines get the most requests, since their work passes through the most states.
static constexpr double probe_share = 0.15;
/// Shares of the requests other than probes; the rest are lookups.
static constexpr double draft_share = 0.45;
static constexpr double tariff_share = 0.15;
/// Share of probes for the newest version; the others probe any version.
static constexpr double newest_probe_share = 0.5;
static constexpr double new_connection_share = 0.2;
/// Share of repeatable requests without a body.
static constexpr double bodiless_share = 0.5;
/// Share of requests whose caller disconnects early, and the latest time at which it does.
static constexpr double early_disconnect_share = 0.05;
static constexpr Duration max_early_disconnect_delay = 500ms;
/// How long after the route's timeout a response may arrive, on a busy machine.
static constexpr Duration response_lateness = 6s;
/// A host may interrupt unfinished requests this long before the end of its stop grace.
static constexpr Duration grace_end_margin = Deployment::stop_grace / 6;
/// Within this time a change of the configuration is in force on a host that no fault affects.
static constexpr Duration configuration_lateness = 6s;

Caller::Caller(Http::asio::io_context& loop, Deployment& deployment, PromiseChecker& checker, HostInstance& host,
    std::string name, u32 seed)
    : loop(loop)
    , deployment(deployment)
    , checker(checker)
    , host(host)
    , name(std::move(name))
    , random(seed)
    , timer(loop)
    , response_timer(loop)
{
}

double Caller::draw() { return boost::random::uniform_real_distribution<double>(0, 1)(this->random); }

Duration Caller::draw_interval()
{
    if (this->draw() < idle_interval_share)
        return idle_timeout + AK::from_seconds((2 * this->draw() - 1) * AK::to_seconds(idle_interval_spread));
    return AK::from_seconds(this->draw() * AK::to_seconds(max_usual_interval));
}

void Caller::schedule_next_request()
{
    if (this->is_stopping)
        return;
    auto self = this->shared_from_this();
    this->timer.expires_after(this->draw_interval());
    this->timer.async_wait([self](boost::system::error_code error) {
        if (!error && !self->is_stopping)
            self->send();
    });
}

void Caller::send()
{
    auto drawn = this->draw();
    if (drawn < probe_share)
        return this->send_probe();
    drawn = this->draw();
    auto kind = drawn < draft_share          ? CallKind::Draft
        : drawn < draft_share + tariff_share ? CallKind::Tariff
                                             : CallKind::Lookup;
    this->send_request(kind);
}

SentRequest Caller::register_request(CallKind kind, std::string const& attempt, std::string target)
{
    bool const has_body = kind != CallKind::Tariff || this->draw() >= bodiless_share;
    SentRequest sent { kind, this->host.name, this->host.daemon->incarnation(), std::move(target),
        has_body ? "question of " + attempt : "", Deployment::now() };
    this->checker.record_sent(attempt, sent);
    return sent;
}

static Http::Request make_request(std::string const& attempt, SentRequest const& sent)
{
    auto const verb = sent.body.empty() ? Http::Verb::get : Http::Verb::post;
    Http::Request request(verb, sent.target, Http::http_1_1);
    request.set(Http::Name::host, caller_host);
    request.set("Lilactiller-Attempt-Id", attempt);
    request.set("Lilactiller-Deadline-Ms", std::to_string(AK::to_milliseconds(route_of(sent.kind).timeout)));
    request.set("Api-Key", organisation_key);
    request.body() = sent.body;
    return request;
}

void Caller::send_request(CallKind kind)
{
    auto const& route = route_of(kind);
    auto attempt = this->name + '-' + std::to_string(++this->sent_count);
    auto const sent = this->register_request(kind, attempt, route.prefix + attempt);
    auto request = make_request(attempt, sent);
    if (kind == CallKind::Draft) {
        // Values as in Tests/Platform/HostFixture.h. All requests use the same ones, so that prompts are shared.
        request.set("Lilactiller-Model", "m");
        request.set("Lilactiller-Token-Usage", "1460,80");
        request.set("Lilactiller-Prompt-Prefix", "5c1e07a2:800,e4402b7d:660");
    }
    bool const disconnects_early = this->draw() < early_disconnect_share;
    auto timeout = disconnects_early ? AK::from_seconds(this->draw() * AK::to_seconds(max_early_disconnect_delay))
                                     : Duration(route.timeout + response_lateness);
    auto self = this->shared_from_this();
    this->exchange(
        std::move(request),
        [self, attempt, sent, disconnects_early](ObservedResponse response) {
            if (!disconnects_early)
                self->check_promptness(attempt, sent, response);
            self->on_exchange_end(attempt, sent, std::move(response));
        },
        timeout);
}

void Caller::send_probe()
{
    auto const newest = this->deployment.configuration.version();
    auto const version = this->draw() < newest_probe_share
        ? newest
        : std::min(1 + static_cast<u64>(this->draw() * static_cast<double>(newest)), newest);
    auto attempt = this->name + "-probe-" + std::to_string(++this->sent_count);
    auto const sent = this->register_request(CallKind::Tariff, attempt, Configuration::probe_path(version) + attempt);
    auto self = this->shared_from_this();
    this->exchange(
        make_request(attempt, sent),
        [self, attempt, sent, version](ObservedResponse const& response) {
            self->check_probe(version, sent, response);
            self->record_result(attempt, sent, response);
        },
        route_of(sent.kind).timeout + response_lateness);
}

void Caller::check_probe(u64 version, SentRequest const& sent, ObservedResponse const& response)
{
    // The process may have been replaced between the request and its response.
    if (sent.host_incarnation == this->host.daemon->incarnation())
        this->checker.check_probe_response(sent, version, response);
    auto const accepted_at = this->deployment.version_times.at(version);
    bool const is_overdue = sent.sent_at - accepted_at > configuration_lateness
        && Deployment::is_unaffected_with_margin(this->host, accepted_at);
    if (is_overdue && response.has(Http::Status::not_found))
        this->checker.violation(this->host.name + " did not apply version " + std::to_string(version) + " in time");
}

void Caller::connect()
{
    auto const& endpoint = this->is_slow ? this->host.slow_caller_link->endpoint() : this->host.callers;
    this->connection = std::make_shared<Http::BackendConnection>(this->loop, endpoint);
}

void Caller::exchange(Http::Request request, std::function<void(ObservedResponse)> on_end, Duration timeout)
{
    bool const is_new = !this->connection || !this->connection->is_reusable() || this->draw() < new_connection_share;
    if (is_new)
        this->connect();
    if (this->is_slow)
        this->host.slow_caller_link->set_tail(request.body().size(), this->draw_interval());
    this->is_waiting = true;
    auto response = std::make_shared<ObservedResponse>();
    response->is_on_persistent_connection = !is_new;
    auto self = this->shared_from_this();
    auto finish = [self, response, on_end = std::move(on_end)] {
        self->is_waiting = false;
        self->response_timer.cancel();
        on_end(std::move(*response));
    };
    Http::ExchangeObserver observer {
        [response](Http::ResponseHead const& head) {
            response->status = head.result_int();
            response->has_stamp = head.count("Lilactiller-Response-Stamp") > 0;
            return Http::HeadAction::Accept;
        },
        [response](std::string_view piece) { response->body += piece; },
        [response, finish](Http::ExchangeEnd end, std::string const& reason) {
            response->is_complete = end == Http::ExchangeEnd::Complete;
            response->end = end;
            response->end_reason = reason;
            finish();
        },
    };
    request.prepare_payload();
    this->connection->exchange(std::move(request), std::move(observer), timeout, timeout);
    this->cancel_after(timeout, [response, finish] {
        response->caller_disconnected = true;
        finish();
    });
}

void Caller::cancel_after(Duration timeout, std::function<void()> on_cancelled)
{
    auto self = this->shared_from_this();
    this->response_timer.expires_after(timeout);
    this->response_timer.async_wait(
        [self, used = this->connection, on_cancelled = std::move(on_cancelled)](boost::system::error_code error) {
            if (error || !self->is_waiting || self->connection != used)
                return;
            used->cancel();
            on_cancelled();
        });
}

void Caller::on_exchange_end(std::string const& attempt, SentRequest const& sent, ObservedResponse response)
{
    if (response.is_success() && response.is_complete)
        ++this->served_count;
    this->check_planned_stop(attempt, sent, response);
    this->record_result(attempt, sent, std::move(response));
}

void Caller::record_result(std::string const& attempt, SentRequest const& sent, ObservedResponse response)
{
    this->checker.record_ending(attempt, this->ending_of(attempt, sent, response), response);
    this->checker.check_response(attempt, std::move(response));
    this->schedule_next_request();
}

bool Caller::is_host_terminated(SentRequest const& sent) const
{
    bool const has_crashed = !this->host.daemon->is_running() && !this->host.stopping_since;
    return this->host.was_killed || has_crashed || sent.host_incarnation != this->host.daemon->incarnation();
}

Ending Caller::refusal(SentRequest const& sent) const
{
    if (this->is_host_terminated(sent) || !this->host.daemon->is_running())
        return Ending::RefusedHostDown;
    return this->host.stopping_since ? Ending::RefusedHostStopping : Ending::RefusedHostUp;
}

Ending Caller::ending_of(std::string const& attempt, SentRequest const& sent, ObservedResponse const& response) const
{
    if (response.is_complete)
        return Ending::Complete;
    if (response.caller_disconnected)
        return Ending::CallerDisconnected;
    if (response.end == Http::ExchangeEnd::NotConnected)
        return this->refusal(sent);
    if (this->is_host_terminated(sent))
        return Ending::ClosedHostTerminated;
    auto const& stop = this->host.stopping_since;
    if (stop && Deployment::now() - *stop >= Deployment::stop_grace - grace_end_margin)
        return Ending::ClosedGraceExpired;
    // A stream whose head has been relayed can get no other response; every other request can.
    bool const is_stream = sent.kind == CallKind::Draft && response.is_success();
    bool const had_time = Deployment::now() - sent.sent_at < route_of(sent.kind).timeout;
    if (is_stream && (!had_time || this->deployment.engine_may_have_interrupted(attempt, sent.sent_at)))
        return Ending::ClosedStreamBroken;
    if (stop)
        return Ending::ClosedHostStopping;
    return Deployment::is_unaffected_with_margin(this->host, sent.sent_at) ? Ending::ClosedHostUnaffected
                                                                           : Ending::ClosedHostAffected;
}

void Caller::check_promptness(std::string const& attempt, SentRequest const& sent, ObservedResponse const& response)
{
    if (response.caller_disconnected && Deployment::is_unaffected_with_margin(this->host, sent.sent_at))
        this->checker.violation(attempt + " got no response in time from " + this->host.name);
}

void Caller::check_planned_stop(std::string const& attempt, SentRequest const& sent, ObservedResponse const& response)
{
    auto const& stop = this->host.stopping_since;
    bool const was_interrupted = !response.is_complete && !response.caller_disconnected;
    if (!stop || !was_interrupted || !Deployment::is_unaffected_with_margin(this->host, sent.sent_at))
        return;
    // The host does not forward a request that crosses its close of the connection; it responds to one that it has
    // read.
    bool const was_forwarded = this->deployment.runs().contains(attempt);
    bool const had_time = sent.sent_at < *stop && Deployment::now() - *stop < Deployment::stop_grace / 2;
    // A stream may be longer than the grace period; a call is refused if it may be.
    bool const is_call = sent.kind != CallKind::Draft;
    if (was_forwarded && (had_time || is_call))
        this->checker.violation(attempt + " was interrupted by the planned stop of " + this->host.name);
}

}
