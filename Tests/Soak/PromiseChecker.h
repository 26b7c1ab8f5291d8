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
    /// The life of the host's process, as of Daemon::life(), at the time of sending.
    u32 host_incarnation { 0 };
    std::string target;
    std::string body;
    Instant sent_at {};
};

/// How an exchange ended for its caller, and why. A slow caller's link takes connections for its host, so that what
/// would be refused is closed there.
enum class Ending : u8 {
    Complete,
    CallerDisconnected,
    /// The connection could not be made.
    RefusedHostDown,
    RefusedHostStopping,
    RefusedHostUp,
    /// The connection ended with no answer or a cut one: on a process that was killed or has ended by itself,
    ClosedHostTerminated,
    /// at the end of a planned stop's grace,
    ClosedGraceExpired,
    /// after what an engine did, or what was done to it, in the middle of a stream, or after the route's time,
    ClosedStreamBroken,
    /// on a living host during a planned stop, after a fault that may be felt, and otherwise.
    ClosedHostStopping,
    ClosedHostAffected,
    ClosedHostUnaffected,
};

std::string_view to_string(Ending);

/// What its caller saw of the answer.
struct ObservedResponse {
    /// 0: no answer head came.
    unsigned status { 0 };
    std::string body;
    bool has_stamp { false };
    /// The whole answer came, as its framing says.
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

/// Checks what must always hold, from what callers and backend servers see.
class PromiseChecker {
public:
    void record_sent(std::string const& attempt, SentRequest);
    /// A backend server has read a request.
    void check_arrival(std::string const& runner, std::string const& service, StandIn::PlatformRunner::Received const&);
    void check_response(std::string const& attempt, ObservedResponse);
    /// Counts how an exchange ended. A living host answers what it passes on, whatever befell it, the platform or the
    /// backend server: a request whose connection it closed must never reach a backend server, before or after.
    void record_ending(std::string const& attempt, Ending, ObservedResponse const&);
    /// Called all the time with the attempts that each engine works on. `is_excused` when its link is harmed, so that
    /// the end of its work may not have reached it.
    void record_running(
        std::string const& runner, std::vector<std::string> const& attempts, bool is_excused, Instant now);
    /// The answer to a request on the route that `version` added, by the same process that it was sent to.
    void check_probe_response(SentRequest const&, u64 version, ObservedResponse const&);
    /// At the end, with the runs that each backend server counted.
    void finish(std::map<std::string, u32> const& runs);

    void violation(std::string text);
    [[nodiscard]] std::vector<std::string> const& violations() const { return this->found; }

    /// How many events a generation has: the same for the same attempt.
    static u64 planned_events(std::string const& attempt);

    /// Backend servers that have read the request, by name.
    [[nodiscard]] std::set<std::string> runners_of(std::string const& attempt) const;
    /// The host that an attempt was sent to; empty for one that no caller sent.
    [[nodiscard]] std::string host_of(std::string const& attempt) const;
    /// When its caller sent it; the beginning of time for one that is not known.
    [[nodiscard]] Instant sent_at(std::string const& attempt) const;
    /// Requests by status, for the report; 0 where no answer came.
    [[nodiscard]] std::map<unsigned, u32> const& counts() const { return this->status_counts; }
    [[nodiscard]] std::map<Ending, u32> const& ending_counts() const { return this->endings; }

private:
    /// Two engines may be at work on one generation for this long, until the first one has seen its connection end.
    static constexpr Duration tolerated_overlap = 2s;

    void check_success(std::string const& attempt, SentRequest const&, ObservedResponse const&);
    void check_stream(std::string const& attempt, ObservedResponse const&);
    void check_closed();

    std::map<std::string, SentRequest> requests;
    std::map<std::string, ObservedResponse> answers;
    std::map<unsigned, u32> status_counts;
    std::map<Ending, u32> endings;
    std::map<std::string, std::set<std::string>> runners_by_attempt;
    /// Attempts whose connection a living host closed, with what their callers saw.
    std::map<std::string, std::string> closed_by_host;
    /// By attempt and by engine.
    std::map<std::string, std::map<std::string, Instant>> running_since;
    /// Versions whose route was served, by host and life of its process.
    std::map<std::pair<std::string, u32>, std::set<u64>> served_probes;
    std::vector<std::string> found;
};

}
