/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibServing/BackendChooser.h>

/// Admission control: which generations the engines of a service take, and which are refused while there is no room.
/// It looks at nothing but its arguments.
namespace Serving {

/// What one generation asks of the engines of its service.
struct AdmissionDemand {
    GenerationNeed need;
    /// Until its first event is due, by its route's goal.
    Duration first_event_due_in { 0 };
};

enum class AdmissionVerdict : u8 {
    Admit,
    /// No engine has room. Sent all the same it would wait in an engine's queue until it is late, and hold up those
    /// behind it.
    NoCapacity,
    /// No engine may be given work at all.
    NoEngine,
    /// Larger than the memory of an empty engine.
    TooLarge,
    /// All engines that would take work have asked this host to send them nothing for a time.
    BackingOff,
};

std::string_view to_string(AdmissionVerdict);

/// A decision with its grounds.
struct Admission {
    AdmissionVerdict verdict { AdmissionVerdict::NoEngine };
    /// Of Admit only.
    BackendPointer engine;
    /// When a caller that gets NoCapacity, NoEngine or BackingOff should come back; drawn, so that those refused
    /// together do not return together.
    Duration retry_after { 0 };
    /// Engines that may be given work, and those of them that had room.
    u32 serving { 0 };
    u32 with_capacity { 0 };
};

/// Whether one of the engines takes the generation, and which one. Passes over those in `tried`. `memory`: of one
/// engine; 0 where it is not known.
Admission admit(std::span<BackendPointer const> candidates, std::span<EngineId const> tried, AdmissionDemand const&,
    TokenCount memory, ChoiceInputs const&, boost::random::mt19937& random);

}
