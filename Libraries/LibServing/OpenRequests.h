/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Types.h>
#include <functional>
#include <map>
#include <memory>

namespace Serving {

/// The requests of this host whose response is not complete. Each gets a response when the process has to end before
/// that.
class OpenRequests {
    using Handlers = std::map<u64, std::function<void()>>;

public:
    /// Registers a request for as long as it exists. It may outlive the OpenRequests.
    class Entry {
    public:
        Entry(OpenRequests& requests, std::function<void()> on_process_end);
        ~Entry();
        Entry(Entry const&) = delete;
        Entry& operator=(Entry const&) = delete;

    private:
        std::shared_ptr<Handlers> handlers;
        u64 number;
    };

    /// Calls the handler of each registered request once. A handler may end other requests too.
    void end_all();
    [[nodiscard]] size_t count() const { return this->handlers->size(); }

private:
    std::shared_ptr<Handlers> handlers { std::make_shared<Handlers>() };
    u64 last_number { 0 };
};

}
