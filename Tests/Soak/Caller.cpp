/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <Tests/Soak/Caller.h>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>

namespace Soak {

/// Between two requests of one caller.
static constexpr Duration longest_rest = 150ms;
/// Of rests, those about as long as the hosts' idle time-out, and how far off they are; chosen, so that some requests
/// of each seed cross the close.
static constexpr double idle_rest_share = 0.2;
static constexpr Duration idle_rest_spread = 30ms;
/// Shares, from 0 to 1; chosen so that engines, whose work goes through the most states, get the most.
static constexpr double probe_share = 0.15;
/// Of what is no probe; the rest are lookups.
static constexpr double draft_share = 0.45;
static constexpr double tariff_share = 0.15;
/// Of probes; the others ask for any version.
static constexpr double newest_probe_share = 0.5;
static constexpr double new_connection_share = 0.2;
/// Of requests that may be repeated, those without a body.
static constexpr double bodiless_share = 0.5;
/// Of requests whose caller leaves early, and how soon.
static constexpr double leaving_share = 0.05;
static constexpr Duration longest_stay = 500ms;
/// How much later than its time a request may have its answer, on a busy machine.
static constexpr Duration answer_lateness = 6s;
/// Before the end of its grace a host may break off what it has not ended.
static constexpr Duration last_of_grace = Deployment::stop_grace / 6;
/// How soon a change of the configuration is in force on a host that nothing has touched.
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
    if (this->draw() < idle_rest_share)
        return idle_timeout + AK::from_seconds((2 * this->draw() - 1) * AK::to_seconds(idle_rest_spread));
    return AK::from_seconds(this->draw() * AK::to_seconds(longest_rest));
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
        // Figures as in Tests/Platform/HostFixture.h; all are alike, so that prompts are shared.
        request.set("Lilactiller-Model", "m");
        request.set("Lilactiller-Token-Usage", "1460,80");
        request.set("Lilactiller-Prompt-Prefix", "5c1e07a2:800,e4402b7d:660");
    }
    bool const leaves = this->draw() < leaving_share;
    auto patience = leaves ? AK::from_seconds(this->draw() * AK::to_seconds(longest_stay))
                           : Duration(route.timeout + answer_lateness);
    auto self = this->shared_from_this();
    this->exchange(
        std::move(request),
        [self, attempt, sent, leaves](ObservedResponse answer) {
            if (!leaves)
                self->check_promptness(attempt, sent, answer);
            self->on_exchange_end(attempt, sent, std::move(answer));
        },
        patience);
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
        [self, attempt, sent, version](ObservedResponse const& answer) {
            self->check_probe(version, sent, answer);
            self->record_result(attempt, sent, answer);
        },
        route_of(sent.kind).timeout + answer_lateness);
}

void Caller::check_probe(u64 version, SentRequest const& sent, ObservedResponse const& answer)
{
    // The process may have been replaced between the request and its answer.
    if (sent.host_incarnation == this->host.daemon->incarnation())
        this->checker.check_probe_response(sent, version, answer);
    auto const taken_at = this->deployment.version_times.at(version);
    bool const is_overdue = sent.sent_at - taken_at > configuration_lateness
        && Deployment::is_unaffected_with_margin(this->host, taken_at);
    if (is_overdue && answer.has(Http::Status::not_found))
        this->checker.violation(this->host.name + " does not know version " + std::to_string(version) + " in time");
}

void Caller::connect()
{
    auto const& endpoint = this->is_slow ? this->host.slow_caller_link->endpoint() : this->host.callers;
    this->connection = std::make_shared<Http::BackendConnection>(this->loop, endpoint);
}

void Caller::exchange(Http::Request request, std::function<void(ObservedResponse)> on_end, Duration patience)
{
    bool const is_new = !this->connection || !this->connection->is_reusable() || this->draw() < new_connection_share;
    if (is_new)
        this->connect();
    if (this->is_slow)
        this->host.slow_caller_link->set_tail(request.body().size(), this->draw_interval());
    this->is_waiting = true;
    auto answer = std::make_shared<ObservedResponse>();
    answer->is_on_persistent_connection = !is_new;
    auto self = this->shared_from_this();
    auto finish = [self, answer, on_end = std::move(on_end)] {
        self->is_waiting = false;
        self->response_timer.cancel();
        on_end(std::move(*answer));
    };
    Http::ExchangeObserver observer {
        [answer](Http::ResponseHead const& head) {
            answer->status = head.result_int();
            answer->has_stamp = head.count("Lilactiller-Response-Stamp") > 0;
            return Http::HeadVerdict::Take;
        },
        [answer](std::string_view piece) { answer->body += piece; },
        [answer, finish](Http::ExchangeEnd end, std::string const& reason) {
            answer->is_complete = end == Http::ExchangeEnd::Complete;
            answer->end = end;
            answer->end_reason = reason;
            finish();
        },
    };
    request.prepare_payload();
    this->connection->exchange(std::move(request), std::move(observer), patience, patience);
    this->cancel_after(patience, [answer, finish] {
        answer->caller_disconnected = true;
        finish();
    });
}

void Caller::cancel_after(Duration patience, std::function<void()> on_left)
{
    auto self = this->shared_from_this();
    this->response_timer.expires_after(patience);
    this->response_timer.async_wait(
        [self, used = this->connection, on_left = std::move(on_left)](boost::system::error_code error) {
            if (error || !self->is_waiting || self->connection != used)
                return;
            used->cancel();
            on_left();
        });
}

void Caller::on_exchange_end(std::string const& attempt, SentRequest const& sent, ObservedResponse answer)
{
    if (answer.is_success() && answer.is_complete)
        ++this->served_count;
    this->check_planned_stop(attempt, sent, answer);
    this->record_result(attempt, sent, std::move(answer));
}

void Caller::record_result(std::string const& attempt, SentRequest const& sent, ObservedResponse answer)
{
    this->checker.record_ending(attempt, this->ending_of(attempt, sent, answer), answer);
    this->checker.check_response(attempt, std::move(answer));
    this->schedule_next_request();
}

bool Caller::is_host_terminated(SentRequest const& sent) const
{
    bool const has_ended_by_itself = !this->host.daemon->is_running() && !this->host.stopping_since;
    return this->host.was_killed || has_ended_by_itself || sent.host_incarnation != this->host.daemon->incarnation();
}

Ending Caller::refusal(SentRequest const& sent) const
{
    if (this->is_host_terminated(sent) || !this->host.daemon->is_running())
        return Ending::RefusedHostDown;
    return this->host.stopping_since ? Ending::RefusedHostStopping : Ending::RefusedHostUp;
}

Ending Caller::ending_of(std::string const& attempt, SentRequest const& sent, ObservedResponse const& answer) const
{
    if (answer.is_complete)
        return Ending::Complete;
    if (answer.caller_disconnected)
        return Ending::CallerDisconnected;
    if (answer.end == Http::ExchangeEnd::NotConnected)
        return this->refusal(sent);
    if (this->is_host_terminated(sent))
        return Ending::ClosedHostTerminated;
    auto const& stop = this->host.stopping_since;
    if (stop && Deployment::now() - *stop >= Deployment::stop_grace - last_of_grace)
        return Ending::ClosedGraceExpired;
    // A stream whose head has been passed on cannot be given another answer; every other request can.
    bool const is_stream = sent.kind == CallKind::Draft && answer.is_success();
    bool const had_time = Deployment::now() - sent.sent_at < route_of(sent.kind).timeout;
    if (is_stream && (!had_time || this->deployment.engine_may_have_interrupted(attempt, sent.sent_at)))
        return Ending::ClosedStreamBroken;
    if (stop)
        return Ending::ClosedHostStopping;
    return Deployment::is_unaffected_with_margin(this->host, sent.sent_at) ? Ending::ClosedHostUnaffected
                                                                           : Ending::ClosedHostAffected;
}

void Caller::check_promptness(std::string const& attempt, SentRequest const& sent, ObservedResponse const& answer)
{
    if (answer.caller_disconnected && Deployment::is_unaffected_with_margin(this->host, sent.sent_at))
        this->checker.violation(attempt + " got no answer in its time from " + this->host.name);
}

void Caller::check_planned_stop(std::string const& attempt, SentRequest const& sent, ObservedResponse const& answer)
{
    auto const& stop = this->host.stopping_since;
    bool const was_cut = !answer.is_complete && !answer.caller_disconnected;
    if (!stop || !was_cut || !Deployment::is_unaffected_with_margin(this->host, sent.sent_at))
        return;
    // A request that crosses the close is not passed on; one that was read is answered.
    bool const has_run = this->deployment.runs().contains(attempt);
    bool const had_time = sent.sent_at < *stop && Deployment::now() - *stop < Deployment::stop_grace / 2;
    if (has_run && had_time)
        this->checker.violation(attempt + " was cut by the planned stop of " + this->host.name);
}

}
