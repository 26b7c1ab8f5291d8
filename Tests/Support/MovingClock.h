/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Types.h>

namespace Test {

/// How far a clock of a test moves with each reading, as a real one does between two readings.
inline constexpr Duration clock_step = 1ns;

}
