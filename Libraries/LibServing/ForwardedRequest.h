/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibServing/RequestFlow.h>
#include <boost/random/uniform_int_distribution.hpp>
#include <limits>

namespace Serving {

/// Forwards a request that has not run to another host that has contact to its service, and relays the response. The
/// other host authenticates the caller and decides on the request like on one of its own callers; it doesn't forward it
/// again.
template<Dialect D>
class ForwardedRequest : public RequestFlow, public std::enable_shared_from_this<ForwardedRequest<D>> {
public:
    using RequestFlow::RequestFlow;

    /// Whether a host is known to which the request may be forwarded.
    [[nodiscard]] static bool is_possible(ServingContext& context, AdmittedCall const& call)
    {
        return call.exchange->origin() == Http::RequestOrigin::Caller && choose_host(context, call, {}).has_value();
    }

    void start()
    {
        auto self = this->shared_from_this();
        this->watch([self] { self->caller_disconnected(); }, [self] { self->deadline_passed(); },
            this->call.deadline + response_margin);
        this->watch_process_end([weak = this->weak_from_this()] {
            if (auto request = weak.lock())
                request->process_ends();
        });
        this->forward();
    }

private:
    /// Another host may have lost contact too, or may be stopping, without this host knowing.
    static constexpr size_t max_hosts = 3;
    /// A host accepts connections within a round trip, also between regions.
    static constexpr Duration host_connect_timeout = 250ms;
    /// The other host responds at the deadline at the latest, and its response takes some time to arrive.
    static constexpr Duration response_margin = 100ms;

    [[nodiscard]] static std::optional<Address> choose_host(
        ServingContext& context, AdmittedCall const& call, std::span<Address const> tried)
    {
        boost::random::uniform_int_distribution<u64> draw(0, std::numeric_limits<u64>::max());
        ForwardingHosts::Need const need { call.service->name, tried, context.settings.failure_domain, call.regions,
            context.settings.regions };
        return context.forwarding_hosts.choose(need, draw(context.random), context.now());
    }

    void forward()
    {
        auto const host
            = this->tried.size() < max_hosts ? choose_host(this->context, this->call, this->tried) : std::nullopt;
        auto const endpoint = host ? Http::parse_endpoint(host->value()) : std::nullopt;
        if (!endpoint)
            return this->refuse();
        this->tried.push_back(*host);
        this->context.forwarding_hosts.record_begin(*host);
        this->runs.begin_dispatch();
        this->reset_response();
        this->log_dispatch();
        this->connection = this->context.connections.make_new(*endpoint);
        bool const is_generation = this->call.route->kind == CallKind::Generation;
        this->connection->exchange(this->make_request(), this->make_observer(), host_connect_timeout,
            is_generation ? generation_silence_limit : backend_silence_limit);
    }

    void log_dispatch()
    {
        this->context.metrics.add("requests_forwarded_total");
        this->context.log.event(Core::EventNumber::RequestForwarded, this->attempt())
            .with("to", this->tried.back())
            .with("try", this->tried.size())
            .with("service", this->call.service->name)
            .with("held_ms", this->elapsed())
            .with("left_ms", this->time_left());
    }

    [[nodiscard]] Http::OutgoingRequest make_request() const
    {
        auto request = this->copy_of_request();
        D::set_time_left(request.message, this->time_left());
        request.message.prepare_payload();
        return request;
    }

    Http::ExchangeObserver make_observer()
    {
        auto self = this->shared_from_this();
        return { [self](Http::ResponseHead const& head) { return self->head_received(head); },
            [self](std::string_view piece) { self->body_received(piece); },
            [self](Http::ExchangeEnd end, std::string const& reason) { self->exchange_ended(end, reason); } };
    }

    Http::HeadAction head_received(Http::ResponseHead const& head)
    {
        this->response_head = head;
        this->decoded_response = D::decode_response(head);
        if (this->is_stream()) {
            auto relayed = head;
            remove_host_fields(relayed);
            this->exchange().begin_stream(relayed);
        }
        return Http::HeadAction::Accept;
    }

    [[nodiscard]] bool is_stream() const
    {
        bool const is_generation = this->call.route->kind == CallKind::Generation;
        return is_generation && this->is_success() && this->decoded_response.is_signed;
    }

    void body_received(std::string_view piece)
    {
        if (!this->is_stream())
            return this->collect(piece);
        this->exchange().send_chunk(piece);
        if (this->is_over || !this->exchange().must_pause())
            return;
        this->connection->pause();
        this->exchange().wait_until_read([weak = this->weak_from_this()] {
            auto self = weak.lock();
            if (self && self->connection)
                self->connection->resume();
        });
    }

    void collect(std::string_view piece)
    {
        if (!this->response_body.append(piece))
            this->exchange_ended(Http::ExchangeEnd::TooLarge, std::string(too_large_reason));
    }

    void exchange_ended(Http::ExchangeEnd end, std::string const& reason)
    {
        this->close_connection();
        auto const proof = this->proof_of_not_run(end);
        this->runs.end_dispatch(proof);
        if (this->exchange().is_streaming())
            return this->end_stream(end, reason);
        if (end == Http::ExchangeEnd::Complete)
            return this->response_received(proof);
        this->context.forwarding_hosts.record_failure(this->tried.back(), this->context.now());
        if (proof)
            return this->forward();
        this->finish(Http::describe(end, reason));
        this->respond_with_error({ ErrorKind::PeerUnavailable,
            "the host to which the request was forwarded failed (" + reason + "); the request may have run", {} });
    }

    void end_stream(Http::ExchangeEnd end, std::string const& reason)
    {
        this->finish(Http::describe(end, reason));
        if (end == Http::ExchangeEnd::Complete)
            return this->exchange().end_stream();
        this->context.metrics.add("streams_lost_total");
        this->exchange().abort();
    }

    void response_received(std::optional<NotRunProof> const& proof)
    {
        if (proof && this->may_be_served_elsewhere())
            return this->refused_by_host();
        if (!proof && promises_not_run(this->response_status())) {
            this->finish("unproved refusal");
            return this->respond_unproved_refusal();
        }
        this->relay_response();
    }

    void refused_by_host()
    {
        // A host that has lost contact too, or is stopping, closes the connection with its refusal.
        if (boost::beast::iequals((*this->response_head)[Http::Name::connection], "close"))
            this->context.forwarding_hosts.record_failure(this->tried.back(), this->context.now());
        this->refusal = this->make_response();
        this->forward();
    }

    /// The proof that the other host has not run the request, if there is one. Its own word is needed: a status that it
    /// relays from a backend server proves nothing.
    [[nodiscard]] std::optional<NotRunProof> proof_of_not_run(Http::ExchangeEnd end) const
    {
        if (this->response_head)
            return NotRunProof::from_host(this->response_head->count(Http::not_run_field) > 0);
        return NotRunProof::from_connection(end);
    }

    /// Whether a further host may serve the request that this one has refused. Hosts may know different configurations.
    [[nodiscard]] bool may_be_served_elsewhere() const
    {
        using Http::Status;
        auto const status = this->response_head->result();
        bool const is_denial
            = status == Status::unauthorized || status == Status::forbidden || status == Status::not_found;
        return is_denial || status == Status::service_unavailable;
    }

    static void remove_host_fields(Http::Fields& fields)
    {
        Http::remove_connection_fields(fields);
        fields.erase(Http::not_run_field);
    }

    [[nodiscard]] Http::Response make_response()
    {
        Http::Response response;
        response.base() = *this->response_head;
        remove_host_fields(response);
        response.body() = this->response_body.take();
        return response;
    }

    void relay_response()
    {
        auto response = this->make_response();
        this->finish("status " + std::to_string(response.result_int()));
        this->exchange().respond(std::move(response));
    }

    /// No further host can serve the request. The last refusal has the better estimate of when to return.
    void refuse()
    {
        this->finish("no further host");
        bool const is_not_run = this->refusal && this->refusal->result() == Http::Status::service_unavailable;
        if (!is_not_run)
            return this->refuse_out_of_reach();
        this->exchange().respond(std::move(*this->refusal));
    }

    void deadline_passed()
    {
        this->abandon("deadline");
        if (this->exchange().is_streaming())
            return this->exchange().abort();
        this->respond_with_error(
            { ErrorKind::DeadlineUnreachable, "the request was not answered in time; it may have run", {} });
    }

    void process_ends()
    {
        this->abandon("this host stops");
        if (this->exchange().is_streaming())
            return this->exchange().abort();
        this->respond_process_ends();
    }

    void caller_disconnected()
    {
        this->context.log.event(Core::EventNumber::CallerLeft, this->attempt()).with("held_ms", this->elapsed());
        this->abandon("caller left");
    }

    /// Closing the connection makes the other host cancel the request.
    void abandon(std::string const& reason)
    {
        this->close_connection();
        this->finish(reason);
    }

    void close_connection()
    {
        if (!this->connection)
            return;
        this->context.forwarding_hosts.record_end(this->tried.back());
        std::exchange(this->connection, nullptr)->cancel();
    }

    void finish(std::string const& reason)
    {
        this->end();
        this->context.log.event(Core::EventNumber::ForwardingEnded, this->attempt())
            .with("reason", reason)
            .with("hosts", this->tried.size())
            .with("held_ms", this->elapsed());
    }

    std::shared_ptr<Http::BackendConnection> connection;
    std::vector<Address> tried;
    /// The last refusal of another host.
    std::optional<Http::Response> refusal;
};

/// Forwards a request that has not run, if that is possible. Returns whether it was forwarded.
template<Dialect D>
bool try_forward(ServingContext& context, AdmittedCall const& call)
{
    if (!ForwardedRequest<D>::is_possible(context, call))
        return false;
    std::make_shared<ForwardedRequest<D>>(context, call)->start();
    return true;
}

}
