/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibOverload/GenerationKinds.h>
#include <LibServing/BackendChooser.h>

/// Admission control: chooses the engine of a service that runs a generation, or rejects the generation while no engine
/// has free capacity. The decision depends only on the arguments.
namespace Serving {

/// What one generation demands of the engines of its service.
struct AdmissionDemand {
    GenerationNeed need;
    /// Time left until the first event is due by the latency goal of the route.
    Duration first_event_due_in { 0 };
    /// An engine has capacity for this generation only if each of these would still have it there afterwards. Empty
    /// outside of a shortage.
    std::span<Overload::GenerationKind const> keep_free_for {};
    /// The most urgent kind of generation of the service, to notice when no engine has capacity for it; empty if all
    /// kinds are equally urgent.
    std::span<Overload::GenerationKind const> most_urgent {};
};

enum class AdmissionVerdict : u8 {
    Admit,
    /// No engine has free capacity. A generation that is dispatched anyway would wait in an engine's queue until it is
    /// late, and would delay the requests behind it.
    NoCapacity,
    /// No engine accepts new work.
    NoEngine,
    /// The prompt is larger than the memory of an empty engine.
    TooLarge,
    /// Every engine that would accept work has asked this host to back off.
    BackingOff,
};

std::string_view to_string(AdmissionVerdict);

/// A decision and the counts that led to it.
struct Admission {
    AdmissionVerdict verdict { AdmissionVerdict::NoEngine };
    /// Set for Admit only.
    BackendPointer engine;
    /// When a caller rejected with NoCapacity, NoEngine or BackingOff should retry. The value is randomised, so that
    /// callers rejected together do not return together.
    Duration retry_after { 0 };
    /// Number of engines that accept work, and number of those with free capacity.
    u32 serving { 0 };
    u32 with_capacity { 0 };
    /// False if no engine has capacity for the most urgent kind of generation.
    bool has_capacity_for_most_urgent { true };
    /// What the placement on `engine` is expected to do to the pauses of streams; empty if that is not considered.
    std::optional<Overload::PauseEstimate> pauses {};
};

/// Decides whether one of the engines runs the generation, and which one. Skips the engines in `tried`. `memory` is the
/// memory of one engine, or 0 if it is unknown.
Admission admit(std::span<BackendPointer const> candidates, std::span<EngineId const> tried, AdmissionDemand const&,
    TokenCount memory, ChoiceInputs const&, boost::random::mt19937& random);

}
