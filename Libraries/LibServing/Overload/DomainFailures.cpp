/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/Overload/DomainFailures.h>
#include <algorithm>

namespace Serving {

static Overload::ServerGroup group_of(Backend const& backend)
{
    return { backend.server.failure_domain, backend.server.service };
}

static size_t count_servers(ServingContext const& context, Overload::ServerGroup const& group)
{
    auto const& servers = context.backends.of_service(group.service);
    auto const count = std::ranges::count_if(servers,
        [&](auto const& server) { return server->takes_work() && server->server.failure_domain == group.domain; });
    return static_cast<size_t>(count);
}

void record_failed_connection(ServingContext& context, Backend const& backend)
{
    auto const now = context.now();
    // A start that has been replaced says nothing about the servers that are there now.
    if (context.backends.find(backend.server.id).get() != &backend || !backend.takes_work())
        return;
    auto const group = group_of(backend);
    bool const was_doubtful = context.domain_doubt.is_doubtful(group, now);
    bool const begins
        = context.domain_doubt.record_failure(group, backend.server.id, count_servers(context, group), now);
    if (begins && !was_doubtful)
        context.doubt_changed();
}

void record_responding_server(ServingContext& context, Backend const& backend)
{
    if (context.domain_doubt.is_empty())
        return;
    if (context.domain_doubt.record_response(group_of(backend), context.now()))
        context.doubt_changed();
}

void put_doubts(wire::HostUse& message, std::vector<Overload::DoubtReport> const& reports)
{
    for (auto const& report : reports) {
        auto& entry = *message.add_doubtful_domains();
        entry.set_failure_domain(report.group.domain.value());
        entry.set_service(report.group.service.value());
        entry.set_age_milliseconds(static_cast<u32>(AK::to_milliseconds(report.age)));
        entry.set_is_cleared(report.is_cleared);
    }
}

bool apply_doubts(
    ServingContext& context, MemberId const& reporter, Overload::DoubtReporter kind, wire::HostUse const& message)
{
    bool has_changed = false;
    for (auto const& entry : message.doubtful_domains()) {
        Overload::DoubtReport const report { { FailureDomainId(entry.failure_domain()), ServiceName(entry.service()) },
            std::chrono::milliseconds(entry.age_milliseconds()), entry.is_cleared() };
        if (count_servers(context, report.group) == 0)
            continue;
        if (context.domain_doubt.record_report(reporter, kind, report, context.now()))
            has_changed = true;
    }
    return has_changed;
}

static void log_begin(ServingContext& context, Overload::DomainDoubt::Change const& change)
{
    context.metrics.add("domain_doubts_total");
    context.log.event(Core::EventNumber::FailureDomainDoubtful, change.group.domain.value())
        .with("service", change.group.service)
        .with("failed_servers", change.failed_servers)
        .with("of", count_servers(context, change.group))
        .with("reporters", change.reporters);
}

static void log_end(ServingContext& context, Overload::DomainDoubt::Change const& change)
{
    context.log.event(Core::EventNumber::FailureDomainDoubtEnded, change.group.domain.value())
        .with("service", change.group.service)
        .with("reason", to_string(change.ending))
        .with("lasted_ms", change.lasted)
        .with("failed_servers", change.failed_servers)
        .with("reporters", change.reporters);
}

void log_doubt_changes(ServingContext& context)
{
    if (context.domain_doubt.is_empty())
        return;
    for (auto const& change : context.domain_doubt.take_changes(context.now()))
        change.ending == Overload::DomainDoubt::Ending::None ? log_begin(context, change) : log_end(context, change);
}

}
