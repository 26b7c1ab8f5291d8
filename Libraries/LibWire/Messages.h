/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibWire/Generated/Configuration.pb.h>
#include <LibWire/Generated/Peer.pb.h>

/// The messages of the .proto files.
namespace wire = lilactiller::wire;
