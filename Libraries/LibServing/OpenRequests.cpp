/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/OpenRequests.h>
#include <utility>

namespace Serving {

OpenRequests::Entry::Entry(OpenRequests& requests, std::function<void()> on_process_end)
    : handlers(requests.handlers)
    , number(++requests.last_number)
{
    this->handlers->emplace(this->number, std::move(on_process_end));
}

OpenRequests::Entry::~Entry() { this->handlers->erase(this->number); }

void OpenRequests::end_all()
{
    auto next = this->handlers->begin();
    while (next != this->handlers->end()) {
        auto const number = next->first;
        // The request removes its entry, and with it the handler, while that runs.
        auto const on_process_end = next->second;
        on_process_end();
        next = this->handlers->upper_bound(number);
    }
}

}
