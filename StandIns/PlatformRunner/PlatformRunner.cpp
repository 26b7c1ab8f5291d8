/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <AK/Timer.h>
#include <StandIns/PlatformRunner/PlatformRunner.h>
#include <sstream>

namespace StandIns {

namespace Json = boost::json;

/// The caller's attempt, in requests and responses.
static constexpr auto attempt_header = "Lilactiller-Attempt-Id";
/// Present only in requests for generations.
static constexpr auto usage_header = "Lilactiller-Token-Usage";
/// The copy from which a run resumes.
static constexpr auto copy_header = "Kv-From";
/// The runner that sent a response.
static constexpr auto instance_header = "Lilactiller-Instance-Id";
/// The runner that a request is addressed to.
static constexpr auto target_header = "Lilactiller-Target-Instance";
/// The last event that the caller has received, for a run that resumes from a copy.
static constexpr auto last_event_header = "Last-Event-Id";

PlatformRunner::PlatformRunner(Http::asio::io_context& loop, Http::tcp::endpoint endpoint, std::string id)
    : loop(loop)
    , name(std::move(id))
    , endpoint(endpoint)
{
    auto context = std::make_shared<Http::CallerContext>();
    context->on_request = [this](std::shared_ptr<Http::Exchange> const& exchange) { this->handle_request(exchange); };
    // More than any host is configured to accept.
    context->limits.header_bytes = 1 << 18;
    this->server.emplace(loop, endpoint, context);
}

std::string PlatformRunner::address() const
{
    if (!this->advertised_address.empty())
        return this->advertised_address;
    std::ostringstream text;
    text << this->endpoint;
    return text.str();
}

std::string PlatformRunner::row(std::string const& service, std::string const& zone, bool is_draining) const
{
    Json::object const row { { "service", service }, { "addr", this->address() }, { "zone", zone },
        { "version", this->version }, { "slots", slots }, { "state", is_draining ? "draining" : "ready" },
        { "cold_left_ms", 0 }, { "call_seq", 1 }, { "born", this->start } };
    return Json::serialize(row);
}

/// A response that names its request.
static Http::Response unsigned_response(Http::Request const& request, Http::Status status)
{
    Http::Response response(status, Http::http_1_1);
    response.set(attempt_header, request[attempt_header]);
    return response;
}

Http::Response PlatformRunner::signed_response(Http::Request const& request, Http::Status status) const
{
    auto response = unsigned_response(request, status);
    response.set("Lilactiller-Response-Stamp", "stamp-of-" + this->name);
    response.set("Lilactiller-Server-Load", "1,0," + std::to_string(slots));
    if (this->limit)
        response.set("Server-Limit", *this->limit);
    this->set_leaving_header(response);
    return response;
}

void PlatformRunner::set_leaving_header(Http::Response& response) const
{
    if (this->announces_leaving)
        response.set("Server-Leaving", "1");
}

Http::Response PlatformRunner::refusal(Http::Request const& request) const
{
    auto response = unsigned_response(request, Http::Status::service_unavailable);
    response.set("Lilactiller-Not-Executed", "1");
    if (this->back_off)
        response.set(Http::Name::retry_after, *this->back_off);
    this->set_leaving_header(response);
    return response;
}

void PlatformRunner::record_request(Http::Exchange const& exchange)
{
    auto const& request = exchange.request();
    Received received { std::string(request[attempt_header]), std::string(request.target()), request.body(), {} };
    for (auto const& field : request)
        received.headers[std::string(field.name_string())] = std::string(field.value());
    for (auto const& field : exchange.long_fields())
        received.headers[field.name] = field.value;
    this->requests.push_back(std::move(received));
}

void PlatformRunner::handle_request(std::shared_ptr<Http::Exchange> const& exchange)
{
    auto const& request = exchange->request();
    if (request.target() == "/report")
        return this->send_report(*exchange);
    if (request.target() == "/kv-move")
        return this->copy(exchange);
    if (request.target().starts_with("/kv-handle/"))
        return exchange->respond(Http::Response(Http::Status::ok, Http::http_1_1));
    this->record_request(*exchange);
    if (request[target_header] != this->name) {
        auto response = unsigned_response(request, Http::Status::misdirected_request);
        response.set(instance_header, this->name);
        return exchange->respond(std::move(response));
    }
    if (this->on_received)
        this->on_received(this->requests.back());
    if (this->back_off) {
        exchange->respond(this->refusal(request));
        if (this->on_rejected)
            this->on_rejected(this->requests.back());
        return;
    }
    if (!this->carry_out_fault(exchange))
        this->run(exchange);
}

void PlatformRunner::count_run(Http::Request const& request)
{
    // Resuming from a copy continues the same run.
    if (request.count(copy_header) == 0)
        ++this->run_counts[std::string(request[attempt_header])];
}

bool PlatformRunner::carry_out_fault(std::shared_ptr<Http::Exchange> const& exchange)
{
    if (this->faults.empty())
        return false;
    auto fault = this->faults.front();
    this->faults.pop_front();
    auto const& request = exchange->request();
    switch (fault) {
    case Fault::NotRun:
        exchange->respond(this->refusal(request));
        return true;
    case Fault::Misdirected:
        exchange->respond(unsigned_response(request, Http::Status::misdirected_request));
        return true;
    case Fault::LoseResponse:
        this->count_run(request);
        exchange->abort();
        return true;
    case Fault::Fail:
        this->count_run(request);
        exchange->respond(this->signed_response(request, Http::Status::internal_server_error));
        return true;
    case Fault::Unsigned:
        this->count_run(request);
        exchange->respond(unsigned_response(request, Http::Status::ok));
        return true;
    case Fault::UnsignedUnavailable:
        this->count_run(request);
        exchange->respond(unsigned_response(request, Http::Status::service_unavailable));
        return true;
    case Fault::UnsignedNotFound:
        this->count_run(request);
        exchange->respond(unsigned_response(request, Http::Status::not_found));
        return true;
    case Fault::Hang:
        this->count_run(request);
        this->hanging.push_back(exchange);
        exchange->on_caller_disconnected([this] { ++this->dropped; });
        return true;
    }
    return false;
}

bool PlatformRunner::has_fatal_part(Http::Request const& request) const
{
    if (this->fatal_prompt_part.empty())
        return false;
    auto const parts = request["Lilactiller-Prompt-Prefix"];
    std::string_view const list(parts.data(), parts.size());
    auto const shared = list.substr(0, list.find_last_of(',') + 1);
    return shared.find(this->fatal_prompt_part + ':') != std::string_view::npos;
}

void PlatformRunner::run(std::shared_ptr<Http::Exchange> const& exchange)
{
    auto const& request = exchange->request();
    this->count_run(request);
    if (this->fatal_body == request.body() || this->has_fatal_part(request))
        return this->terminate_during(exchange);
    auto const events_before = this->consume_copy(request);
    if (!events_before)
        return exchange->respond(this->signed_response(request, Http::Status::service_unavailable));
    if (request.count(usage_header) > 0)
        return this->begin_generation(exchange, *events_before);
    auto response = this->signed_response(request, Http::Status::ok);
    response.body() = "answer to " + std::string(request.target());
    this->send_plain_response(exchange, std::move(response));
}

std::optional<u64> PlatformRunner::consume_copy(Http::Request const& request)
{
    if (request.count(copy_header) == 0)
        return 0;
    // "SOURCE/HANDLE"
    std::string const from(request[copy_header]);
    if (this->copies.erase(from.substr(from.find('/') + 1)) == 0)
        return {};
    return request.count(last_event_header) > 0 ? std::stoull(std::string(request[last_event_header])) : 0;
}

void PlatformRunner::begin_generation(std::shared_ptr<Http::Exchange> const& exchange, u64 events_before)
{
    auto const& request = exchange->request();
    auto attempt = std::string(request[attempt_header]);
    auto response = this->signed_response(request, Http::Status::ok);
    response.set(Http::Name::content_type, "text/event-stream");
    exchange->on_caller_disconnected([this, attempt] {
        if (this->keeps_running)
            return;
        this->generations.erase(attempt);
        ++this->dropped;
    });
    exchange->begin_stream(response.base());
    this->generations[attempt] = { exchange, events_before };
}

void PlatformRunner::send_plain_response(std::shared_ptr<Http::Exchange> const& exchange, Http::Response response)
{
    if (this->work_time == 0s)
        return exchange->respond(std::move(response));
    auto timer = std::make_shared<AK::Timer>(this->loop, this->work_time);
    timer->async_wait([timer, exchange, response = std::move(response)](boost::system::error_code error) mutable {
        if (!error)
            exchange->respond(std::move(response));
    });
}

std::vector<std::string> PlatformRunner::running() const
{
    std::vector<std::string> attempts;
    for (auto const& [attempt, generation] : this->generations)
        attempts.push_back(attempt);
    return attempts;
}

void PlatformRunner::make_events()
{
    if (this->is_terminating)
        return;
    for (auto& [attempt, generation] : this->generations) {
        ++generation.events_made;
        generation.exchange->send_chunk(
            "id: " + std::to_string(generation.events_made) + "\ndata: token of " + attempt + "\n\n");
    }
    if (!this->planned_events)
        return;
    std::erase_if(this->generations, [this](auto& entry) {
        if (entry.second.events_made < this->planned_events(entry.first))
            return false;
        entry.second.exchange->end_stream();
        return true;
    });
}

void PlatformRunner::finish_all()
{
    auto ending = std::exchange(this->generations, {});
    for (auto& [attempt, generation] : ending)
        generation.exchange->end_stream();
}

void PlatformRunner::finish(std::string const& attempt)
{
    auto found = this->generations.find(attempt);
    if (found == this->generations.end())
        return;
    auto const exchange = found->second.exchange;
    this->generations.erase(found);
    exchange->end_stream();
}

void PlatformRunner::terminate()
{
    this->terminated = true;
    this->server->stop_accepting();
    this->server->close_idle_connections(Http::CloseReason::PlannedStop);
    auto ending = std::exchange(this->generations, {});
    for (auto& [attempt, generation] : ending)
        generation.exchange->abort();
    for (auto const& exchange : std::exchange(this->hanging, {}))
        exchange->abort();
}

/// The response of a generation is started first, but never gets an event.
void PlatformRunner::terminate_during(std::shared_ptr<Http::Exchange> const& exchange)
{
    if (exchange->request().count(usage_header) > 0)
        this->begin_generation(exchange, 0);
    else
        this->hanging.push_back(exchange);
    this->is_terminating = true;
    Http::asio::post(this->loop, [this] { this->terminate(); });
}

void PlatformRunner::cut_stream(std::string const& attempt)
{
    auto const found = this->generations.find(attempt);
    if (found == this->generations.end())
        return;
    auto const exchange = found->second.exchange;
    if (!this->keeps_running)
        this->generations.erase(found);
    exchange->abort();
}

void PlatformRunner::stop(std::string const& attempt)
{
    auto const stopped = this->generations.extract(attempt);
    if (!stopped.empty())
        stopped.mapped().exchange->abort();
}

void PlatformRunner::carry_out_order_fault(
    OrderFault fault, std::shared_ptr<Http::Exchange> const& exchange, std::string const& attempt)
{
    auto respond = [&](Http::Status status) { exchange->respond(Http::Response(status, Http::http_1_1)); };
    switch (fault) {
    case OrderFault::Fail:
        return respond(Http::Status::internal_server_error);
    case OrderFault::FailAfterStop:
        this->stop(attempt);
        return respond(Http::Status::internal_server_error);
    case OrderFault::Unavailable:
        return respond(Http::Status::service_unavailable);
    case OrderFault::Nonsense:
        return respond(Http::Status::ok);
    case OrderFault::Drop:
        return exchange->abort();
    case OrderFault::DropAfterStop:
        this->stop(attempt);
        return exchange->abort();
    case OrderFault::Busy:
        return respond(Http::Status::conflict);
    case OrderFault::Hang:
        this->hanging.push_back(exchange);
        return;
    case OrderFault::HangAfterStop:
        this->stop(attempt);
        this->hanging.push_back(exchange);
        return;
    case OrderFault::FailAndCutStream:
        this->cut_stream(attempt);
        return respond(Http::Status::internal_server_error);
    }
}

void PlatformRunner::copy(std::shared_ptr<Http::Exchange> const& exchange)
{
    auto const order = Json::parse(exchange->request().body()).as_object();
    auto attempt = std::string(order.at("id").as_string());
    bool const is_last = order.contains("last");
    this->ordered_copies.push_back(attempt);
    this->ordered_last_copies += is_last ? 1 : 0;
    if (is_last && !this->order_faults.empty()) {
        auto const fault = this->order_faults.front();
        this->order_faults.pop_front();
        return this->carry_out_order_fault(fault, exchange, attempt);
    }
    auto found = this->generations.find(attempt);
    if (found == this->generations.end())
        return exchange->respond(Http::Response(Http::Status::not_found, Http::http_1_1));
    auto handle = "copy-of-" + attempt;
    auto made = found->second.events_made;
    if (is_last)
        this->stop(attempt);
    bool const is_accepted
        = !this->on_copy || this->on_copy(std::string(order.at("target_version").as_string()), handle, made);
    Http::Response response(is_accepted ? Http::Status::ok : Http::Status::service_unavailable, Http::http_1_1);
    response.body() = Json::serialize(Json::object { { "handle", handle }, { "made", made } });
    exchange->respond(std::move(response));
}

void PlatformRunner::send_report(Http::Exchange& exchange)
{
    Json::object report { { "born", this->start }, { "stage", "both" }, { "busy", false }, { "call_seq", 1 },
        { "waiting", 0 }, { "running", this->generations.size() }, { "kv_used", 0 }, { "kv_total", kv_tokens },
        { "handles", 0 } };
    if (this->leaves_in) {
        report["state"] = "draining";
        report["leaves_ms"] = *this->leaves_in;
    }
    Http::Response response(Http::Status::ok, Http::http_1_1);
    this->set_leaving_header(response);
    response.body() = Json::serialize(report);
    exchange.respond(std::move(response));
}

}
