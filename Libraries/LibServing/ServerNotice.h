/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibServing/Dialect.h>
#include <LibServing/ServingContext.h>

namespace Serving {

/// Takes in what `backend` says in the head of an answer of what it wants from now on, whichever request of this host
/// it answers: of two words that were on their way at once neither takes anything from the other.
void apply_server_notice(ServingContext&, Backend&, AnswerHead const&);

}
