/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibOverload/DomainDoubt.h>
#include <LibOverload/PauseForecast.h>
#include <LibOverload/SlownessDistribution.h>
#include <LibServing/BackendTable.h>
#include <LibServing/Regions.h>
#include <LibServing/ServerLimits.h>
#include <boost/random/mersenne_twister.hpp>
#include <span>

namespace Serving {

/// Prompt tokens that an otherwise idle engine reads per second.
inline constexpr double idle_prefill_tokens_per_second = 14'000;

/// The inputs of a choice besides the candidates.
struct ChoiceInputs {
    /// Backend servers of other failure domains cost more than those of this one. For a copy, this is the domain of its
    /// source.
    FailureDomainId own_failure_domain;
    /// Other failure domains that seem to be partitioned from this one.
    std::vector<FailureDomainId> silent_domains;
    Instant now;
    /// Extra cost of a backend server in another failure domain, as a fraction of a backend server's capacity.
    double other_domain_cost { 0 };
    /// Tokens per second that an engine's link can receive. Set for copies only: a copy waits for the transfers that
    /// are queued before it.
    std::optional<double> copied_tokens_per_second {};
    /// The failure domain of this host. Its view of other domains is older, and many other hosts choose by the same
    /// view.
    FailureDomainId host_failure_domain {};
    /// Estimated number of generations that hosts of this domain have placed in other domains and that this host does
    /// not know of yet.
    double unseen_placements { 0 };
    /// Null for copies, because the generation resumes at the new engine only seconds later. Servers with a rate limit
    /// receive no copies.
    ServerLimits const* server_limits { nullptr };
    /// The only side of a roll-out that may be chosen; empty if there is none, or if either may.
    std::optional<Rollout::Side> side {};
    /// Where the request may be served and its content may be stored.
    AllowedRegions regions {};
    /// Null if the servers of the service don't report their slowness. Their speeds are then not considered.
    Overload::SlownessDistribution const* slowness { nullptr };
    /// Failure domains whose servers of the service seem to have failed together.
    std::vector<Overload::DomainDoubt::DoubtfulDomain> doubtful_domains {};
    /// The stream that the placement starts or resumes; empty if the pauses of streams are not considered.
    std::optional<Overload::StreamDemand> stream {};
};

/// Whether the backend server accepts new work now, and may get this request at all.
bool is_eligible(Backend const&, ChoiceInputs const&);

/// Whether the backend server accepts work now, was not tried yet, and can handle one more request within its limits.
bool is_candidate(Backend const&, std::span<EngineId const> tried, ChoiceInputs const&);

/// Selects the candidate with the lowest cost.
class Cheapest {
public:
    void offer(BackendPointer const& backend, double cost)
    {
        if (this->best && cost >= this->lowest)
            return;
        this->best = backend;
        this->lowest = cost;
    }
    /// Null if no candidate was offered.
    [[nodiscard]] BackendPointer const& backend() const { return this->best; }

private:
    BackendPointer best;
    double lowest { 0 };
};

/// Chooses a backend server for a call to a plain service: the least loaded one by this host's requests in flight there
/// and by the server's last load report. If the servers of the service report their slowness, it is the one with the
/// shortest expected time. Failing servers and servers of other failure domains count as more loaded.
/// Skips the servers in `tried`. Returns null if no other one is in service.
BackendPointer choose_for_call(std::span<BackendPointer const> candidates, std::span<EngineId const> tried,
    ChoiceInputs const& inputs, boost::random::mt19937& random);

/// The tokens that a generation will need in the memory of its engine.
struct GenerationNeed {
    TokenCount prompt;
    TokenCount expected_output;
};

/// The cost of placing a generation on an engine, as a fraction of the engine's capacity: the backlog of unread
/// prompts, the memory in use, the expected pauses of streams, and the costs common to all backend servers.
class GenerationCost {
public:
    /// Keeps references to `inputs` and `random`.
    GenerationCost(std::span<BackendPointer const> candidates, GenerationNeed const&, TokenCount memory,
        ChoiceInputs const& inputs, boost::random::mt19937& random);
    ~GenerationCost();
    double operator()(Backend const&) const;
    /// Empty if the pauses of streams are not considered, or nothing is known of them.
    [[nodiscard]] std::optional<Overload::PauseEstimate> pauses_at(Backend const&) const;

private:
    /// The cost of the wait for the first event, of late streams, and of the memory into which the running streams will
    /// grow. `share` is the share of the memory in use.
    [[nodiscard]] double cost_of_pauses(Backend const&, Overload::PauseEstimate const&, double share) const;

    double capacity;
    i64 wanted;
    i64 expected_output;
    /// As a fraction of the capacity. Hosts with the same view would all choose the same engine. The placements that
    /// this host does not know of yet are therefore drawn at random for each engine, which spreads the hosts over
    /// engines of similar cost (TestStaleEstimates).
    double unseen;
    /// Null if the pauses of streams are not considered.
    std::unique_ptr<class PoolForecast const> forecast;
    ChoiceInputs const& inputs;
    boost::random::mt19937& random;
};

/// Chooses the engine with the lowest cost for a generation, by the backlog of unread prompts and the memory in use.
/// Skips the engines in `tried`. Returns null if no other one is in service. A full engine costs more, but is not
/// skipped.
BackendPointer choose_for_generation(std::span<BackendPointer const> candidates, std::span<EngineId const> tried,
    GenerationNeed const& need, TokenCount memory, ChoiceInputs const& inputs, boost::random::mt19937& random);

/// Estimated number of tokens in an engine's memory: the sum that all hosts report for their generations, or the
/// engine's own report if that is higher.
i64 estimated_tokens(Backend const&, Instant now);

}
