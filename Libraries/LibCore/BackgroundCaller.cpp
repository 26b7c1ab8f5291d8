/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibCore/BackgroundCaller.h>

namespace Core {

BackgroundCaller::BackgroundCaller(EventLoop& loop, size_t thread_count)
    : loop(loop)
{
    for (size_t i = 0; i < thread_count; ++i)
        this->threads.emplace_back([this] { this->serve(); });
}

BackgroundCaller::~BackgroundCaller()
{
    {
        std::lock_guard lock(this->mutex);
        this->stopping = true;
    }
    this->arrived.notify_all();
    for (auto& thread : this->threads)
        thread.join();
}

size_t BackgroundCaller::waiting_count()
{
    std::lock_guard lock(this->mutex);
    return this->queue.size();
}

void BackgroundCaller::enqueue(std::function<void()> work)
{
    {
        std::lock_guard lock(this->mutex);
        this->queue.push_back(std::move(work));
    }
    this->arrived.notify_one();
}

void BackgroundCaller::serve()
{
    while (true) {
        std::function<void()> work;
        {
            std::unique_lock lock(this->mutex);
            this->arrived.wait(lock, [this] { return this->stopping || !this->queue.empty(); });
            if (this->stopping)
                return;
            work = std::move(this->queue.front());
            this->queue.pop_front();
        }
        work();
    }
}

}
