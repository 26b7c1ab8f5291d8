/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <AK/Error.h>
#include <Tests/Soak/PromiseChecker.h>
#include <xxhash.h>

namespace Soak {

/// Events of a generation: uniform from 3 to 149, which takes up to three seconds at Soak.cpp's 20 ms per event.
static constexpr u64 min_events = 3;
static constexpr u64 event_count_range = 147;

u64 PromiseChecker::planned_events(std::string const& attempt)
{
    return min_events + XXH3_64bits(attempt.data(), attempt.size()) % event_count_range;
}

/// An event in the format of the stand-in engine.
static std::string event_text(std::string const& attempt, u64 number)
{
    return "id: " + std::to_string(number) + "\ndata: token of " + attempt + "\n\n";
}

std::string_view to_string(Ending ending)
{
    switch (ending) {
    case Ending::Complete:
        return "whole";
    case Ending::CallerDisconnected:
        return "caller-left";
    case Ending::RefusedHostDown:
        return "refused-down";
    case Ending::RefusedHostStopping:
        return "refused-stopping";
    case Ending::RefusedHostUp:
        return "refused-up";
    case Ending::ClosedHostTerminated:
        return "closed-gone";
    case Ending::ClosedGraceExpired:
        return "closed-grace-over";
    case Ending::ClosedStreamBroken:
        return "closed-stream-broken";
    case Ending::ClosedHostStopping:
        return "closed-stopping";
    case Ending::ClosedHostAffected:
        return "closed-harmed";
    case Ending::ClosedHostUnaffected:
        return "closed-calm";
    }
    VERIFY(false);
}

void PromiseChecker::violation(std::string text) { this->found_violations.push_back(std::move(text)); }

std::string PromiseChecker::host_of(std::string const& attempt) const
{
    auto known = this->requests.find(attempt);
    return known == this->requests.end() ? std::string() : known->second.host;
}

Instant PromiseChecker::sent_at(std::string const& attempt) const
{
    auto known = this->requests.find(attempt);
    return known == this->requests.end() ? Instant {} : known->second.sent_at;
}

std::set<std::string> PromiseChecker::runners_of(std::string const& attempt) const
{
    auto known = this->runners_by_attempt.find(attempt);
    return known == this->runners_by_attempt.end() ? std::set<std::string>() : known->second;
}

void PromiseChecker::record_sent(std::string const& attempt, SentRequest request)
{
    this->requests.emplace(attempt, std::move(request));
}

void PromiseChecker::check_arrival(
    std::string const& runner, std::string const& service, StandIns::PlatformRunner::Received const& received)
{
    auto known = this->requests.find(received.attempt);
    if (known == this->requests.end())
        return this->violation(runner + " got the attempt '" + received.attempt + "' that no caller sent");
    this->runners_by_attempt[received.attempt].insert(runner);
    auto const& request = known->second;
    auto header = [&](std::string const& name) {
        auto found = received.headers.find(name);
        return found == received.headers.end() ? std::string() : found->second;
    };
    if (received.body != request.body || received.target != request.target)
        this->violation(runner + " got a modified request of " + received.attempt);
    if (service != route_of(request.kind).service)
        this->violation(runner + " of " + service + " got " + received.attempt + " of another service");
    if (header("Lilactiller-Tenant") != organisation)
        this->violation(runner + " got " + received.attempt + " for '" + header("Lilactiller-Tenant") + "'");
    if (!header("Api-Key").empty())
        this->violation(runner + " was shown the key of " + received.attempt);
}

void PromiseChecker::check_response(std::string const& attempt, ObservedResponse response)
{
    auto known = this->requests.find(attempt);
    ++this->status_counts[response.status];
    if (known != this->requests.end() && response.is_success())
        this->check_success(attempt, known->second, response);
    this->responses.emplace(attempt, std::move(response));
}

void PromiseChecker::record_ending(std::string const& attempt, Ending ending, ObservedResponse const& response)
{
    ++this->endings[ending];
    bool const was_closed_by_host = ending == Ending::ClosedHostStopping || ending == Ending::ClosedHostAffected
        || ending == Ending::ClosedHostUnaffected;
    if (!was_closed_by_host)
        return;
    this->closed_by_host[attempt] = std::string(to_string(ending)) + ", "
        + (response.is_on_persistent_connection ? "kept" : "new") + " connection, status "
        + std::to_string(response.status) + ", " + Http::describe(response.end, response.end_reason);
}

void PromiseChecker::check_closed()
{
    // Checked at the end only: a forwarded request may reach its backend server after the caller has seen the close.
    for (auto const& [attempt, seen] : this->closed_by_host) {
        if (!this->runners_by_attempt.contains(attempt))
            continue;
        this->violation(attempt + " was forwarded by " + this->host_of(attempt)
            + ", which then closed the caller's connection without a response (" + seen + ')');
    }
}

void PromiseChecker::check_success(
    std::string const& attempt, SentRequest const& request, ObservedResponse const& response)
{
    if (!response.has_stamp)
        this->violation(attempt + " got a success without a signature");
    if (request.kind == CallKind::Draft)
        return this->check_stream(attempt, response);
    if (response.is_complete && response.body != "answer to " + request.target)
        this->violation(attempt + " got the response of another request: " + response.body);
}

void PromiseChecker::check_stream(std::string const& attempt, ObservedResponse const& response)
{
    std::string expected;
    for (u64 number = 1; number <= planned_events(attempt); ++number)
        expected += event_text(attempt, number);
    if (!expected.starts_with(response.body))
        this->violation(attempt + " got events that are missing, duplicate, out of order or of another generation");
    if (response.is_complete && response.body != expected)
        this->violation(attempt + " was completed before its last event");
}

void PromiseChecker::record_running(
    std::string const& runner, std::vector<std::string> const& attempts, bool is_exempt, Instant now)
{
    std::set<std::string> const present(attempts.begin(), attempts.end());
    for (auto& [attempt, runners] : this->first_seen_running) {
        if (!present.contains(attempt) || is_exempt)
            runners.erase(runner);
    }
    if (is_exempt)
        return;
    for (auto const& attempt : attempts) {
        auto& runners = this->first_seen_running[attempt];
        runners.try_emplace(runner, now);
        size_t const overlapping = static_cast<size_t>(
            std::ranges::count_if(runners, [&](auto const& entry) { return now - entry.second > tolerated_overlap; }));
        if (overlapping > 1) {
            this->violation(attempt + " runs on two engines at once");
            runners.clear();
        }
    }
    std::erase_if(this->first_seen_running, [](auto const& entry) { return entry.second.empty(); });
}

void PromiseChecker::check_probe_response(SentRequest const& request, u64 version, ObservedResponse const& response)
{
    auto& served = this->served_probes[{ request.host, request.host_incarnation }];
    if (response.has(Http::Status::ok))
        served.insert(version);
    // A host that has served a route in this incarnation has applied the version that added it, and no version removes
    // a route.
    if (response.has(Http::Status::not_found) && !served.empty() && *served.rbegin() >= version)
        this->violation(request.host + " reverted from version " + std::to_string(*served.rbegin()) + " to one without "
            + std::to_string(version));
}

/// Statuses with which a host may refuse a request only if it has not run.
static bool reports_not_run(ObservedResponse const& response)
{
    return response.has(Http::Status::too_many_requests) || response.has(Http::Status::service_unavailable)
        || response.has(Http::Status::request_timeout) || response.has(Http::Status::misdirected_request);
}

void PromiseChecker::finish(std::map<std::string, u32> const& runs)
{
    this->check_closed();
    for (auto const& [attempt, count] : runs) {
        auto known = this->requests.find(attempt);
        if (known == this->requests.end())
            continue;
        if (known->second.kind != CallKind::Tariff && count > 1)
            this->violation(attempt + ", which may run once, ran " + std::to_string(count) + " times");
        auto response = this->responses.find(attempt);
        if (response == this->responses.end() || known->second.kind == CallKind::Tariff)
            continue;
        if (reports_not_run(response->second))
            this->violation(attempt + " got status " + std::to_string(response->second.status) + " and ran");
    }
}

}
