/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/BackendChooser.h>
#include <LibServing/Overload/PoolForecast.h>
#include <algorithm>
#include <boost/random/uniform_real_distribution.hpp>

namespace Serving {

/// An older load report says nothing about the present load, since most calls have ended by then.
static constexpr Duration load_report_lifetime = 1s;
/// Engines in use are polled several times in this period (EnginePoller). A report is half a second old when it
/// arrives.
static constexpr Duration engine_report_lifetime = 3s;
// The costs below are fractions of a backend server's capacity.

/// If all hosts of a domain are silent, the domain is most likely partitioned, and a connection attempt would only run
/// into its timeout.
static constexpr double silent_domain_cost = 50;
/// An avoided server is chosen only if all others are avoided as well.
static constexpr double avoided_cost = 100;
/// A backend server that fails every request costs as much as one that is four times full.
static constexpr double failure_cost = 4;
/// Breaks ties differently on each host, so that hosts with the same view do not all choose the same server.
static constexpr double tie_breaking_noise = 0.02;
/// A backlog of this many prompt tokens costs as much as a full memory.
static constexpr double unread_tokens_scale = idle_prefill_tokens_per_second;
/// Cost per second that a copy would wait for the transfers before it. An engine that leaves gives only one or two
/// seconds before it terminates.
static constexpr double copy_wait_cost = 0.5;
/// Above this share of the memory, running generations would begin to evict each other.
static constexpr double crowded_share = 0.9;
/// Cost per unit of memory share above that threshold, and the flat cost of an engine whose slots are all taken.
static constexpr double crowded_cost = 10;
/// Cost of one expected late stream.
static constexpr double late_stream_cost = 1;
/// Cost per second until the first event, if the speed of the engine is known. Half a second at one engine rather than
/// another costs as much as a late stream, so that prompts are read where that is fast, and engines without streams do
/// not build up a backlog.
static constexpr double first_event_wait_cost = 2;

/// Servers that have become available during the doubt are not part of it.
static bool is_in_doubt(Backend const& backend, ChoiceInputs const& inputs)
{
    return std::ranges::any_of(inputs.doubtful_domains, [&](auto const& doubtful) {
        return doubtful.domain == backend.server.failure_domain && backend.available_since <= doubtful.since;
    });
}

static double common_cost(Backend const& backend, ChoiceInputs const& inputs, boost::random::mt19937& random)
{
    boost::random::uniform_real_distribution<double> noise(0, tie_breaking_noise);
    double cost = noise(random) + backend.health.failure_share * failure_cost;
    if (backend.server.failure_domain != inputs.own_failure_domain)
        cost += inputs.other_domain_cost;
    if (std::ranges::find(inputs.silent_domains, backend.server.failure_domain) != inputs.silent_domains.end())
        cost += silent_domain_cost;
    if (backend.is_avoided(inputs.now))
        cost += avoided_cost;
    if (is_in_doubt(backend, inputs))
        cost += avoided_cost;
    return cost;
}

bool is_eligible(Backend const& backend, ChoiceInputs const& inputs)
{
    bool const is_on_other_side = inputs.side && backend.rollout_side && *backend.rollout_side != *inputs.side;
    return backend.takes_work_at(inputs.now) && !is_on_other_side && inputs.regions.allow(backend.region);
}

bool is_candidate(Backend const& backend, std::span<EngineId const> tried, ChoiceInputs const& inputs)
{
    if (!is_eligible(backend, inputs) || std::ranges::find(tried, backend.server.id) != tried.end())
        return false;
    if (!inputs.server_limits)
        return !backend.limit;
    return inputs.server_limits->may_send(backend, inputs.now);
}

template<typename Cost>
static BackendPointer cheapest(std::span<BackendPointer const> candidates, std::span<EngineId const> tried,
    ChoiceInputs const& inputs, Cost const& cost_of)
{
    Cheapest chosen;
    for (auto const& candidate : candidates) {
        if (is_candidate(*candidate, tried, inputs))
            chosen.offer(candidate, cost_of(*candidate));
    }
    return chosen.backend();
}

/// The time that a call is expected to take, as a multiple of the usual time at a server without other calls.
static double expected_time(Backend const& backend, double busy_slots, Instant now)
{
    auto const slowness
        = backend.lasting_slowness().value() * Overload::expected_slowness(backend.slowness, now).value();
    auto const slots = std::max(1U, backend.server.slots);
    return slowness * (busy_slots + 1) / slots;
}

BackendPointer choose_for_call(std::span<BackendPointer const> candidates, std::span<EngineId const> tried,
    ChoiceInputs const& inputs, boost::random::mt19937& random)
{
    return cheapest(candidates, tried, inputs, [&](Backend const& backend) {
        auto busy = static_cast<double>(backend.in_flight);
        if (backend.load && inputs.now - backend.load_received_at < load_report_lifetime)
            busy = std::max(busy, static_cast<double>(backend.load->running + backend.load->waiting));
        auto const common = common_cost(backend, inputs, random);
        if (inputs.slowness)
            return expected_time(backend, busy, inputs.now) + common;
        return busy / std::max(1U, backend.server.slots) + common;
    });
}

i64 estimated_tokens(Backend const& backend, Instant now)
{
    auto const& engine = backend.engine;
    auto known = engine.tokens();
    if (!engine.report || now - engine.report_received_at > engine_report_lifetime)
        return known;
    return std::max(known, engine.report->used.value());
}

GenerationCost::GenerationCost(std::span<BackendPointer const> candidates, GenerationNeed const& need,
    TokenCount memory, ChoiceInputs const& inputs, boost::random::mt19937& random)
    : capacity(static_cast<double>(std::max<i64>(1, memory.value())))
    , wanted(need.prompt.value() + need.expected_output.value())
    , expected_output(need.expected_output.value())
    , unseen(inputs.unseen_placements * static_cast<double>(this->wanted) / this->capacity)
    , forecast(PoolForecast::create(candidates, inputs))
    , inputs(inputs)
    , random(random)
{
}

GenerationCost::~GenerationCost() = default;

std::optional<Overload::PauseEstimate> GenerationCost::pauses_at(Backend const& backend) const
{
    if (!this->forecast)
        return {};
    return this->forecast->estimate(backend);
}

double GenerationCost::cost_of_pauses(
    Backend const& backend, Overload::PauseEstimate const& estimate, double share) const
{
    auto const grown = share + static_cast<double>(backend.engine.streams() * this->expected_output) / this->capacity;
    auto cost = first_event_wait_cost * AK::to_seconds(estimate.first_event_wait);
    cost += crowded_cost * (std::max(grown, crowded_share) - std::max(share, crowded_share));
    // A copy has to arrive before its source terminates, so a busy link or a nearly full engine is no better a target
    // for being fast.
    bool const is_copy = this->inputs.stream->unread_tokens == 0;
    bool const may_delay_copy = backend.engine.incoming_tokens() > 0 || share > crowded_share;
    return cost + late_stream_cost * (is_copy && may_delay_copy ? 1 : estimate.late_streams());
}

double GenerationCost::operator()(Backend const& backend) const
{
    auto share = static_cast<double>(estimated_tokens(backend, this->inputs.now) + this->wanted) / this->capacity;
    auto cost = share;
    if (auto const estimate = this->pauses_at(backend))
        cost += this->cost_of_pauses(backend, *estimate, share);
    else
        cost += static_cast<double>(backend.engine.unread_tokens()) / unread_tokens_scale;
    if (this->inputs.copied_tokens_per_second)
        cost += copy_wait_cost * static_cast<double>(backend.engine.incoming_tokens())
            / *this->inputs.copied_tokens_per_second;
    if (share > crowded_share)
        cost += (share - crowded_share) * crowded_cost;
    if (backend.engine.generations() >= backend.server.slots)
        cost += crowded_cost;
    if (backend.server.failure_domain != this->inputs.host_failure_domain) {
        boost::random::uniform_real_distribution<double> share_of_unseen(0, 1);
        cost += this->unseen * share_of_unseen(this->random);
    }
    return cost + common_cost(backend, this->inputs, this->random);
}

BackendPointer choose_for_generation(std::span<BackendPointer const> candidates, std::span<EngineId const> tried,
    GenerationNeed const& need, TokenCount memory, ChoiceInputs const& inputs, boost::random::mt19937& random)
{
    GenerationCost const cost(candidates, need, memory, inputs, random);
    return cheapest(candidates, tried, inputs, cost);
}

}
