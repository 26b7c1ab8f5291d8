/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibNode/Node.h>
#include <unordered_map>

namespace Gateway {

/// Who the callers are, and how many repeats each organisation may still have made on its behalf. Loop thread only.
class Accounts {
public:
    explicit Accounts(Node::Node& node)
        : node(node)
    {
    }

    /// The organisation an API key belongs to. Errors: Unauthenticated.
    [[nodiscard]] Result<wire::Organisation const*> authenticate(std::string const& api_key) const;
    /// A request was taken: it earns its organisation a part of a repeat.
    void earn_retry(OrganisationId const&);
    /// Whether a repeat may be made now.
    bool spend_retry(OrganisationId const&);

private:
    struct OrganisationRow {
        double retry_allowance { 3 };
    };

    Node::Node& node;
    std::unordered_map<OrganisationId, OrganisationRow> organisations;
};

}
