/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibHttp/CallerConnection.h>
#include <LibHttp/Exchange.h>

namespace Http {

Exchange::Exchange(std::shared_ptr<CallerConnection> connection, Request request, LongFields long_fields,
    Overload::RequestCharge charge, Instant received, RequestOrigin origin)
    : connection(std::move(connection))
    , received_request(std::move(request))
    , received_long_fields(std::move(long_fields))
    , charge(std::move(charge))
    , received(received)
    , sent_by(origin)
{
}

std::shared_ptr<CallerConnection> Exchange::release_connection()
{
    this->caller_disconnected = nullptr;
    this->on_read = nullptr;
    return std::exchange(this->connection, nullptr);
}

void Exchange::respond(Response response)
{
    if (!this->connection)
        return;
    this->release_connection()->send_response(std::move(response));
}

void Exchange::begin_stream(ResponseHead const& head)
{
    if (!this->connection)
        return;
    this->streaming = true;
    this->connection->send_stream_head(head);
}

void Exchange::send_chunk(std::string_view piece)
{
    // In chunked encoding, an empty chunk marks the end of the body.
    if (this->connection && !piece.empty())
        this->connection->send_chunk(piece);
}

bool Exchange::must_pause() const { return this->connection && this->connection->must_pause(); }

void Exchange::wait_until_read(std::function<void()> observer)
{
    if (!this->connection)
        return;
    this->on_read = std::move(observer);
    this->connection->is_paused = true;
}

void Exchange::caller_has_read()
{
    if (auto observer = std::exchange(this->on_read, nullptr))
        observer();
}

void Exchange::end_stream()
{
    if (this->connection)
        this->release_connection()->send_last_chunk();
}

void Exchange::abort()
{
    if (this->connection)
        this->release_connection()->close(CloseReason::Aborted);
}

void Exchange::connection_lost()
{
    if (!this->connection)
        return;
    auto observer = std::move(this->caller_disconnected);
    this->release_connection();
    if (observer)
        observer();
}

}
