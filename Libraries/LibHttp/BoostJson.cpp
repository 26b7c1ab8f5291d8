/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Compiles Boost.JSON from its headers, which Debian ships, so that no library has to be linked.
#include <boost/json/src.hpp>
