/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibPlatform/BlockingExchange.h>

namespace Platform {

BlockingExchange::BlockingExchange(Http::tcp::endpoint const& endpoint, Duration timeout)
    : timeout(timeout)
    , connection(std::make_shared<Http::BackendConnection>(this->loop, endpoint))
{
}

void BlockingExchange::send(Http::Request request)
{
    this->connection->exchange(std::move(request), this->observer(), this->timeout, this->timeout);
}

Http::ExchangeObserver BlockingExchange::observer()
{
    return { [this](Http::ResponseHead const& received) {
                this->last_progress = AK::BootClock::now();
                this->head = received;
                return Http::HeadAction::Accept;
            },
        [this](std::string_view piece) {
            this->last_progress = AK::BootClock::now();
            this->body += piece;
        },
        [this](Http::ExchangeEnd how, std::string const& why) {
            this->end = how;
            this->reason = why;
        } };
}

}
