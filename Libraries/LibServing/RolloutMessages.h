/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibRollout/Tallies.h>
#include <LibWire/Messages.h>

namespace Serving {

wire::RolloutTally encode_tally(ServiceName const&, Rollout::Tally const&);
/// Ignores buckets that this version does not have.
Rollout::Tally decode_tally(wire::RolloutTally const&);

std::string encode_rollout_record(Rollout::Record const&);
/// Returns nothing if the text was written by something else or by a newer version.
std::optional<Rollout::Record> decode_rollout_record(std::string const&);

}
