/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibDelivery/Outcome.h>

namespace Delivery {

/// Whether a call may be sent again after an attempt of unknown result.
enum class Repeatability : u8 {
    Repeatable,
    AtMostOnce,
};

/// Keeps, for one request, how far each of its dispatches got, and derives from that alone what may be said and done.
/// "Not run" is said only while every dispatch is known not to have run.
class DispatchRecord {
public:
    explicit DispatchRecord(Repeatability repeatability)
        : repeatability(repeatability)
    {
    }

    /// Call before the first byte may leave.
    void about_to_send() { ++this->open_dispatches; }
    /// The connection could not be opened, or the backend server confirmed that it did not start the request.
    void confirmed_not_started() { --this->open_dispatches; }
    /// The whole answer arrived.
    void completed() { this->is_completed = true; }

    /// Whether another dispatch is safe.
    [[nodiscard]] bool may_dispatch() const
    {
        if (this->is_completed)
            return false;
        return this->repeatability == Repeatability::Repeatable || this->open_dispatches == 0;
    }

    [[nodiscard]] Outcome outcome() const
    {
        if (this->is_completed)
            return Outcome::Completed;
        return this->open_dispatches == 0 ? Outcome::NotRun : Outcome::MayHaveRun;
    }

private:
    Repeatability repeatability;
    // Dispatches of which a byte may have left and that are not known not to have run.
    int open_dispatches { 0 };
    bool is_completed { false };
};

}
