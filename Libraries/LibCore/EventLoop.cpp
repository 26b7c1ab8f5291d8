/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <AK/Error.h>
#include <LibCore/EventLoop.h>
#include <algorithm>
#include <sys/eventfd.h>
#include <unistd.h>

namespace Core {

static constexpr Duration max_wait = 1s;

EventLoop::EventLoop()
    : wake_descriptor(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
    VERIFY(this->wake_descriptor >= 0);
}

EventLoop::~EventLoop() { close(this->wake_descriptor); }

void EventLoop::post(Callback callback)
{
    {
        std::lock_guard lock(this->posted_mutex);
        this->posted.push_back(std::move(callback));
    }
    u64 one = 1;
    // The write fails only when the counter is full, and then the loop is already due to run.
    [[maybe_unused]] auto written = write(this->wake_descriptor, &one, sizeof(one));
}

void EventLoop::add_timer(Instant due, Duration period, Callback callback)
{
    this->timers.push({ due, this->next_sequence++, period, std::move(callback) });
}

void EventLoop::every(Duration period, Callback callback)
{
    VERIFY(period > 0s);
    this->add_timer(AK::BootClock::now() + period, period, std::move(callback));
}

void EventLoop::after(Duration delay, Callback callback)
{
    this->add_timer(AK::BootClock::now() + delay, 0s, std::move(callback));
}

void EventLoop::watch(zmq::socket_ref socket, Callback on_readable)
{
    this->watches.push_back({ socket, std::move(on_readable) });
}

void EventLoop::stop()
{
    this->stopping = true;
    this->post([] {});
}

void EventLoop::run()
{
    while (!this->stopping) {
        this->run_due_timers();
        this->run_posted();
        if (!this->stopping)
            this->wait_for_work();
    }
}

void EventLoop::run_due_timers()
{
    auto now = AK::BootClock::now();
    while (!this->timers.empty() && this->timers.top().due <= now && !this->stopping) {
        auto timer = this->timers.top();
        this->timers.pop();
        timer.callback();
        // After a stall, the missed periods are skipped instead of being run in a burst.
        if (timer.period > 0s)
            this->add_timer(std::max(timer.due + timer.period, now), timer.period, std::move(timer.callback));
    }
}

void EventLoop::run_posted()
{
    std::vector<Callback> batch;
    {
        std::lock_guard lock(this->posted_mutex);
        batch.swap(this->posted);
    }
    for (auto& callback : batch)
        callback();
}

Duration EventLoop::time_until_next_timer() const
{
    if (this->timers.empty())
        return max_wait;
    auto left = this->timers.top().due - AK::BootClock::now();
    return std::clamp<Duration>(left, 0s, max_wait);
}

void EventLoop::wait_for_work()
{
    std::vector<zmq::pollitem_t> items;
    items.push_back(zmq::pollitem_t { nullptr, this->wake_descriptor, ZMQ_POLLIN, 0 });
    for (auto& watch : this->watches)
        items.push_back(zmq::pollitem_t { watch.socket.handle(), 0, ZMQ_POLLIN, 0 });
    // Rounded up, so that the loop does not spin while a timer is due in less than a millisecond.
    auto wait = std::chrono::ceil<std::chrono::milliseconds>(this->time_until_next_timer());
    zmq::poll(items, wait);
    if (items[0].revents & ZMQ_POLLIN) {
        u64 count = 0;
        [[maybe_unused]] auto bytes = read(this->wake_descriptor, &count, sizeof(count));
    }
    for (size_t i = 1; i < items.size(); ++i) {
        if (items[i].revents & ZMQ_POLLIN)
            this->watches[i - 1].on_readable();
    }
}

}
