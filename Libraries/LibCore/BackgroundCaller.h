/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibCore/EventLoop.h>
#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace Core {

/// A thread pool for blocking calls, such as HTTP to the platform or to an engine's control address. A call runs on one
/// of the threads and its result is posted to the event loop. Calls must not access state owned by the loop.
class BackgroundCaller {
public:
    BackgroundCaller(EventLoop& loop, size_t thread_count);
    /// Waits for running calls and drops those that have not started.
    ~BackgroundCaller();

    /// Runs `call` on a background thread, then `on_result` with its return value on the loop.
    template<typename Call, typename OnResult>
    void submit(Call call, OnResult on_result)
    {
        this->enqueue([this, call = std::move(call), on_result = std::move(on_result)]() mutable {
            auto result = call();
            this->loop.post([result = std::move(result), on_result = std::move(on_result)]() mutable {
                on_result(std::move(result));
            });
        });
    }

    /// Number of calls that wait for a thread. Callers that submit periodically can skip a period while it grows.
    [[nodiscard]] size_t waiting_count();

private:
    void enqueue(std::function<void()> work);
    void serve();

    EventLoop& loop;
    std::mutex mutex;
    std::condition_variable arrived;
    std::deque<std::function<void()>> queue;
    bool stopping { false };
    std::vector<std::thread> threads;
};

}
