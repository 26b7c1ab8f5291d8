/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibNode/Node.h>
#include <LibPlatform/ClaimBatch.h>
#include <vector>

namespace Router {

/// Collects the claims of a failure domain and writes them in batches, one transaction at a time, so that the number of
/// writes does not grow with the number of calls. Routers do not agree on which one does this: two at once only share
/// the work, since the platform's table decides each claim. Only for the event loop thread.
class ClaimHandler {
public:
    ClaimHandler(Node::Node&, Duration period);

    void receive(wire::ClaimRequest const&, Address const& sender);
    void receive(wire::ClaimRelease const&);

private:
    struct WaitingClaim {
        Platform::Claim claim;
        Address requester;
    };

    void flush();
    void sweep();
    void respond(std::vector<WaitingClaim> const&, std::vector<Platform::ClaimVerdict> const&);

    Node::Node& node;
    std::vector<WaitingClaim> waiting;
    std::vector<Platform::Claim> releases;
    bool is_writing { false };
    std::string swept_up_to;
};

}
