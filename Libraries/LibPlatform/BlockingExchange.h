/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibHttp/BackendConnection.h>
#include <optional>
#include <string>

namespace Platform {

/// One exchange on a connection and an event loop of its own, which run only while the thread that uses it waits. What
/// is not waited for is not read.
class BlockingExchange {
public:
    /// Connecting, and each wait for more of the response, take up to about `timeout`.
    BlockingExchange(Http::tcp::endpoint const&, Duration timeout);
    ~BlockingExchange() { this->connection->cancel(); }
    BlockingExchange(BlockingExchange const&) = delete;
    BlockingExchange& operator=(BlockingExchange const&) = delete;

    /// To be called once, before the first wait.
    void send(Http::Request);
    /// Waits until `is_done` returns true, the exchange has ended, or nothing has arrived for the timeout. Returns
    /// whether `is_done` does.
    template<typename IsDone>
    bool wait_until(IsDone is_done)
    {
        this->last_progress = AK::BootClock::now();
        while (!is_done() && !this->end && this->loop.run_one_until(this->last_progress + this->timeout) > 0) { }
        return is_done();
    }
    [[nodiscard]] bool has_ended() const { return this->end.has_value(); }
    /// How the exchange ended, with the reason; empty until then.
    [[nodiscard]] std::optional<Http::ExchangeEnd> const& how_ended() const { return this->end; }
    [[nodiscard]] std::string const& end_reason() const { return this->reason; }

    /// The head of the response, once it has been received.
    std::optional<Http::ResponseHead> head;
    /// What has been received of the body and not been taken out.
    std::string body;

private:
    Http::ExchangeObserver observer();

    Http::asio::io_context loop;
    Duration timeout;
    std::shared_ptr<Http::BackendConnection> connection;
    Instant last_progress {};
    std::optional<Http::ExchangeEnd> end;
    std::string reason;
};

}
