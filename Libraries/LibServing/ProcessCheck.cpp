/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <AK/Error.h>
#include <AK/Timer.h>
#include <LibServing/ProcessCheck.h>

namespace Serving {

std::string_view to_string(ProcessState state)
{
    switch (state) {
    case ProcessState::Terminated:
        return "ended";
    case ProcessState::Listening:
        return "listens";
    case ProcessState::Unknown:
        return "unknown";
    }
    VERIFY(false);
}

void ProcessCheck::query(Backend const& backend, OnState on_state)
{
    auto& callbacks = this->waiting[backend.endpoint];
    callbacks.push_back(std::move(on_state));
    if (callbacks.size() == 1)
        this->connect(backend.endpoint);
}

void ProcessCheck::connect(Http::tcp::endpoint const& endpoint)
{
    struct Attempt {
        Http::tcp::socket socket;
        AK::Timer timer;
    };
    auto attempt = std::make_shared<Attempt>(Attempt { Http::tcp::socket(this->loop), AK::Timer(this->loop, timeout) });
    attempt->timer.async_wait([attempt](boost::system::error_code error) {
        if (!error)
            attempt->socket.close();
    });
    auto on_connected = [this, attempt, endpoint](boost::system::error_code error) {
        attempt->timer.cancel();
        if (!error)
            return this->complete(endpoint, ProcessState::Listening);
        bool const is_refused = error == boost::asio::error::connection_refused;
        this->complete(endpoint, is_refused ? ProcessState::Terminated : ProcessState::Unknown);
    };
    attempt->socket.async_connect(endpoint, this->guard.wrap(std::move(on_connected)));
}

void ProcessCheck::complete(Http::tcp::endpoint const& endpoint, ProcessState state)
{
    auto callbacks = this->waiting.extract(endpoint);
    for (auto const& callback : callbacks.mapped())
        callback(state);
}

}
