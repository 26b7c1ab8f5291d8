/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Identifiers.h>

namespace Delivery {

enum class TokenVerdict : u8 {
    /// The next token: pass it on.
    Deliver,
    /// Passed on before, as after a resume that overlaps.
    Duplicate,
    /// From an attempt that was given up, or from another execution than the one that began.
    Foreign,
    /// A token before this one is missing: resume from next_offset().
    Gap,
};

/// Lets through each token of one generation exactly once, in order, and from one execution only. One thread.
class TokenRelay {
public:
    /// `next` is the first offset the caller lacks: 0, or more when it resumes.
    explicit TokenRelay(AttemptNumber attempt, u64 next = 0)
        : attempt(attempt)
        , next(next)
        , delivered_any(next > 0)
    {
    }

    /// `execution` names one run on one engine; it is pinned by the first token.
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

    /// The execution a resumed stream must continue.
    void pin_execution(std::string pinned) { this->execution = std::move(pinned); }

    /// Fences out the current attempt and takes up the next. Allowed only while the caller has no token.
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
