/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/Overload/ServerPace.h>
#include <algorithm>
#include <cmath>

namespace Serving {

/// Each takes about 40 bytes. A message with this many still fits into one datagram.
static constexpr size_t max_paces_per_message = 24;
static constexpr double percent = 100;
static constexpr i64 max_age_milliseconds = 60'000;
/// A report counts for what is observed within this time. It is long enough for a few events, and short beside the
/// bursts of other programs.
static constexpr Duration report_lifetime = 200ms;

/// 0 if it is not known.
static u32 to_wire(std::optional<Duration> const& interval)
{
    using std::chrono::microseconds;
    return static_cast<u32>(std::chrono::duration_cast<microseconds>(interval.value_or(Duration(0))).count());
}

static u32 to_wire(std::optional<double> const& tokens_per_second)
{
    return static_cast<u32>(std::llround(tokens_per_second.value_or(0)));
}

static bool is_observed(ServingContext const& context, Backend const& backend)
{
    return context.slowness_of_services.contains(backend.server.service)
        && backend.cold_left(context.now()) == Duration(0);
}

static void log_pace(ServingContext& context, Backend const& backend, std::string_view source)
{
    auto const& pace = backend.pace;
    context.log.event(Core::EventNumber::ServerPaceKnown, backend.server.id.value())
        .with("source", source)
        .with("start", backend.server.start)
        .with("event_us", to_wire(pace.event_interval))
        .with("event_reading_us", to_wire(pace.event_interval_while_reading))
        .with("prompt_tokens_per_second", to_wire(pace.prompt_tokens_per_second))
        .with("served_ms", context.now() - backend.available_since);
}

/// Applies this host's knowledge to the server, and announces what other hosts lack.
static void update_pace(ServingContext& context, Backend& backend, Overload::KnownPace const& known)
{
    backend.pace = known.value();
    if (!context.paces.record_observation(backend.server.id, context.now()))
        return;
    context.metrics.add("server_paces_announced_total");
    log_pace(context, backend, "own");
    context.paces_changed();
}

/// Applies what the server has reported to this or to another host.
static void apply_report(ServingContext& context, Backend& backend, Overload::Slowness reported, Instant at)
{
    backend.reported_slowness.record(reported.value());
    auto& known = context.paces.pace_of(backend.server.id, backend.server.start);
    known.derived = context.pace_of_services[backend.server.service].pace_at(backend.lasting_slowness());
    backend.pace = known.value();
    if (backend.slowness && backend.slowness->observed_at > at)
        return;
    backend.slowness
        = Overload::SlownessReading { Overload::Slowness(reported.value() / backend.lasting_slowness().value()), at };
}

static void record_slowness(ServingContext& context, Backend& backend, Overload::Slowness reported)
{
    auto const now = context.now();
    apply_report(context, backend, reported, now);
    context.paces.pace_of(backend.server.id, backend.server.start).report = { reported, now };
    auto const [known, is_first] = context.slowness_of_services.try_emplace(backend.server.service);
    known->second.record(backend.slowness->slowness, now);
    context.metrics.add("slowness_reports_total");
    if (is_first)
        context.log.event(Core::EventNumber::ServiceReportsSlowness, backend.server.service.value())
            .with("server", backend.server.id);
}

void record_load(ServingContext& context, Backend& backend, std::optional<LoadReport> const& load)
{
    if (!load)
        return;
    backend.load = load;
    backend.load_received_at = context.now();
    if (load->has_invalid_slowness)
        context.metrics.add("slowness_reports_rejected_total");
    if (load->slowness)
        record_slowness(context, backend, *load->slowness);
}

/// What the engine reported just before; empty if that is too long ago to be true still.
static std::optional<Overload::Slowness> fresh_report(ServingContext const& context, Backend const& backend)
{
    bool const is_fresh = backend.load && context.now() - backend.load_received_at < report_lifetime;
    return is_fresh ? backend.load->slowness : std::nullopt;
}

void observe_event_gap(ServingContext& context, Backend& backend, Overload::EventGaps& gaps, Duration gap)
{
    if (!is_observed(context, backend))
        return;
    if (auto const interval = gaps.record(gap, backend.engine.unread_tokens() > 0)) {
        if (auto const reported = fresh_report(context, backend))
            context.pace_of_services[backend.server.service].record_interval(*interval, *reported);
        auto& known = context.paces.pace_of(backend.server.id, backend.server.start);
        known.own.record_interval(*interval);
        update_pace(context, backend, known);
    }
    if (auto const slowness = Overload::observed_slowness(gaps.latest(), backend.pace))
        backend.slowness = Overload::SlownessReading { *slowness, context.now() };
}

void observe_prompt_time(ServingContext& context, Backend& backend, TokenCount prompt, Duration time)
{
    if (!is_observed(context, backend))
        return;
    if (auto const reported = fresh_report(context, backend))
        context.pace_of_services[backend.server.service].record_prompt(prompt, time, *reported);
    auto& known = context.paces.pace_of(backend.server.id, backend.server.start);
    known.own.record_prompt(prompt, time);
    update_pace(context, backend, known);
}

// --- messages

/// Adds what the server last reported. Together with the pace, it tells other hosts the speed of all servers of the
/// service.
static void put_slowness(wire::ServerPace& entry, Overload::SlownessReading const& report, Instant now)
{
    entry.set_slowness_percent(static_cast<u32>(std::lround(report.slowness.value() * percent)));
    auto const age = AK::to_milliseconds(now - report.observed_at);
    entry.set_slowness_age_milliseconds(static_cast<u32>(std::clamp<i64>(age, 0, max_age_milliseconds)));
}

static void put(wire::HostUse& message, ServingContext const& context, std::vector<Overload::PaceReport> const& reports)
{
    for (auto const& report : reports) {
        if (static_cast<size_t>(message.paces_size()) >= max_paces_per_message)
            return;
        auto& entry = *message.add_paces();
        entry.set_backend(report.engine.value());
        entry.set_start(report.start.value());
        entry.set_event_interval_microseconds(to_wire(report.pace.event_interval));
        entry.set_event_interval_while_reading_microseconds(to_wire(report.pace.event_interval_while_reading));
        entry.set_prompt_tokens_per_second(to_wire(report.pace.prompt_tokens_per_second));
        if (report.slowness)
            put_slowness(entry, *report.slowness, context.now());
    }
}

void put_unsent_server_paces(wire::HostUse& message, ServingContext& context, Overload::PaceScope scope)
{
    put(message, context, context.paces.take_unsent(scope));
}

void put_recent_server_paces(wire::HostUse& message, ServingContext const& context, Overload::PaceScope scope)
{
    put(message, context, context.paces.recent(scope, context.now()));
}

void put_all_server_paces(wire::HostUse& message, ServingContext const& context)
{
    put(message, context, context.paces.all_own());
}

static std::optional<Duration> interval_from_wire(u32 microseconds)
{
    if (microseconds == 0)
        return {};
    return std::chrono::microseconds(microseconds);
}

static Overload::EnginePace pace_from_wire(wire::ServerPace const& entry)
{
    Overload::EnginePace pace { interval_from_wire(entry.event_interval_microseconds()),
        interval_from_wire(entry.event_interval_while_reading_microseconds()), {} };
    if (entry.prompt_tokens_per_second() > 0)
        pace.prompt_tokens_per_second = entry.prompt_tokens_per_second();
    return pace;
}

/// Applies the slowness that the server reported to another host.
static void apply_slowness(
    ServingContext& context, Backend& backend, wire::ServerPace const& entry, Overload::EnginePace const& pace)
{
    if (entry.slowness_percent() == 0)
        return;
    Overload::Slowness const reported(entry.slowness_percent() / percent);
    if (!Overload::is_credible(reported)) {
        context.metrics.add("server_paces_rejected_total");
        return;
    }
    Duration const age = std::chrono::milliseconds(entry.slowness_age_milliseconds());
    auto const observed_at = context.now() - age;
    auto& known = context.paces.pace_of(backend.server.id, backend.server.start);
    if (!known.merge_report({ reported, observed_at }))
        return;
    if (age < report_lifetime)
        context.pace_of_services[backend.server.service].record_reported(Overload::credible_part(pace), reported);
    apply_report(context, backend, reported, observed_at);
}

void apply_server_paces(ServingContext& context, wire::HostUse const& message)
{
    bool const is_local = message.domain_speaker().empty();
    for (auto const& entry : message.paces()) {
        auto const backend = context.backends.find_running(EngineId(entry.backend()));
        if (!backend || !backend->matches_start(ServerStart(entry.start()))) {
            context.metrics.add("server_paces_ignored_total");
            continue;
        }
        auto const pace = pace_from_wire(entry);
        if (Overload::credible_part(pace) != pace)
            context.metrics.add("server_paces_rejected_total");
        apply_slowness(context, *backend, entry, pace);
        context.paces.merge({ backend->server.id, backend->server.start, pace }, is_local, context.now());
        auto const before
            = std::exchange(backend->pace, context.paces.pace_of(backend->server.id, backend->server.start).value());
        bool const is_news = Overload::is_noticeably_quicker(backend->pace, before);
        if (is_news && context.pace_log.is_due(backend->server.id.value(), context.now()))
            log_pace(context, *backend, is_local ? "domain" : "remote");
    }
}

void drop_removed_server_paces(ServingContext& context)
{
    context.paces.retain([&](EngineId const& id, ServerStart start) {
        auto const backend = context.backends.find_running(id);
        return backend && backend->server.start == start;
    });
    context.metrics.set("server_paces_known", static_cast<double>(context.paces.count()));
}

}
