/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Identifiers.h>

namespace Delivery {

enum class TokenVerdict : u8 {
    /// The next token, to be forwarded.
    Deliver,
    /// Forwarded before, as after a resume with an overlap.
    Duplicate,
    /// From an abandoned attempt, or from another execution than the pinned one.
    Foreign,
    /// An earlier token is missing. The caller of accept() must resume from next_offset().
    Gap,
};

/// Lets each token of one generation pass exactly once, in order, and from a single execution. Not thread-safe.
class TokenRelay {
public:
    /// `next` is the first offset that the caller does not have yet: 0, or more on a resume.
    explicit TokenRelay(AttemptNumber attempt, u64 next = 0)
        : attempt(attempt)
        , next(next)
        , delivered_any(next > 0)
    {
    }

    /// `token_execution` is the id of one run on one engine. The first token pins it.
    TokenVerdict accept(AttemptNumber token_attempt, std::string const& token_execution, u64 offset)
    {
        if (token_attempt != this->attempt)
            return TokenVerdict::Foreign;
        if (!this->execution.empty() && token_execution != this->execution)
            return TokenVerdict::Foreign;
        if (offset < this->next)
            return TokenVerdict::Duplicate;
        if (offset > this->next)
            return TokenVerdict::Gap;
        this->execution = token_execution;
        this->delivered_any = true;
        ++this->next;
        return TokenVerdict::Deliver;
    }

    /// Sets the execution that a resumed stream must continue.
    void pin_execution(std::string pinned) { this->execution = std::move(pinned); }

    /// Fences off the current attempt and starts the next one. Allowed only while the caller has no token; returns
    /// whether it is.
    [[nodiscard]] bool begin_next_attempt()
    {
        if (this->delivered_any)
            return false;
        this->attempt = AttemptNumber(this->attempt.value() + 1);
        this->execution.clear();
        return true;
    }

    [[nodiscard]] u64 next_offset() const { return this->next; }
    [[nodiscard]] AttemptNumber current_attempt() const { return this->attempt; }
    [[nodiscard]] std::string const& current_execution() const { return this->execution; }
    [[nodiscard]] bool has_delivered() const { return this->delivered_any; }

private:
    AttemptNumber attempt;
    u64 next;
    bool delivered_any;
    std::string execution;
};

}
