/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibWire/PeerTransport.h>
#include <boost/asio/io_context.hpp>

namespace Wire {

/// Watches ZeroMQ sockets on an Asio loop. The sockets must live as long as the loop runs.
PeerTransport::Watch watch_on(boost::asio::io_context&);

}
