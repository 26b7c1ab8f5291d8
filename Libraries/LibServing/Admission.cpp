/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <AK/Error.h>
#include <LibServing/Admission.h>
#include <algorithm>
#include <boost/random/uniform_real_distribution.hpp>

namespace Serving {

/// Prompt tokens that an engine reads per second while it also decodes other generations.
static constexpr double shared_prefill_tokens_per_second = idle_prefill_tokens_per_second / 2;
/// Hosts of other failure domains learn of a placement later than the hosts of the engine's own domain, and may choose
/// the same engine in the meantime. A remote engine must therefore have free memory for this many more generations of
/// the same size.
static constexpr i64 remote_reserve_generations = 2;
/// A shortage lasts until running generations end, which takes some seconds. In a pool of many engines one may regain
/// capacity within half a second.
static constexpr Duration min_retry_after = 200ms;
static constexpr Duration max_retry_after = 400ms;

std::string_view to_string(AdmissionVerdict verdict)
{
    switch (verdict) {
    case AdmissionVerdict::Admit:
        return "admit";
    case AdmissionVerdict::NoCapacity:
        return "no_room";
    case AdmissionVerdict::NoEngine:
        return "no_engine";
    case AdmissionVerdict::TooLarge:
        return "too_large";
    case AdmissionVerdict::BackingOff:
        return "backing_off";
    }
    VERIFY(false);
}

/// Work that is assumed to be at an engine in addition to what is known.
struct FurtherWork {
    u32 generations { 0 };
    i64 tokens { 0 };
    i64 unread_tokens { 0 };
};

static bool fits_in_memory(Backend const& backend, GenerationNeed const& need, TokenCount memory,
    ChoiceInputs const& inputs, FurtherWork const& further)
{
    if (memory.value() <= 0)
        return true;
    auto const wanted = need.prompt.value() + need.expected_output.value();
    bool const is_remote = backend.server.failure_domain != inputs.host_failure_domain;
    auto const held = estimated_tokens(backend, inputs.now) + further.tokens;
    // An empty engine accepts the same generations from local and remote hosts.
    auto const reserve = is_remote && held > 0 ? remote_reserve_generations * wanted : 0;
    return held + wanted + reserve <= memory.value();
}

static Duration prefill_time(i64 tokens)
{
    return AK::from_seconds(static_cast<double>(tokens) / shared_prefill_tokens_per_second);
}

/// An idle engine reads a prompt as early as possible, so it always qualifies. If the prompt alone takes longer than
/// the goal of the route, the backlog ahead of it may be as large as the prompt itself.
static bool prefills_in_time(Backend const& backend, AdmissionDemand const& demand, FurtherWork const& further)
{
    auto const before = backend.engine.unread_tokens() + further.unread_tokens;
    auto const prompt = demand.need.prompt.value();
    auto const max_prefill_time = std::max(demand.first_event_due_in, prefill_time(2 * prompt));
    return before <= 0 || prefill_time(before + prompt) <= max_prefill_time;
}

static bool has_capacity(Backend const& backend, AdmissionDemand const& demand, TokenCount memory,
    ChoiceInputs const& inputs, FurtherWork const& further = {})
{
    return backend.engine.generations() + further.generations < backend.server.slots
        && fits_in_memory(backend, demand.need, memory, inputs, further) && prefills_in_time(backend, demand, further);
}

static bool has_capacity_for(Backend const& backend, Overload::GenerationKind const& kind, TokenCount memory,
    ChoiceInputs const& inputs, FurtherWork const& further = {})
{
    auto need = GenerationNeed { kind.prompt, kind.expected_output };
    if (memory.value() > 0)
        need.expected_output = std::min(need.expected_output, TokenCount(memory.value() - need.prompt.value()));
    return has_capacity(backend, { need, kind.first_event_goal }, memory, inputs, further);
}

/// Whether the engine would still have capacity for the kinds of generations that go first if it ran this one as well.
/// What an engine without prompts to read, or without generations, accepts is not limited: otherwise a large generation
/// would be refused by every engine for as long as the shortage lasts.
static bool keeps_capacity(
    Backend const& backend, AdmissionDemand const& demand, TokenCount memory, ChoiceInputs const& inputs)
{
    bool const is_empty = backend.engine.generations() == 0 && backend.engine.unread_tokens() <= 0
        && estimated_tokens(backend, inputs.now) <= 0;
    if (is_empty)
        return true;
    FurtherWork own { 1, demand.need.prompt.value() + demand.need.expected_output.value(), 0 };
    if (backend.engine.unread_tokens() > 0)
        own.unread_tokens = demand.need.prompt.value();
    return std::ranges::all_of(
        demand.keep_free_for, [&](auto const& kind) { return has_capacity_for(backend, kind, memory, inputs, own); });
}

static Duration draw_retry_after(boost::random::mt19937& random)
{
    boost::random::uniform_real_distribution<double> seconds(
        AK::to_seconds(min_retry_after), AK::to_seconds(max_retry_after));
    return AK::from_seconds(seconds(random));
}

Admission admit(std::span<BackendPointer const> candidates, std::span<EngineId const> tried,
    AdmissionDemand const& demand, TokenCount memory, ChoiceInputs const& inputs, boost::random::mt19937& random)
{
    Admission decision;
    if (memory.value() > 0 && demand.need.prompt > memory) {
        decision.verdict = AdmissionVerdict::TooLarge;
        return decision;
    }
    // The expected output may be far too high. A generation that runs alone can use all of the engine's memory, so the
    // estimate is limited to the memory that the prompt leaves free.
    auto bounded = demand;
    if (memory.value() > 0)
        bounded.need.expected_output
            = std::min(demand.need.expected_output, TokenCount(memory.value() - demand.need.prompt.value()));
    GenerationCost const cost(candidates, bounded.need, memory, inputs, random);
    Cheapest chosen;
    decision.has_capacity_for_most_urgent = demand.most_urgent.empty();
    for (auto const& candidate : candidates) {
        if (!is_eligible(*candidate, inputs))
            continue;
        ++decision.serving;
        if (!decision.has_capacity_for_most_urgent)
            decision.has_capacity_for_most_urgent
                = has_capacity_for(*candidate, demand.most_urgent.front(), memory, inputs);
        if (!has_capacity(*candidate, bounded, memory, inputs) || !keeps_capacity(*candidate, bounded, memory, inputs))
            continue;
        ++decision.with_capacity;
        if (is_candidate(*candidate, tried, inputs))
            chosen.offer(candidate, cost(*candidate));
    }
    decision.engine = chosen.backend();
    if (decision.engine) {
        decision.verdict = AdmissionVerdict::Admit;
        decision.pauses = cost.pauses_at(*decision.engine);
        return decision;
    }
    decision.retry_after = draw_retry_after(random);
    auto const back_off = min_back_off(candidates, inputs.now);
    if (decision.serving > 0) {
        decision.verdict = AdmissionVerdict::NoCapacity;
    } else if (back_off) {
        decision.verdict = AdmissionVerdict::BackingOff;
        decision.retry_after += *back_off;
    }
    return decision;
}

}
