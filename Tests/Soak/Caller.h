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

/// One caller of one host: sends a request, waits for its end, rests, and goes on, mostly on the connection that it has
/// open. It keeps that one for as long as the host lets it, also through a planned stop.
class Caller : public std::enable_shared_from_this<Caller> {
public:
    Caller(Http::asio::io_context&, Deployment&, PromiseChecker&, HostInstance&, std::string name, u32 seed);

    /// Begins with a rest; the loop goes on from there. The object must be held by a std::shared_ptr.
    void start() { this->schedule_next_request(); }
    /// Sends bodies later than heads from now on.
    void send_slowly() { this->is_slow = true; }
    /// Sends no more; what is under way goes on to its end.
    void stop() { this->is_stopping = true; }
    [[nodiscard]] bool is_idle() const { return !this->is_waiting; }
    /// Whole answers with success so far, those to probes not counted.
    [[nodiscard]] u32 served() const { return this->served_count; }

private:
    void schedule_next_request();
    void send();
    void send_request(CallKind);
    void send_probe();
    /// `on_end` is called once: when the answer has ended, or the caller has left after `patience`.
    void exchange(Http::Request, std::function<void(ObservedResponse)> on_end, Duration patience);
    void cancel_after(Duration patience, std::function<void()> on_left);
    void on_exchange_end(std::string const& attempt, SentRequest const&, ObservedResponse);
    void record_result(std::string const& attempt, SentRequest const&, ObservedResponse);
    [[nodiscard]] Ending ending_of(std::string const& attempt, SentRequest const&, ObservedResponse const&) const;
    [[nodiscard]] Ending refusal(SentRequest const&) const;
    [[nodiscard]] bool is_host_terminated(SentRequest const&) const;
    void connect();
    void check_probe(u64 version, SentRequest const&, ObservedResponse const&);
    void check_promptness(std::string const& attempt, SentRequest const&, ObservedResponse const&);
    void check_planned_stop(std::string const& attempt, SentRequest const&, ObservedResponse const&);
    /// Makes a request known to the checker, as it is sent next.
    [[nodiscard]] SentRequest register_request(CallKind, std::string const& attempt, std::string target);
    [[nodiscard]] double draw();
    /// Mostly short; the others end about when the host's patience with an idle connection does.
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
