/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibDelivery/Outcome.h>

namespace Delivery {

/// Whether a call may be sent again after an attempt with an unknown result.
enum class Repeatability : u8 {
    Repeatable,
    AtMostOnce,
};

/// Tracks the progress of all dispatches of one request, and derives from it the outcome to report and whether another
/// dispatch is allowed. The outcome is NotRun only while every dispatch is known not to have run.
class DispatchRecord {
public:
    explicit DispatchRecord(Repeatability repeatability)
        : repeatability(repeatability)
    {
    }

    /// Must be called before the first byte may be sent.
    void about_to_send() { ++this->open_dispatches; }
    /// Records that the connection could not be opened, or that the backend server confirmed not to have started the
    /// request.
    void confirmed_not_started() { --this->open_dispatches; }
    /// Records that the complete response arrived.
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
    // Dispatches of which a byte may have been sent and that may have run.
    int open_dispatches { 0 };
    bool is_completed { false };
};

}
