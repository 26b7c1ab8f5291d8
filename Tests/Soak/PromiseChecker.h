/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibHttp/BackendConnection.h>
#include <StandIns/PlatformRunner/PlatformRunner.h>
#include <Tests/Soak/Configuration.h>
#include <map>
#include <set>

namespace Soak {

/// A caller's request as it was sent.
struct SentRequest {
    CallKind kind { CallKind::Lookup };
    std::string host;
    /// Daemon::incarnation() of the host's process at the time of sending.
    u32 host_incarnation { 0 };
    std::string target;
    std::string body;
    Instant sent_at {};
};

/// How an exchange ended for its caller, and why. A slow caller's link accepts connections in place of its host, so
/// that it closes connections that the host would refuse.
enum class Ending : u8 {
    Complete,
    CallerDisconnected,
    /// The connection could not be established.
    RefusedHostDown,
    RefusedHostStopping,
    RefusedHostUp,
    // The connection ended with no response or an incomplete one:
    /// The host's process was killed or exited by itself.
    ClosedHostTerminated,
    /// The grace of a planned stop expired.
    ClosedGraceExpired,
    /// An engine or a fault at one may have interrupted the stream, or the route's timeout had passed.
    ClosedStreamBroken,
    /// The host was running, in a planned stop.
    ClosedHostStopping,
    /// The host was running, and a fault may have affected it.
    ClosedHostAffected,
    /// The host was running, and no fault affected it.
    ClosedHostUnaffected,
};

std::string_view to_string(Ending);

/// A response as its caller saw it.
struct ObservedResponse {
    /// 0 if no response head arrived.
    unsigned status { 0 };
    std::string body;
    bool has_stamp { false };
    /// The response arrived completely, according to its framing.
    bool is_complete { false };
    /// The caller closed the connection itself.
    bool caller_disconnected { false };
    Http::ExchangeEnd end { Http::ExchangeEnd::Complete };
    std::string end_reason;
    /// The connection had served an earlier request.
    bool is_on_persistent_connection { false };

    [[nodiscard]] bool has(Http::Status wanted) const { return this->status == static_cast<unsigned>(wanted); }
    [[nodiscard]] bool is_success() const { return this->status >= 200 && this->status < 300; }
};

/// Checks the promises that must always hold, using what callers and backend servers observe.
class PromiseChecker {
public:
    void record_sent(std::string const& attempt, SentRequest);
    /// A backend server has read a request.
    void check_arrival(
        std::string const& runner, std::string const& service, StandIns::PlatformRunner::Received const&);
    void check_response(std::string const& attempt, ObservedResponse);
    /// Counts how an exchange ended. A running host responds to every request that it forwards, despite any fault of
    /// itself, the platform or the backend server. A request whose connection it closed must therefore never reach a
    /// backend server, neither before nor after the close.
    void record_ending(std::string const& attempt, Ending, ObservedResponse const&);
    /// Called on every tick with the attempts that each engine runs. `is_exempt` is set while a fault affects the
    /// engine's link, since the engine may then not have seen the end of a connection.
    void record_running(
        std::string const& runner, std::vector<std::string> const& attempts, bool is_exempt, Instant now);
    /// Checks the response to a request on the route that `version` added. The process that responded is the one that
    /// the request was sent to.
    void check_probe_response(SentRequest const&, u64 version, ObservedResponse const&);
    /// Runs the final checks. `runs` holds the number of runs of each attempt, over all backend servers.
    void finish(std::map<std::string, u32> const& runs);

    void violation(std::string text);
    [[nodiscard]] std::vector<std::string> const& violations() const { return this->found_violations; }

    /// Number of events of a generation, a function of its attempt id.
    static u64 planned_events(std::string const& attempt);

    /// Backend servers that have read the request, by name.
    [[nodiscard]] std::set<std::string> runners_of(std::string const& attempt) const;
    /// The host that the attempt was sent to; empty if no caller sent it.
    [[nodiscard]] std::string host_of(std::string const& attempt) const;
    /// When the caller sent the attempt; the epoch of the clock if it is not known.
    [[nodiscard]] Instant sent_at(std::string const& attempt) const;
    /// Number of requests by status, for the report; status 0 means no response.
    [[nodiscard]] std::map<unsigned, u32> const& counts() const { return this->status_counts; }
    [[nodiscard]] std::map<Ending, u32> const& ending_counts() const { return this->endings; }

private:
    /// Two engines may run one generation for this long, until the first one has seen its connection end.
    static constexpr Duration tolerated_overlap = 2s;

    void check_success(std::string const& attempt, SentRequest const&, ObservedResponse const&);
    void check_stream(std::string const& attempt, ObservedResponse const&);
    void check_closed();

    std::map<std::string, SentRequest> requests;
    std::map<std::string, ObservedResponse> responses;
    std::map<unsigned, u32> status_counts;
    std::map<Ending, u32> endings;
    std::map<std::string, std::set<std::string>> runners_by_attempt;
    /// Attempts whose connection a running host closed, with a description of what their callers saw.
    std::map<std::string, std::string> closed_by_host;
    /// When each engine was first seen running an attempt, by attempt and engine.
    std::map<std::string, std::map<std::string, Instant>> first_seen_running;
    /// Versions whose route was served, by host and incarnation of its process.
    std::map<std::pair<std::string, u32>, std::set<u64>> served_probes;
    std::vector<std::string> found_violations;
};

}
