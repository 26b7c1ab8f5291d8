/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibDelivery/ResumeToken.h>
#include <LibGateway/Accounts.h>
#include <algorithm>

namespace Gateway {

static constexpr double retry_earned_per_request = 0.1;
static constexpr double max_retry_allowance = 10;

Result<wire::Organisation const*> Accounts::authenticate(std::string const& api_key) const
{
    auto const* organisation
        = this->node.configuration().find_organisation_by_key_hash(Delivery::sha256_hexadecimal(api_key));
    if (organisation)
        return organisation;
    return Error { ErrorKind::Unauthenticated, "this API key is not known; check it, or ask your operator for one",
        {} };
}

bool Accounts::spend_retry(OrganisationId const& id)
{
    auto& organisation = this->organisations[id];
    if (organisation.retry_allowance < 1)
        return false;
    organisation.retry_allowance -= 1;
    return true;
}

void Accounts::earn_retry(OrganisationId const& id)
{
    auto& allowance = this->organisations[id].retry_allowance;
    allowance = std::min(allowance + retry_earned_per_request, max_retry_allowance);
}

}
