/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <memory>
#include <utility>

namespace Core {

/// Prevents completion handlers that refer to an object from running after the object's destruction. Cancelling a timer
/// or closing a socket does not suffice: a completion that is already in the loop's queue still runs, and reports
/// success. The guard must be a member of the object.
class HandlerGuard {
public:
    /// Wraps `handler` in a function that does nothing once the guard is destroyed.
    template<typename Handler>
    [[nodiscard]] auto wrap(Handler handler) const
    {
        return [object = std::weak_ptr(this->object), handler = std::move(handler)]<typename... Arguments>(
                   Arguments&&... arguments) mutable {
            if (!object.expired())
                handler(std::forward<Arguments>(arguments)...);
        };
    }

private:
    struct Object { };
    std::shared_ptr<Object> object = std::make_shared<Object>();
};

}
