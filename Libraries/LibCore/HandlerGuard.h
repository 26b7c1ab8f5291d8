/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <memory>
#include <utility>

namespace Core {

/// Keeps completion handlers that refer to an object from running once the object is gone. Cancelling a timer or
/// closing a socket is not enough for that: a completion that is in the loop's queue already still comes, and as a
/// success. To be a member of the object.
class HandlerGuard {
public:
    /// The handler, to be handed to the loop in its place.
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
