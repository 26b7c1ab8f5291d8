/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/RequestTerminations.h>

namespace Serving {

/// If a datagram is lost, the entry is announced again with the next full state messages. The value covers three of
/// them at the slowest rate.
static constexpr Duration reannounced_for = 3s;
/// Quarantined requests per full state message, at 30 bytes each.
static constexpr size_t max_quarantined_per_message = 8;
/// Requests in the message to a host that has just started, 7 KB in total.
static constexpr size_t max_requests_at_start = 64;

/// Updates the metrics after a change of the request's entry. If the request is quarantined from now on, logs an event
/// and has the quarantine stored.
static void handle_change(ServingContext& context, RequestFingerprint const& request, Quarantine::Change change)
{
    context.metrics.set("requests_suspected", static_cast<double>(context.quarantine.all().size()));
    context.metrics.set("quarantine_dropped", static_cast<double>(context.quarantine.dropped()));
    if (change != Quarantine::Change::Held)
        return;
    context.metrics.add("requests_quarantined_total");
    context.log.event(Core::EventNumber::RequestQuarantined, to_text(request))
        .with("organisation", request.organisation)
        .with("servers", context.quarantine.all().at(request).terminated_under.size())
        .with("held_ms", context.quarantine.held_for(request, context.now()).value_or(0s));
    context.hold_changed(request, true);
}

static void log_release(ServingContext& context, RequestFingerprint const& request, std::string_view reason)
{
    context.log.event(Core::EventNumber::RequestReleased, to_text(request))
        .with("organisation", request.organisation)
        .with("reason", reason);
}

void record_termination_under(ServingContext& context, std::span<RequestFingerprint const> fingerprints,
    Backend const& backend, InterruptedRun const& run)
{
    // The most specific one first, since it decides whether the others are quarantined too.
    std::vector<RequestFingerprint> suspects(fingerprints.begin(), fingerprints.end());
    std::ranges::sort(suspects, std::ranges::greater {}, &RequestFingerprint::specificity);
    std::vector<RequestFingerprint> changed;
    for (auto const& suspect : suspects) {
        ServerProcess const process { backend.server.id, backend.server.start };
        auto const change = context.quarantine.record_termination(suspect, process, run, context.now());
        if (change == Quarantine::Change::Nothing)
            continue;
        handle_change(context, suspect, change);
        changed.push_back(suspect);
    }
    if (!changed.empty())
        context.quarantine_changed(changed);
}

bool begin_trial(ServingContext& context, std::span<RequestFingerprint const> parts)
{
    auto const now = context.now();
    std::vector<RequestFingerprint> tried;
    for (auto const& part : parts) {
        if (!context.quarantine.begin_trial(part, now))
            continue;
        tried.push_back(part);
        context.log.event(Core::EventNumber::QuarantineTrial, to_text(part))
            .with("organisation", part.organisation)
            .with("next_trial_ms", context.quarantine.trial_in(part, now));
    }
    if (tried.empty())
        return false;
    context.metrics.add("quarantine_trials_total");
    context.quarantine_changed(tried);
    return true;
}

void record_run_survived(ServingContext& context, std::span<RequestFingerprint const> fingerprints)
{
    std::vector<RequestFingerprint> cleared;
    for (auto const& fingerprint : fingerprints) {
        bool const was_held = context.quarantine.held_for(fingerprint, context.now()).has_value();
        if (!context.quarantine.clear(fingerprint, context.now()))
            continue;
        cleared.push_back(fingerprint);
        if (!was_held)
            continue;
        log_release(context, fingerprint, "a run of the request completed");
        context.hold_changed(fingerprint, false);
    }
    if (!cleared.empty())
        context.quarantine_changed(cleared);
}

void forget_expired_terminations(ServingContext& context)
{
    for (auto const& request : context.quarantine.forget_expired(context.now())) {
        log_release(context, request, "the quarantine expired");
        context.hold_changed(request, false);
    }
}

static Terminations terminations_in(wire::EndingRequest const& entry, Instant now)
{
    Terminations terminations;
    for (int i = 0; i < entry.ended_size(); ++i) {
        auto const& process = entry.ended(i);
        InterruptedRun run { now, now };
        if (i < entry.interrupted_size()) {
            run.ended = now - std::chrono::milliseconds(entry.interrupted(i).ended_milliseconds_ago());
            run.began = run.ended - std::chrono::milliseconds(entry.interrupted(i).lasted_milliseconds());
        }
        terminations.emplace(ServerProcess { EngineId(process.backend()), ServerStart(process.start()) }, run);
    }
    return terminations;
}

static RequestFingerprint fingerprint_in(wire::EndingRequest const& entry)
{
    return { OrganisationId(entry.organisation()), entry.digest(), entry.prompt_part() };
}

static void apply_clearance(ServingContext& context, wire::EndingRequest const& entry)
{
    auto const request = fingerprint_in(entry);
    bool const was_held = context.quarantine.held_for(request, context.now()).has_value();
    if (!context.quarantine.clear(request, context.now()))
        return;
    if (was_held)
        log_release(context, request, "a run of the request completed at another host");
    if (entry.replies_to_suspicion())
        context.quarantine_changed(std::span(&request, 1));
}

std::vector<RequestFingerprint> apply_request_terminations(ServingContext& context, wire::HostUse const& message)
{
    auto const now = context.now();
    std::vector<wire::EndingRequest const*> entries;
    for (auto const& entry : message.ending())
        entries.push_back(&entry);
    std::ranges::stable_sort(
        entries, std::ranges::greater {}, [](auto const* entry) { return fingerprint_in(*entry).specificity(); });
    std::vector<RequestFingerprint> known_harmless;
    for (auto const* entry : entries) {
        auto const request = fingerprint_in(*entry);
        if (entry->is_cleared()) {
            apply_clearance(context, *entry);
            continue;
        }
        if (!request.is_whole_request() && context.quarantine.is_recently_cleared(request, now))
            known_harmless.push_back(request);
        auto const held_for = std::chrono::milliseconds(entry->held_milliseconds());
        auto const terminations = terminations_in(*entry, now);
        handle_change(context, request, context.quarantine.merge(request, terminations, held_for, now));
        context.quarantine.postpone_trial(request, std::chrono::milliseconds(entry->trial_milliseconds()), now);
    }
    if (message.knows_quarantine())
        context.knows_quarantine = true;
    return known_harmless;
}

static wire::EndingRequest& add_request(wire::HostUse& message, RequestFingerprint const& request)
{
    auto& entry = *message.add_ending();
    entry.set_organisation(request.organisation.value());
    entry.set_digest(request.digest);
    entry.set_prompt_part(request.prompt_part);
    return entry;
}

static void set_hold(wire::EndingRequest& entry, ServingContext const& context, RequestFingerprint const& request)
{
    auto const held_for = context.quarantine.held_for(request, context.now()).value_or(0s);
    entry.set_held_milliseconds(static_cast<u32>(AK::to_milliseconds(held_for)));
    auto const trial_in = context.quarantine.trial_in(request, context.now());
    entry.set_trial_milliseconds(static_cast<u32>(AK::to_milliseconds(trial_in)));
}

/// In milliseconds, up to `Quarantine::retention_time`.
static u32 bounded_milliseconds(Duration duration)
{
    return static_cast<u32>(AK::to_milliseconds(std::clamp(duration, Duration(0), Quarantine::retention_time)));
}

void put_request_termination(wire::HostUse& message, ServingContext const& context, RequestFingerprint const& request)
{
    auto& entry = add_request(message, request);
    auto const found = context.quarantine.all().find(request);
    if (found == context.quarantine.all().end())
        return entry.set_is_cleared(true);
    set_hold(entry, context, request);
    auto const now = context.now();
    for (auto const& [process, run] : found->second.terminated_under) {
        auto& terminated = *entry.add_ended();
        terminated.set_backend(process.server.value());
        terminated.set_start(process.start.value());
        auto& interrupted = *entry.add_interrupted();
        interrupted.set_ended_milliseconds_ago(bounded_milliseconds(now - run.ended));
        interrupted.set_lasted_milliseconds(bounded_milliseconds(run.ended - run.began));
    }
}

void put_clearance_reply(wire::HostUse& message, RequestFingerprint const& part)
{
    auto& entry = add_request(message, part);
    entry.set_is_cleared(true);
    entry.set_replies_to_suspicion(true);
}

void put_recent_request_terminations(wire::HostUse& message, ServingContext const& context, u64 round)
{
    message.set_knows_quarantine(context.knows_quarantine);
    std::vector<RequestFingerprint> held;
    for (auto const& [request, entry] : context.quarantine.all()) {
        if (context.now() - entry.changed_at < reannounced_for)
            put_request_termination(message, context, request);
        else if (entry.held_until)
            held.push_back(request);
    }
    auto const count = std::min(held.size(), max_quarantined_per_message);
    for (size_t i = 0; i < count; ++i) {
        auto const& request = held[(round * max_quarantined_per_message + i) % held.size()];
        set_hold(add_request(message, request), context, request);
    }
}

void put_all_request_terminations(wire::HostUse& message, ServingContext const& context)
{
    message.set_knows_quarantine(context.knows_quarantine);
    size_t added = 0;
    auto put = [&](bool is_held) {
        for (auto const& [request, entry] : context.quarantine.all()) {
            if (entry.held_until.has_value() == is_held && added++ < max_requests_at_start)
                put_request_termination(message, context, request);
        }
    };
    put(true);
    put(false);
}

}
