/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Types.h>
#include <atomic>
#include <functional>
#include <mutex>
#include <queue>
#include <vector>
#include <zmq.hpp>

namespace Core {

/// The event loop of a process. All tables are accessed on its thread only; other threads pass closures to it through
/// post().
class EventLoop {
public:
    using Callback = std::function<void()>;

    EventLoop();
    ~EventLoop();
    EventLoop(EventLoop const&) = delete;
    EventLoop& operator=(EventLoop const&) = delete;

    /// Queues `callback` to run on the loop's thread. May be called from any thread; callbacks posted by one thread run
    /// in the order of their posting.
    void post(Callback callback);
    /// Runs `callback` once per `period`. Loop thread, or before run().
    void every(Duration period, Callback callback);
    /// Runs `callback` once after `delay`. Loop thread, or before run().
    void after(Duration delay, Callback callback);
    /// Calls `on_readable` while `socket` has messages. Loop thread, or before run().
    void watch(zmq::socket_ref socket, Callback on_readable);

    /// Runs the loop until stop().
    void run();
    /// Makes run() return after the current iteration of the loop. May be called from any thread.
    void stop();

private:
    struct Timer {
        Instant due;
        u64 sequence;
        Duration period;
        Callback callback;
        bool operator>(Timer const& other) const
        {
            return std::pair(this->due, this->sequence) > std::pair(other.due, other.sequence);
        }
    };
    struct Watch {
        zmq::socket_ref socket;
        Callback on_readable;
    };

    void add_timer(Instant due, Duration period, Callback callback);
    void run_due_timers();
    void run_posted();
    void wait_for_work();
    [[nodiscard]] Duration time_until_next_timer() const;

    int wake_descriptor;
    std::atomic<bool> stopping { false };
    std::mutex posted_mutex;
    std::vector<Callback> posted;
    std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers;
    u64 next_sequence { 0 };
    std::vector<Watch> watches;
};

}
