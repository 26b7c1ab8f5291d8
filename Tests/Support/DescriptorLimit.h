/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Types.h>
#include <sys/resource.h>
#include <unistd.h>

namespace Test {

/// The number that the next new descriptor of this process would get.
inline u64 descriptors_in_use()
{
    int const next = ::dup(STDOUT_FILENO);
    ::close(next);
    return static_cast<u64>(next);
}

/// Prevents this process from opening descriptors numbered `limit` or higher during the lifetime of the object.
class DescriptorLimit {
public:
    explicit DescriptorLimit(u64 limit)
    {
        ::getrlimit(RLIMIT_NOFILE, &this->before);
        rlimit lowered = this->before;
        lowered.rlim_cur = limit;
        ::setrlimit(RLIMIT_NOFILE, &lowered);
    }
    DescriptorLimit(DescriptorLimit const&) = delete;
    ~DescriptorLimit() { ::setrlimit(RLIMIT_NOFILE, &this->before); }

private:
    rlimit before {};
};

}
