/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <StandIns/FakeService/FakeService.h>
#include <fstream>

namespace StandIns {

FakeService::FakeService(Address const& listen, std::string name, std::string history_path)
    : name(std::move(name))
    , history_path(std::move(history_path))
    , server(std::make_unique<HttpStandIn>(
          listen, [this](auto& request, auto& response) { this->serve(request, response); }))
{
}

void FakeService::set_fault(ServiceFault new_fault, u64 count)
{
    std::lock_guard lock(this->mutex);
    this->fault = new_fault;
    this->remaining = count;
}

ServiceFault FakeService::consume_fault()
{
    std::lock_guard lock(this->mutex);
    auto current = this->fault;
    if (this->remaining > 0 && --this->remaining == 0)
        this->fault = ServiceFault::None;
    return current;
}

static ServiceFault parse_fault(std::string const& mode)
{
    if (mode == "turn_away")
        return ServiceFault::Reject;
    if (mode == "lose_answer")
        return ServiceFault::LoseResponse;
    if (mode == "hang_up_before")
        return ServiceFault::CloseBeforeRun;
    return ServiceFault::None;
}

void FakeService::serve(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response)
{
    auto path = path_of(request);
    if (path == "/control/history") {
        send_response(response, 200, this->history());
        return;
    }
    if (path == "/control/fault") {
        auto query = query_of(request);
        this->set_fault(parse_fault(query["mode"]), query["count"].empty() ? 0 : std::stoull(query["count"]));
        send_response(response, 200, "{}");
        return;
    }
    auto current = this->consume_fault();
    if (current == ServiceFault::Reject) {
        send_response(response, 503, "{}", { { "Lilactiller-Not-Started", "busy" } });
        return;
    }
    if (current == ServiceFault::CloseBeforeRun) {
        close_connection(request);
        return;
    }
    {
        std::lock_guard lock(this->mutex);
        this->executions.push_back("{\"call\":\"" + request.get("Lilactiller-Call", "") + "\",\"key\":\""
            + request.get("Idempotency-Key", "") + "\",\"path\":\"" + path + "\",\"server\":\"" + this->name + "\"}");
        if (!this->history_path.empty())
            std::ofstream(this->history_path, std::ios::app) << this->executions.back() << '\n';
    }
    if (current == ServiceFault::LoseResponse)
        close_connection(request);
    else
        send_response(response, 200, "{\"path\":\"" + path + "\",\"status\":\"found\"}");
}

std::string FakeService::history()
{
    std::lock_guard lock(this->mutex);
    std::string lines;
    for (auto const& execution : this->executions)
        lines += execution + '\n';
    return lines;
}

u64 FakeService::execution_count()
{
    std::lock_guard lock(this->mutex);
    return this->executions.size();
}

}
