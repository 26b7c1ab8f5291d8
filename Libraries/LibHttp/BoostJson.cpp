/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Boost.JSON as part of this project's own build: Debian's headers allow it, and no library has to be linked.
#include <boost/json/src.hpp>
