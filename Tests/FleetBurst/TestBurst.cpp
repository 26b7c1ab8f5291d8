/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibOverloadModel/ModelPool.h>
#include <catch2/catch.hpp>

using OverloadModel::ModelPool;
using Policy = ModelPool::Policy;

SCENARIO("a burst is over for callers two seconds after its end")
{
    auto const hosts = GENERATE(6U, 62U, 300U);
    auto const burst = GENERATE(2.0, 3.0);
    auto const seed = GENERATE(range(11U, 21U));
    INFO(hosts << " hosts, " << burst << " times, seed " << seed);
    ModelPool pool({ Policy::Admission, hosts, 0s, seed });
    pool.run(0.7, 10s);
    pool.run(burst, 7s);
    pool.run(0.7, 2s);
    auto const after = pool.run(0.7, 5s);
    pool.run(0.7, ModelPool::max_settling_time);
    CHECK(after->share_in_time() >= 0.95);
}
