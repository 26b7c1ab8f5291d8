/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/Contact.h>
#include <algorithm>

namespace Serving {

static size_t count_serving(ServingContext const& context, ServiceName const& service)
{
    auto const& servers = context.backends.of_service(service);
    auto const count = std::ranges::count_if(servers, [](auto const& server) { return server->takes_work(); });
    return static_cast<size_t>(count);
}

static bool has_local_server(ServingContext const& context, ServiceName const& service)
{
    return std::ranges::any_of(context.backends.of_service(service), [&](auto const& server) {
        return server->takes_work() && server->server.failure_domain == context.settings.failure_domain;
    });
}

void record_connected(ServingContext& context, Backend const& backend)
{
    context.service_contact.record_contact(backend.server.service, context.now());
}

void record_not_connected(ServingContext& context, Backend const& backend)
{
    // A start that has been replaced says nothing about the servers that are there now.
    if (context.backends.find(backend.server.id).get() != &backend || !backend.takes_work())
        return;
    auto const& service = backend.server.service;
    bool const is_local = backend.server.failure_domain == context.settings.failure_domain;
    context.service_contact.record_failure(service,
        { backend.server.id, is_local || !has_local_server(context, service) }, count_serving(context, service),
        context.now());
}

void log_contact_changes(ServingContext& context)
{
    for (auto const& change : context.service_contact.take_changes()) {
        context.metrics.add("service_contact_changes_total");
        context.log.event(Core::EventNumber::ServiceContactChanged, change.service.value())
            .with("state", change.is_lost ? "lost" : "regained")
            .with("failed_servers", change.failed_servers)
            .with("lasted_ms", change.lasted);
    }
}

wire::ContactQuery contact_query(ServingContext const& context)
{
    wire::ContactQuery query;
    for (auto const& service : context.service_contact.lost_services())
        query.add_services(service.value());
    return query;
}

wire::ContactReport contact_report(ServingContext const& context, wire::ContactQuery const& query)
{
    wire::ContactReport report;
    report.set_failure_domain(context.settings.failure_domain.value());
    if (context.is_leaving() || !context.routing)
        return report;
    for (auto const& text : query.services()) {
        ServiceName const service(text);
        if (!context.service_contact.is_lost(service) && count_serving(context, service) > 0)
            report.add_services(text);
    }
    return report;
}

void apply_contact_report(ServingContext& context, Address const& sender, wire::ContactReport const& report)
{
    std::vector<ServiceName> services;
    for (auto const& text : report.services())
        services.emplace_back(text);
    context.forwarding_hosts.record_contact(sender, FailureDomainId(report.failure_domain()), services, context.now());
}

}
