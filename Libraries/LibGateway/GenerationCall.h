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

/// The messages exchanged between the event loop and the connection threads, which share no other state.
namespace Gateway {

/// The loop admitted the generation, to be started on this engine.
struct Admitted {
    EnginePlacement placement;
    EngineStart start;
    OrganisationId organisation;
    RouteName route;
    /// Signs the resume token. Without a key no resume token is offered.
    std::optional<Delivery::SigningKey> signing_key;
};

/// The final decision: no (further) attempt is made.
struct Refused {
    Error error;
};

using Decision = std::variant<Admitted, Refused>;

/// One generation request, as its connection thread sees it.
struct GenerationCall {
    GenerationId generation;
    GenerationRequest request;
    Core::Mailbox<Decision> decisions;
    /// Number of tokens delivered so far, which is reported to a new owner of the pool.
    std::atomic<u32> delivered { 0 };
};

/// The attempt of a generation that a connection thread relays, and its engine.
struct EngineSource {
    GenerationId generation;
    Address address;
    AttemptNumber attempt;
    /// Sequence number of the stream among those attached to the generation.
    u64 attachment { 0 };
};

/// The loop's decision on a request to resume.
using ResumeDecision = std::variant<Delivery::ResumeToken, Refused>;

struct ResumeCall {
    std::string api_key;
    std::string token;
    GenerationId generation;
    u64 next_offset { 0 };
    Core::Mailbox<ResumeDecision> decisions;
};

/// The loop's decision to send a plain-service call to this backend server.
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
    /// Includes the leading slash and the query.
    std::string path;
    std::string method;
    std::string body;
    std::string content_type;
    std::string idempotency_key;
    Duration deadline { 10s };
    Core::Mailbox<ServiceDecision> decisions;
};

}
