/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/Overload/ShortageMessages.h>
#include <algorithm>
#include <cmath>

namespace Serving {

using Overload::Shortage;
using Overload::SignScope;

/// Bounds the memory that a faulty message can take. A host serves some tens of services.
static constexpr size_t max_services = 256;
/// More than all engines generate in the time that counts. Sums of reports stay within the range of a message's field.
static constexpr u64 max_reported_tokens = 1'000'000'000'000;

static void log_change(ServingContext& context, ServiceName const& service, Shortage::Change change,
    MemberId const& reporter, Duration age)
{
    if (change == Shortage::Change::None)
        return;
    auto const& shortage = context.demands.of(service).shortage;
    bool const has_begun = change == Shortage::Change::Began;
    if (has_begun)
        context.metrics.add("shortages_total{service=\"" + service.value() + "\"}");
    context.metrics.set("shortage{service=\"" + service.value() + "\"}", has_begun ? 1 : 0);
    auto const event = has_begun ? Core::EventNumber::ShortageBegan : Core::EventNumber::ShortageEnded;
    context.log.event(event, service.value())
        .with("reporter", reporter)
        .with("priority", shortage.priority())
        .with("age_ms", age)
        .with("waiting", shortage.waiting_here())
        .with("hosts_waiting", shortage.hosts_with_waiting(context.now()));
}

void record_shortage_sign(ServingContext& context, ServiceName const& service, u32 priority)
{
    auto const now = context.now();
    auto& shortage = context.demands.of(service).shortage;
    auto const change = shortage.record_sign(priority, now);
    log_change(context, service, change, context.settings.host, shortage.age(now));
    if (change == Shortage::Change::Began)
        context.shortage_began(service);
}

void update_shortages(ServingContext& context)
{
    auto const now = context.now();
    context.demands.for_each([&](ServiceName const& service, ServiceDemand& demand) {
        auto const age = demand.shortage.age(now);
        log_change(context, service, demand.shortage.update(now), context.settings.host, age);
    });
}

static u32 milliseconds(Duration duration) { return static_cast<u32>(AK::to_milliseconds(duration)); }

void put_shortages(wire::HostUse& message, ServingContext& context, SignScope scope)
{
    context.demands.for_each([&](ServiceName const& service, ServiceDemand const& demand) {
        auto const report = demand.shortage.report(scope, context.now());
        if (!report)
            return;
        auto& entry = *message.add_shortages();
        entry.set_service(service.value());
        entry.set_age_milliseconds(milliseconds(report->age));
        entry.set_began_milliseconds_ago(milliseconds(report->began_ago));
        entry.set_priority(report->priority);
        entry.set_waiting(report->waiting);
    });
}

void put_organisation_use(wire::HostUse& message, ServingContext& context, SignScope scope)
{
    auto const now = context.now();
    context.demands.for_each([&](ServiceName const& service, ServiceDemand const& demand) {
        if (!demand.shortage.is_present(now))
            return;
        for (auto const& use : demand.shares.report(scope, now)) {
            auto& entry = *message.add_organisations();
            entry.set_service(service.value());
            entry.set_organisation(use.organisation.value());
            entry.set_tokens(static_cast<u64>(use.tokens));
            entry.set_age_milliseconds(milliseconds(use.age));
        }
    });
}

/// The demand of a service that a message names; null if the service is unknown to this host and many are known.
static ServiceDemand* demand_of(ServingContext& context, std::string const& name)
{
    ServiceName const service(name);
    if (!context.demands.contains(service) && context.demands.size() >= max_services)
        return nullptr;
    return &context.demands.of(service);
}

void apply_shortages(ServingContext& context, MemberId const& reporter, SignScope scope, wire::HostUse const& message)
{
    auto const now = context.now();
    for (auto const& entry : message.shortages()) {
        auto* demand = demand_of(context, entry.service());
        if (!demand)
            continue;
        Overload::ShortageReport const report { std::chrono::milliseconds(entry.age_milliseconds()),
            std::chrono::milliseconds(entry.began_milliseconds_ago()), entry.priority(), entry.waiting() };
        auto const change = demand->shortage.apply(reporter, scope, report, now);
        log_change(context, ServiceName(entry.service()), change, reporter, demand->shortage.age(now));
    }
    std::map<std::string, std::vector<Overload::OrganisationTokens>> by_service;
    for (auto const& entry : message.organisations())
        by_service[entry.service()].push_back({ OrganisationId(entry.organisation()),
            static_cast<double>(std::min<u64>(entry.tokens(), max_reported_tokens)),
            std::chrono::milliseconds(entry.age_milliseconds()) });
    for (auto const& [service, use] : by_service) {
        if (auto* demand = demand_of(context, service))
            demand->shares.apply(reporter, scope, use, now);
    }
}

}
