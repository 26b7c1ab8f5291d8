/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibDelivery/Outcome.h>
#include <LibGateway/Accounts.h>
#include <LibGateway/GenerationCall.h>
#include <LibNode/Node.h>
#include <atomic>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>

namespace Gateway {

/// Handles the gateway's plain-service calls: claims their idempotency keys and chooses their backend servers. Runs on
/// the node's event loop; the post_* functions may be called on any thread.
class ServiceCallHandler {
public:
    /// `open_calls` is the number of requests of the entire gateway without a final response.
    ServiceCallHandler(Node::Node&, Accounts&, std::atomic<size_t>& open_calls);

    void post_call(std::shared_ptr<ServiceCall>);
    /// Retries a call that is known not to have run, or that is repeatable.
    void post_retry(std::shared_ptr<ServiceCall>, EngineId failed_server);
    void post_ended(std::shared_ptr<ServiceCall>, Delivery::Outcome, std::string const& text);

    void receive(wire::ClaimReply const&);
    /// Resends claim requests without a reply, and refuses calls that have passed their deadline.
    void tick();

private:
    struct ServiceRow {
        std::shared_ptr<ServiceCall> call;
        OrganisationId organisation;
        bool is_repeatable { false };
        /// Empty for a call without an idempotency key.
        std::string nonce;
        bool waits_for_claim { false };
        Instant deadline;
        Instant requested_at;
        std::set<EngineId> failed_servers;
        EngineId server;
    };

    void begin(std::shared_ptr<ServiceCall>);
    void request_claim(ServiceRow&);
    void dispatch(ServiceRow&);
    void refuse(ServiceRow const&, Error);
    [[nodiscard]] Platform::BackendServerRecord const* choose_server(ServiceRow const&);
    void release_claim(ServiceRow const&);

    Node::Node& node;
    Accounts& accounts;
    std::atomic<size_t>& open_calls;
    std::unordered_map<std::string, ServiceRow> calls;
    std::map<EngineId, u32> calls_at_server;
};

}
