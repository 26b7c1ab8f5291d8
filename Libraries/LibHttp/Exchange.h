/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibHttp/Types.h>
#include <functional>
#include <memory>

namespace Http {

class CallerConnection;

/// One request of a caller and the answer it gets. Calls after the answer is complete, or after the caller has left,
/// do nothing.
class Exchange {
public:
    Exchange(std::shared_ptr<CallerConnection> connection, Request request, Instant received);

    [[nodiscard]] Request const& request() const { return this->taken; }
    [[nodiscard]] Instant received_at() const { return this->received; }
    /// Whether the caller still waits for (the rest of) an answer.
    [[nodiscard]] bool is_open() const { return this->connection != nullptr; }
    [[nodiscard]] bool is_streaming() const { return this->streaming; }

    /// Called once if the caller leaves before its answer is complete.
    void on_caller_disconnected(std::function<void()> observer) { this->caller_disconnected = std::move(observer); }

    /// Sends a whole answer.
    void respond(Response);
    /// Starts an answer whose body comes in pieces of unknown number.
    void begin_stream(ResponseHead const&);
    void send_chunk(std::string_view);
    /// Ends the stream so that the answer is complete.
    void end_stream();
    /// Closes the connection, so that the answer cannot look complete.
    void abort();

private:
    friend class CallerConnection;
    void connection_lost();
    std::shared_ptr<CallerConnection> release_connection();

    std::shared_ptr<CallerConnection> connection;
    Request taken;
    Instant received;
    bool streaming { false };
    std::function<void()> caller_disconnected;
};

}
