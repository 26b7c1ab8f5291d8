/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibNode/Node.h>
#include <unordered_map>

namespace Gateway {

/// Authenticates callers and keeps the retry budget of each organisation. Only used on the event loop's thread.
class Accounts {
public:
    explicit Accounts(Node::Node& node)
        : node(node)
    {
    }

    /// Returns the organisation that an API key belongs to. Errors: Unauthenticated.
    [[nodiscard]] Result<wire::Organisation const*> authenticate(std::string const& api_key) const;
    /// Adds a fraction of a retry to the organisation's budget. Called for each accepted request.
    void earn_retry(OrganisationId const&);
    /// Takes one retry from the organisation's budget. Returns false if the budget does not allow a retry now.
    bool spend_retry(OrganisationId const&);

private:
    struct OrganisationRow {
        double retry_allowance { 3 };
    };

    Node::Node& node;
    std::unordered_map<OrganisationId, OrganisationRow> organisations;
};

}
