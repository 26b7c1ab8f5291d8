/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibServing/BackendTable.h>
#include <LibServing/ServerLimits.h>
#include <boost/random/mersenne_twister.hpp>
#include <span>

namespace Serving {

/// Prompt tokens that an engine reads in a second if it does nothing else.
inline constexpr double idle_prefill_tokens_per_second = 14'000;

/// What a choice depends on beside the candidates.
struct ChoiceInputs {
    /// Backend servers of all other domains cost more; for a copy that of its source.
    FailureDomainId own_failure_domain;
    /// Other failure domains that seem to be cut off from this one.
    std::vector<FailureDomainId> silent_domains;
    Instant now;
    /// What it costs, in parts of a backend server's capacity, to choose one in another failure domain.
    double other_domain_cost { 0 };
    /// Tokens of a copy that an engine's link takes in a second; for a copy only, which has to wait for those before
    /// it.
    std::optional<double> copied_tokens_per_second {};
    /// The host's own domain: what it believes of others is older, and as many deciders believe the same.
    FailureDomainId host_failure_domain {};
    /// Generations that hosts of this domain may have placed in other domains without this one having heard of it.
    double unseen_placements { 0 };
    /// Null for copies: a generation goes on there seconds later. None goes to a server that names a limit.
    ServerLimits const* server_limits { nullptr };
};

/// Whether it may be given work now, was not tried, and bears more by its bounds.
bool is_candidate(Backend const&, std::span<EngineId const> tried, ChoiceInputs const&);

/// Keeps the one that costs least of those it is offered.
class Cheapest {
public:
    void offer(BackendPointer const& backend, double cost)
    {
        if (this->best && cost >= this->lowest)
            return;
        this->best = backend;
        this->lowest = cost;
    }
    /// Null when nothing was offered.
    [[nodiscard]] BackendPointer const& backend() const { return this->best; }

private:
    BackendPointer best;
    double lowest { 0 };
};

/// A backend server for a call to a plain service: the least busy by what this host has there and by what it last said
/// of itself, with those that fail and those of other failure domains counted as busier. Passes over those in `tried`.
/// Null when no other one serves.
BackendPointer choose_for_call(std::span<BackendPointer const> candidates, std::span<EngineId const> tried,
    ChoiceInputs const& inputs, boost::random::mt19937& random);

/// What a generation will need of its engine.
struct GenerationNeed {
    TokenCount prompt;
    TokenCount expected_output;
};

/// What it costs, in parts of an engine's capacity, to give a generation to it: prompts that wait to be read there,
/// memory in use, and what all backend servers cost.
class GenerationCost {
public:
    /// Refers to `inputs` and `random`.
    GenerationCost(
        GenerationNeed const&, TokenCount memory, ChoiceInputs const& inputs, boost::random::mt19937& random);
    double operator()(Backend const&) const;

private:
    double capacity;
    i64 wanted;
    /// In parts of the capacity. Hosts that all believe the same would all choose the same engine. What they may have
    /// placed unseen is drawn for each engine, so that they spread over those that are about as good (TestLateBeliefs).
    double unseen;
    ChoiceInputs const& inputs;
    boost::random::mt19937& random;
};

/// An engine for a generation: the one where prompts that wait to be read and memory in use cost it least.
/// Passes over those in `tried`. Null when no other one serves; a full engine costs more, but is not passed over.
BackendPointer choose_for_generation(std::span<BackendPointer const> candidates, std::span<EngineId const> tried,
    GenerationNeed const& need, TokenCount memory, ChoiceInputs const& inputs, boost::random::mt19937& random);

/// Tokens that an engine holds now: what all hosts say they have there, or what it reports if that is more.
i64 estimated_tokens(Backend const&, Instant now);

}
