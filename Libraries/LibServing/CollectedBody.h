/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibOverload/OutputBudget.h>
#include <memory>
#include <string>
#include <string_view>

namespace Serving {

/// The body of a response that is collected before it is relayed. All bodies of a host share a budget of its memory.
class CollectedBody {
public:
    /// `budget` is null if the host's memory is not known.
    explicit CollectedBody(std::shared_ptr<Overload::OutputBudget> budget)
        : budget(std::move(budget))
    {
    }
    ~CollectedBody() { this->clear(); }
    CollectedBody(CollectedBody const&) = delete;
    CollectedBody& operator=(CollectedBody const&) = delete;

    /// Returns false if the body has become too large for the host's memory. It must not be appended to then.
    [[nodiscard]] bool append(std::string_view piece)
    {
        this->bytes += piece;
        if (!this->budget)
            return true;
        this->budget->add(piece.size());
        return !this->budget->must_pause(this->bytes.size());
    }
    void clear() { this->take(); }
    std::string take()
    {
        if (this->budget)
            this->budget->remove(this->bytes.size());
        return std::exchange(this->bytes, {});
    }

private:
    std::shared_ptr<Overload::OutputBudget> budget;
    std::string bytes;
};

}
