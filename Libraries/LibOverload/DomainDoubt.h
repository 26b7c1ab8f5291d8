/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Identifiers.h>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace Overload {

/// The backend servers of one service in one failure domain. They share power and links, so they may fail together.
struct ServerGroup {
    FailureDomainId domain;
    ServiceName service;

    auto operator<=>(ServerGroup const&) const = default;
};

/// What a host or a failure domain reports about a group.
struct DoubtReport {
    ServerGroup group;
    /// Time since the last failed connection that indicated the doubt, or since the response that voids it.
    Duration age { 0 };
    /// A server of the group has responded, which voids all doubt from before that.
    bool is_cleared { false };
};

/// Whose report it is.
enum class DoubtReporter : u8 {
    /// Another host of this host's failure domain.
    LocalHost,
    /// A failure domain, in which several hosts agree.
    Domain,
};

/// Which groups of backend servers seem to have failed as a whole. Without it, each host would have to find out at each
/// single server. A group becomes doubtful when connections to several of its servers fail within a moment. It is
/// cleared when one of its servers responds, and when the evidence is outdated.
///
/// A host acts on its own evidence alone. It acts on reports only if two hosts of its domain agree, or two other
/// domains, or if a domain reports its own servers: the link of a single host or between two domains may be broken, and
/// the servers may still be reachable from everywhere else.
class DomainDoubt {
public:
    /// How long a doubt lasts after its last evidence. A single server is avoided for as long at most.
    static constexpr Duration lifetime = 2s;
    /// Number of servers of a group with `servers` servers to which connections must fail within a moment. A request
    /// that tries one server after the other can gather that much and still has tries left.
    [[nodiscard]] static size_t min_failed_servers(size_t servers);

    /// Records a failed connection to a server of the group, which has `servers` servers that accept work. Returns
    /// whether this host's own doubt begins.
    bool record_failure(ServerGroup const&, EngineId const&, size_t servers, Instant now);
    /// Records that a server of the group has responded. Returns whether a doubt ends by it.
    bool record_response(ServerGroup const&, Instant now);
    /// Records a report. Reports that are too old, or older than a response, have no effect. Returns whether it changes
    /// what the hosts of this domain agree on.
    bool record_report(MemberId const& reporter, DoubtReporter, DoubtReport const&, Instant now);

    /// Whether nothing is known of any group, as usual.
    [[nodiscard]] bool is_empty() const { return this->groups.empty(); }
    [[nodiscard]] bool is_doubtful(ServerGroup const&, Instant now) const;

    /// A domain whose servers of a service are doubtful, except those that have become available after `since`.
    struct DoubtfulDomain {
        FailureDomainId domain;
        Instant since {};
    };
    [[nodiscard]] std::vector<DoubtfulDomain> doubtful_domains(ServiceName const&, Instant now) const;
    [[nodiscard]] std::vector<ServerGroup> doubtful_groups(Instant now) const;

    /// The doubts that rest on this host's own evidence, and the recent responses to this host that ended one.
    [[nodiscard]] std::vector<DoubtReport> own_reports(Instant now) const;
    /// The doubts on which several hosts of this domain agree, and the recent responses that ended one.
    [[nodiscard]] std::vector<DoubtReport> domain_reports(Instant now) const;

    enum class Ending : u8 {
        None,
        /// A server responded to this host.
        Response,
        /// Another host reported a response.
        Report,
        /// The evidence is outdated.
        Lapsed,
    };
    /// A doubt that has begun, or ended if `ending` is set, with its evidence.
    struct Change {
        ServerGroup group;
        Ending ending { Ending::None };
        size_t failed_servers { 0 };
        size_t reporters { 0 };
        Duration lasted { 0 };
    };
    /// The changes since the last call. Also drops what is outdated. To be called periodically.
    [[nodiscard]] std::vector<Change> take_changes(Instant now);

private:
    /// Failed connections that are further apart say little about each other. Within it, a request can run into several
    /// connection timeouts.
    static constexpr Duration moment = 2s;
    /// More reporters of one group would not change a decision.
    static constexpr size_t max_reporters = 16;
    static constexpr int sufficient_weight = 2;

    struct Report {
        Instant evidence_at {};
        DoubtReporter reporter { DoubtReporter::LocalHost };
        /// A domain's report about its own servers.
        bool is_about_itself { false };
    };
    struct Group {
        std::map<EngineId, Instant> failures;
        /// The last failed connection while this host's own evidence sufficed.
        std::optional<Instant> own_evidence_at;
        std::map<MemberId, Report> reports;
        /// Reports of evidence up to this time are void.
        std::optional<Instant> voided_until;
        /// The last response to this host, or to another host of this domain, that ended a doubt.
        std::optional<Instant> own_clearance_at;
        std::optional<Instant> local_clearance_at;
        /// Set while the group is doubtful.
        std::optional<Instant> since;
        Ending last_ending { Ending::Lapsed };
        bool is_logged_as_doubtful { false };
        size_t logged_failed_servers { 0 };
        size_t logged_reporters { 0 };
        Instant logged_since {};
    };
    [[nodiscard]] static bool is_recent(std::optional<Instant> const& at, Instant now)
    {
        return at && now - *at < lifetime;
    }
    [[nodiscard]] static bool is_doubtful(Group const&, Instant now);
    [[nodiscard]] static size_t agreeing_local_hosts(Group const&, Instant now);
    [[nodiscard]] static Instant last_local_evidence(Group const&);
    static void update_since(Group&, Instant now);
    static void expire(Group&, Instant now);
    static bool is_idle(Group const&, Instant now);
    static bool apply_clearance(Group&, DoubtReporter, Instant responded_at, Instant now);

    std::map<ServerGroup, Group> groups;
};

std::string_view to_string(DomainDoubt::Ending);

}
