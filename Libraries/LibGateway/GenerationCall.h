/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibCore/Mailbox.h>
#include <LibDelivery/ResumeToken.h>
#include <LibGateway/CallerProtocol.h>
#include <LibGateway/EngineStream.h>
#include <atomic>
#include <memory>
#include <variant>

/// What the loop and the edge threads share: typed messages, and nothing else.
namespace Gateway {

/// The loop admitted the generation: start it on this engine.
struct Admitted {
    EnginePlacement placement;
    EngineStart start;
    OrganisationId organisation;
    RouteName route;
    /// Signs the resume token; no resume is offered without one.
    std::optional<Delivery::SigningKey> signing_key;
};

/// The final answer: it was not run.
struct Refused {
    Error error;
};

using Decision = std::variant<Admitted, Refused>;

/// One generation request, from its edge thread's side.
struct GenerationCall {
    GenerationId generation;
    GenerationRequest request;
    Core::Mailbox<Decision> decisions;
    /// Tokens delivered so far, for telling a new owner of the pool.
    std::atomic<u32> delivered { 0 };
};

/// Where a generation comes from, as far as one edge thread is concerned.
struct EngineSource {
    GenerationId generation;
    Address address;
    AttemptNumber attempt;
    /// Which of the streams attached to the generation this is.
    u64 attachment { 0 };
};

/// The loop's word on a request to resume.
using ResumeDecision = std::variant<Delivery::ResumeToken, Refused>;

struct ResumeCall {
    std::string api_key;
    std::string token;
    GenerationId generation;
    u64 next_offset { 0 };
    Core::Mailbox<ResumeDecision> decisions;
};

/// The loop's word on a plain-service call: where to send it.
struct ServiceAdmitted {
    EngineId backend_server;
    Address address;
    OrganisationId organisation;
    bool is_repeatable { false };
};

using ServiceDecision = std::variant<ServiceAdmitted, Refused>;

struct ServiceCall {
    std::string id;
    std::string api_key;
    ServiceName service;
    /// With its leading slash and query.
    std::string path;
    std::string method;
    std::string body;
    std::string content_type;
    std::string idempotency_key;
    Duration deadline { 10s };
    Core::Mailbox<ServiceDecision> decisions;
};

}
