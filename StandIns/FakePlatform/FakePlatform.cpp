/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibPlatform/PlatformJson.h>
#include <StandIns/FakePlatform/FakePlatform.h>
#include <thread>

namespace StandIns {

static constexpr Duration slow_delay = 3s;

FakePlatform::FakePlatform(std::vector<Address> const& listen, Duration host_list_lag)
    : host_list_lag(host_list_lag)
{
    this->host_lists.emplace_back(Instant(), R"({"hosts":[]})");
    for (auto const& address : listen) {
        auto link = std::make_unique<Link>();
        link->server = std::make_unique<HttpStandIn>(
            address, [this, raw = link.get()](auto& request, auto& response) { this->serve(*raw, request, response); });
        this->links.push_back(std::move(link));
    }
}

void FakePlatform::set_fault(size_t link, PlatformFault fault, u64 count)
{
    std::lock_guard lock(this->mutex);
    this->links[link]->fault = fault;
    this->links[link]->remaining = count;
}

void FakePlatform::set_hosts(std::string const& json)
{
    std::lock_guard lock(this->mutex);
    this->host_lists.emplace_back(AK::BootClock::now() + this->host_list_lag, json);
}

PlatformFault FakePlatform::consume_fault(Link& link)
{
    std::lock_guard lock(this->mutex);
    auto fault = link.fault;
    if (link.remaining > 0 && --link.remaining == 0)
        link.fault = PlatformFault::None;
    return fault;
}

void FakePlatform::serve(Link& link, Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response)
{
    if (path_of(request).starts_with("/control/")) {
        this->serve_control(link, request, response);
        return;
    }
    switch (this->consume_fault(link)) {
    case PlatformFault::None:
        this->serve_data(request, response, false);
        return;
    case PlatformFault::Unavailable:
        send_response(response, 503, "{}");
        return;
    case PlatformFault::LoseResponses:
        this->serve_data(request, response, true);
        return;
    case PlatformFault::Disconnect:
        close_connection(request);
        return;
    case PlatformFault::Slow:
        std::this_thread::sleep_for(slow_delay);
        this->serve_data(request, response, false);
        return;
    }
}

static PlatformFault parse_fault(std::string const& mode)
{
    if (mode == "unavailable")
        return PlatformFault::Unavailable;
    if (mode == "lose_answers")
        return PlatformFault::LoseResponses;
    if (mode == "cut")
        return PlatformFault::Disconnect;
    if (mode == "slow")
        return PlatformFault::Slow;
    return PlatformFault::None;
}

void FakePlatform::serve_control(
    Link& link, Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response)
{
    auto path = path_of(request);
    if (path == "/control/fault") {
        auto query = query_of(request);
        std::lock_guard lock(this->mutex);
        link.fault = parse_fault(query["mode"]);
        link.remaining = query["count"].empty() ? 0 : std::stoull(query["count"]);
    } else if (path == "/control/hosts") {
        this->set_hosts(read_body(request));
    } else if (path == "/control/counts") {
        std::lock_guard lock(this->mutex);
        send_response(response, 200,
            "{\"reads\":" + std::to_string(this->reads) + ",\"writes\":" + std::to_string(this->writes) + "}");
        return;
    }
    send_response(response, 200, "{}");
}

std::string FakePlatform::hosts_of(std::string const& failure_domain)
{
    std::lock_guard lock(this->mutex);
    while (this->host_lists.size() > 1 && this->host_lists[1].first <= AK::BootClock::now())
        this->host_lists.pop_front();
    auto all = Platform::parse_backend_servers(this->host_lists.front().second);
    if (!all)
        return R"({"hosts":[]})";
    std::erase_if(all.value(), [&](auto const& record) { return record.failure_domain.value() != failure_domain; });
    return Platform::format_backend_servers(all.value());
}

std::pair<int, std::string> FakePlatform::handle(std::string const& path, Poco::Net::HTTPServerRequest& request)
{
    auto query = query_of(request);
    constexpr std::string_view object_prefix = "/object/";
    if (path == "/table/row") {
        auto row = this->table.read(query["key"]);
        return { 200,
            Platform::format_rows(row.value().exists() ? std::vector { row.value() } : std::vector<Platform::Row>()) };
    }
    if (path == "/table/scan") {
        auto rows = this->table.scan(query["prefix"], query["after"], std::stoull(query["limit"]));
        return { 200, Platform::format_rows(rows.value()) };
    }
    if (path == "/table/commit") {
        auto transaction = Platform::parse_transaction(read_body(request));
        if (!transaction)
            return { 400, transaction.error().message };
        auto result = this->table.commit(transaction.value());
        return { result.value() == Platform::CommitResult::Committed ? 200 : 409, "{}" };
    }
    if (path == "/hosts")
        return { 200, this->hosts_of(query["failure_domain"]) };
    if (path.starts_with(object_prefix)) {
        auto name = path.substr(object_prefix.size());
        if (request.getMethod() == "PUT") {
            (void)this->table.put_object(name, read_body(request));
            return { 200, "{}" };
        }
        auto object = this->table.get_object(name);
        return object ? std::pair { 200, object.value() } : std::pair { 404, std::string("{}") };
    }
    return { 404, "{}" };
}

void FakePlatform::serve_data(
    Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response, bool loses_response)
{
    auto path = path_of(request);
    {
        std::lock_guard lock(this->mutex);
        ++(request.getMethod() == "GET" ? this->reads : this->writes);
    }
    auto [status, body] = this->handle(path, request);
    if (loses_response)
        close_connection(request);
    else
        send_response(response, status, body);
}

}
