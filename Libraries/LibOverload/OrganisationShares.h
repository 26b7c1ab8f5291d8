/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibOverload/Shortage.h>
#include <vector>

namespace Overload {

/// A number of tokens that decays over time, so that those of long ago no longer count.
class DecayingTokens {
public:
    /// Longer than a burst of short generations and the gap to the next one.
    static constexpr Duration time_constant = 10s;

    void add(double tokens, Instant at);
    [[nodiscard]] double at(Instant now) const;

private:
    double tokens { 0 };
    Instant updated_at {};
};

/// What one organisation has had of the engines of a service, for messages.
struct OrganisationTokens {
    OrganisationId organisation;
    double tokens { 0 };
    Duration age { 0 };
};

/// The fair shares of the organisations that request generations of one service. Shares are max-min fair in tokens:
/// those that request little get it, and the others get equal parts of the rest.
class OrganisationShares {
public:
    /// Bounds the memory. Organisations beyond it are served without regard to shares.
    static constexpr size_t max_organisations = 1024;
    /// The organisations with the largest use, which are the ones that may exceed their share, are reported.
    static constexpr size_t max_reported = 48;

    /// Records that this host has placed a generation.
    void record_placed(OrganisationId const&, TokenCount, Instant now);
    /// Records that a generation was refused or has to wait at this host.
    void record_lacking(OrganisationId const&, TokenCount, Instant now);
    /// Applies the report of another host of this failure domain, or of another domain as a whole; it replaces the
    /// former report of that reporter.
    void apply(MemberId const& reporter, SignScope, std::vector<OrganisationTokens> const&, Instant now);
    [[nodiscard]] std::vector<OrganisationTokens> report(SignScope, Instant now) const;

    /// What the organisation has had, as a multiple of its fair share; 0 if it has had nothing.
    [[nodiscard]] double use_of_share(OrganisationId const&, Instant now);
    /// Whether generations of this organisation have to leave capacity for those of others: it is above its share, and
    /// another one that is below its share has lacked capacity lately.
    [[nodiscard]] bool must_yield(OrganisationId const&, Instant now);

private:
    /// An organisation counts as below its share beyond this difference; generations are few and large.
    static constexpr double tolerance = 0.1;
    static constexpr Duration share_period = 100ms;
    /// An organisation below its share counts as lacking capacity for this long after a refusal, within which callers
    /// come back.
    static constexpr Duration lacking_time = 1s;
    static constexpr size_t max_reporters = 512;

    struct Own {
        DecayingTokens placed;
        DecayingTokens lacking;
        Instant lacking_at {};
    };
    struct Reporter {
        SignScope scope { SignScope::Host };
        std::map<OrganisationId, double> tokens;
        Instant at {};
    };
    [[nodiscard]] std::map<OrganisationId, double> use_of_all(Instant now, bool with_remote) const;
    [[nodiscard]] Own* own_of(OrganisationId const&);
    void update_share(Instant now);

    std::map<OrganisationId, Own> own;
    std::map<MemberId, Reporter> reporters;
    Instant share_at {};
    std::map<OrganisationId, double> use;
    /// The most that an organisation can have while all others get their shares.
    double share { 0 };
    /// An organisation below its share that lacks capacity.
    std::vector<OrganisationId> lacking_below_share;
};

}
