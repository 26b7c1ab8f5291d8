/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Types.h>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>

namespace Core {

/// A blocking queue of messages from the event loop to one connection thread.
template<typename Message>
class Mailbox {
public:
    void put(Message message)
    {
        {
            std::lock_guard lock(this->mutex);
            this->messages.push_back(std::move(message));
        }
        this->arrived.notify_one();
    }

    /// Waits for the next message. Returns nothing if none arrives within `timeout`.
    std::optional<Message> take(Duration timeout)
    {
        std::unique_lock lock(this->mutex);
        if (!this->arrived.wait_for(lock, timeout, [this] { return !this->messages.empty(); }))
            return std::nullopt;
        auto message = std::move(this->messages.front());
        this->messages.pop_front();
        return message;
    }

private:
    std::mutex mutex;
    std::condition_variable arrived;
    std::deque<Message> messages;
};

}
