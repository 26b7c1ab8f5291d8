/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/Overload/LoadMeter.h>

namespace Serving {

LoadMeter::LoadMeter(ServingContext& context, std::shared_ptr<Http::Traffic const> callers)
    : context(context)
    , callers(std::move(callers))
    , servers(context.connections.traffic_counters())
{
}

void LoadMeter::record(Duration lateness)
{
    auto const now = this->context.now();
    Overload::HostLoad::Sample const sample { lateness, this->callers->bytes_received + this->servers->bytes_received,
        this->callers->bytes_sent + this->servers->bytes_sent, this->callers->requests_read };
    if (auto const goal = this->context.routing ? this->context.routing->min_latency_goal() : std::nullopt)
        this->context.host_load.set_latency_goal(*goal);
    this->context.host_load.record(sample, now);
    if (now >= this->next_report_at)
        this->report(now);
}

static Duration mean_connect_time(Http::Traffic const& now, Http::Traffic const& before)
{
    auto const made = now.connections_made - before.connections_made;
    return made > 0 ? (now.connect_time - before.connect_time) / static_cast<i64>(made) : Duration(0);
}

void LoadMeter::report(Instant now)
{
    this->next_report_at = now + report_period;
    auto const before = std::exchange(this->callers_before, *this->callers);
    auto const servers_before = std::exchange(this->servers_before, *this->servers);
    auto const& load = this->context.host_load;
    auto const not_read = this->callers->connections_not_read - before.connections_not_read;
    auto const timed_out = this->servers->connects_timed_out - servers_before.connects_timed_out;
    auto const connect_time = mean_connect_time(*this->servers, servers_before);
    this->context.metrics.set("link_use", load.link_use());
    this->context.metrics.add("caller_connections_not_read_total", not_read);
    this->context.metrics.add("requests_shed_total", this->callers->requests_shed - before.requests_shed);
    bool const is_notable = load.standing_lateness() >= reported_lateness || load.link_use() >= reported_link_use
        || not_read > 0 || connect_time >= reported_connect_time;
    if (!is_notable)
        return;
    this->context.log.event(Core::EventNumber::HostLoadReported, this->context.settings.host.value())
        .with("late_ms", load.standing_lateness())
        .with("link_use", load.link_use())
        .with("accepted", this->callers->connections_accepted - before.connections_accepted)
        .with("read", this->callers->requests_read - before.requests_read)
        .with("not_read", not_read)
        .with("connected", this->servers->connections_made - servers_before.connections_made)
        .with("connect_ms", connect_time)
        .with("connects_timed_out", timed_out);
}

}
