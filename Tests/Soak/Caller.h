/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Timer.h>
#include <LibHttp/BackendConnection.h>
#include <Tests/Soak/Deployment.h>

namespace Soak {

/// One caller of one host. Sends a request, waits for the end of its response, waits for an interval, and repeats. It
/// mostly reuses its open connection and keeps it until the host closes it, also during a planned stop.
class Caller : public std::enable_shared_from_this<Caller> {
public:
    Caller(Http::asio::io_context&, Deployment&, PromiseChecker&, HostInstance&, std::string name, u32 seed);

    /// Schedules the first request; the event loop does the rest. The object must be held by a std::shared_ptr.
    void start() { this->schedule_next_request(); }
    /// From now on, sends each request's body later than its head.
    void send_slowly() { this->is_slow = true; }
    /// Sends no further request; a request in flight completes.
    void stop() { this->is_stopping = true; }
    [[nodiscard]] bool is_idle() const { return !this->is_waiting; }
    /// Complete successful responses so far, excluding those to probes.
    [[nodiscard]] u32 served() const { return this->served_count; }

private:
    void schedule_next_request();
    void send();
    void send_request(CallKind);
    void send_probe();
    /// Calls `on_end` once: when the response has ended, or when the caller has disconnected after `timeout`.
    void exchange(Http::Request, std::function<void(ObservedResponse)> on_end, Duration timeout);
    void cancel_after(Duration timeout, std::function<void()> on_cancelled);
    void on_exchange_end(std::string const& attempt, SentRequest const&, ObservedResponse);
    void record_result(std::string const& attempt, SentRequest const&, ObservedResponse);
    [[nodiscard]] Ending ending_of(std::string const& attempt, SentRequest const&, ObservedResponse const&) const;
    [[nodiscard]] Ending refusal(SentRequest const&) const;
    [[nodiscard]] bool is_host_terminated(SentRequest const&) const;
    void connect();
    void check_probe(u64 version, SentRequest const&, ObservedResponse const&);
    void check_promptness(std::string const& attempt, SentRequest const&, ObservedResponse const&);
    void check_planned_stop(std::string const& attempt, SentRequest const&, ObservedResponse const&);
    /// Registers a request with the checker before it is sent.
    [[nodiscard]] SentRequest register_request(CallKind, std::string const& attempt, std::string target);
    [[nodiscard]] double draw();
    /// Mostly short. The other intervals end at about the host's idle timeout.
    [[nodiscard]] Duration draw_interval();

    Http::asio::io_context& loop;
    Deployment& deployment;
    PromiseChecker& checker;
    HostInstance& host;
    std::string name;
    boost::random::mt19937 random;
    AK::Timer timer;
    AK::Timer response_timer;
    std::shared_ptr<Http::BackendConnection> connection;
    u64 sent_count { 0 };
    u32 served_count { 0 };
    bool is_waiting { false };
    bool is_stopping { false };
    bool is_slow { false };
};

}
