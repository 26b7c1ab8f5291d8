/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/CallerWriter.h>
#include <LibGateway/ServiceCallSession.h>
#include <LibPlatform/HttpCall.h>

namespace Gateway {

static constexpr auto outcome_header = "Lilactiller-Outcome";
static constexpr auto not_started_header = "Lilactiller-Not-Started";
static constexpr Duration max_decision_wait = 25h;

ServiceCallSession::ServiceCallSession(GatewayLoop& gateway, GatewaySettings const& settings)
    : gateway(gateway)
    , settings(settings)
{
}

static void send_response(Poco::Net::HTTPServerResponse& response, Platform::HttpResponse const& backend_response)
{
    response.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(backend_response.status));
    auto type = backend_response.headers.find("Content-Type");
    response.setContentType(type == backend_response.headers.end() ? "application/octet-stream" : type->second);
    response.set(outcome_header, std::string(Delivery::to_string(Delivery::Outcome::Completed)));
    response.sendBuffer(backend_response.body.data(), backend_response.body.size());
}

static Platform::HttpRequest to_backend_request(ServiceCall const& call, OrganisationId const& organisation)
{
    Platform::HttpRequest request { call.method, call.path, call.body, {} };
    request.headers["Lilactiller-Organisation"] = organisation.value();
    request.headers["Lilactiller-Call"] = call.id;
    if (!call.content_type.empty())
        request.headers["Content-Type"] = call.content_type;
    if (!call.idempotency_key.empty())
        request.headers["Idempotency-Key"] = call.idempotency_key;
    return request;
}

void ServiceCallSession::serve(std::shared_ptr<ServiceCall> const& call, Poco::Net::HTTPServerResponse& response)
{
    this->gateway.services().post_call(call);
    std::optional<Delivery::DispatchRecord> record;
    while (true) {
        auto decision = call->decisions.take(max_decision_wait);
        auto outcome = record ? record->outcome() : Delivery::Outcome::NotRun;
        if (!decision || std::holds_alternative<Refused>(*decision)) {
            auto error = decision ? std::get<Refused>(*decision).error
                                  : Error { ErrorKind::NotReady, "this host is stopping; try again", 1s };
            send_error(response, error, outcome);
            return;
        }
        auto const& admitted = std::get<ServiceAdmitted>(*decision);
        // A call with an idempotency key is run at most once, even if its path is repeatable.
        auto is_repeatable = admitted.is_repeatable && call->idempotency_key.empty();
        if (!record)
            record.emplace(is_repeatable ? Delivery::Repeatability::Repeatable : Delivery::Repeatability::AtMostOnce);
        VERIFY(record->may_dispatch());
        record->about_to_send();
        auto backend_response
            = Platform::call_http(admitted.address, to_backend_request(*call, admitted.organisation), call->deadline);
        auto was_rejected = backend_response && backend_response.value().headers.contains(not_started_header);
        if (backend_response && !was_rejected) {
            record->completed();
            this->gateway.services().post_ended(
                call, record->outcome(), "status " + std::to_string(backend_response.value().status));
            send_response(response, backend_response.value());
            return;
        }
        if (was_rejected || backend_response.error().progress == Platform::CallProgress::NothingSent)
            record->confirmed_not_started();
        if (!record->may_dispatch()) {
            this->gateway.services().post_ended(call, record->outcome(), backend_response.error().detail);
            send_error(response,
                { ErrorKind::BackendServerFailed,
                    "the server's answer did not come; the call may have run, look its result up before repeating it",
                    {} },
                record->outcome());
            return;
        }
        this->gateway.services().post_retry(call, admitted.backend_server);
    }
}

}
