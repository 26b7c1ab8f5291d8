/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/ConnectionProbes.h>
#include <LibServing/Contact.h>
#include <LibServing/Overload/DomainFailures.h>
#include <LibServing/Suspicion.h>
#include <algorithm>
#include <set>

namespace Serving {

static std::string subject_of(Overload::ServerGroup const& group)
{
    return group.service.value() + '@' + group.domain.value();
}

void ConnectionProbes::tick()
{
    auto const now = this->context.now();
    std::erase_if(this->probes,
        [now](auto const& entry) { return !entry.second.is_in_flight && now - entry.second.next_at > period; });
    for (auto const& service : this->context.unreachable_services)
        this->probe_service(service);
    for (auto const& service : this->context.service_contact.lost_services())
        this->probe_service(service);
    if (this->context.domain_doubt.is_empty())
        return;
    for (auto const& group : this->context.domain_doubt.doubtful_groups(now))
        this->probe_doubtful(group);
}

void ConnectionProbes::probe_service(ServiceName const& service)
{
    std::set<FailureDomainId> domains;
    for (auto const& backend : this->context.backends.of_service(service))
        domains.insert(backend->server.failure_domain);
    // Without servers, nothing is left to regain contact to.
    if (domains.empty())
        this->context.service_contact.record_contact(service, this->context.now());
    for (auto const& domain : domains)
        this->probe({ domain, service });
}

void ConnectionProbes::probe_doubtful(Overload::ServerGroup const& group)
{
    auto const& reachability = this->context.reachability;
    if (reachability.is_responsible_for(
            this->context.settings.peer_address, subject_of(group), group.domain, this->context.now()))
        this->probe(group);
}

void ConnectionProbes::probe(Overload::ServerGroup const& group)
{
    auto const now = this->context.now();
    auto const subject = subject_of(group);
    std::vector<BackendPointer> candidates;
    std::ranges::copy_if(
        this->context.backends.of_service(group.service), std::back_inserter(candidates), [&](auto const& backend) {
            return backend->takes_work_at(now) && backend->server.failure_domain == group.domain;
        });
    auto& probe = this->probes[subject];
    if (candidates.empty() || probe.is_in_flight || now < probe.next_at)
        return;
    // The one whose last failed attempt is the oldest, so that all have their turn.
    auto const& chosen = *std::ranges::min_element(
        candidates, {}, [](auto const& backend) { return backend->health.unreachable_at.value_or(Instant {}); });
    probe.is_in_flight = true;
    probe.next_at = now + period;
    this->context.metrics.add("connection_probes_total");
    this->context.processes.query(*chosen,
        this->guard.wrap([this, subject, chosen](ProcessState state) { this->probed(subject, chosen, state); }));
}

void ConnectionProbes::probed(std::string const& subject, BackendPointer const& backend, ProcessState state)
{
    this->probes[subject].is_in_flight = false;
    this->context.log.event(Core::EventNumber::ConnectionProbed, subject)
        .with("backend", backend->server.id)
        .with("process", to_string(state));
    if (state == ProcessState::Listening) {
        record_connection(*backend);
        record_connected(this->context, *backend);
        return record_responding_server(this->context, *backend);
    }
    // A probe that is refused has reached the server's machine, however long that took.
    if (state == ProcessState::Unknown && is_own_delay(this->context, Http::ExchangeEnd::ConnectTimedOut))
        return;
    backend->health.unreachable_at = this->context.now();
    record_not_connected(this->context, *backend);
    record_failed_connection(this->context, *backend);
}

}
